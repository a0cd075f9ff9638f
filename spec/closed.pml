/*
 * The way of a start to a worker whose data centre the operator closes and opens: a placement that is decided and stored,
 * the queue of the owner, an agent that passes the call on, and the worker. Two instances; each reads the log whenever it
 * can, may be cut off from it, restart, claim at any moment, and act on although the other has claimed. A successor reads
 * the stored placement. Calls are delayed and lost; an unanswered start is repeated. The answer to a read is what the log
 * held when the read was requested, and arrives at any time. Times are counted from the event on, so the run is not
 * bounded. spec/closure.pml has the same property for a start as a whole. Fences, leases and drift of clocks are not
 * modelled: they only prevent starts.
 *
 * Property: the worker begins no task later than VIEW + LIMIT after the log has confirmed that its data centre is closed
 * (assert in Worker).
 *
 * Mutants: OLD_VIEW, AGE_FROM_ANSWER, STORED_UNCHECKED, REPEATED, ADOPTED_STARTED, LIMIT_FROM_AGENT, UNLOADED.
 */
#define VIEW 1          /* greatest age of the view with which an owner starts tasks */
#define LIMIT 1         /* time after its decision in which a start may be carried out */
#define BOUND (VIEW + LIMIT)

#define NONE 0
#define STORED 1        /* placed and stored; the start was not sent */
#define SENT 2          /* the start was sent and has no answer */
#define ADOPTED 3       /* placed by another owner, which may have sent the start */

bool closed = false;    /* what the log holds */
byte closedFor = 0;     /* time since the log has confirmed the closure, at most BOUND + 1 */
bool placed = false;    /* the log holds a placement */

byte attempt[2];
#ifdef UNLOADED
bool loaded[2];         /* the instance has read the topic since its start */
#endif
bool knows[2];          /* by what it has read, the data centre is closed */
byte age[2];            /* age of its view, at most VIEW + 1, as before the first read */
bool reading[2];
bool content[2];        /* what the answer to the read says */
byte readAge[2];        /* time since the request of the read, at most VIEW + 1 */

/* Time for which the worker carries out a start, counted down from LIMIT + 1; 0 for no call. A call that has expired equals a
 * lost one. */
byte atAgent[2];
byte toWorker[2];

inline Grow(x, most) {
	if
	:: x < most -> x++
	:: else -> skip
	fi
}

inline Shrink(x) {
	if
	:: x > 0 -> x--
	:: else -> skip
	fi
}

inline Tick(i) {
	Grow(age[i], VIEW + 1);
	if
	:: reading[i] -> Grow(readAge[i], VIEW + 1)
	:: else -> skip
	fi;
#ifndef LIMIT_FROM_AGENT
	Shrink(atAgent[i]);
#endif
	Shrink(toWorker[i])
}

proctype Clock() {
	do
	:: d_step { true ->
		if
		:: closed -> Grow(closedFor, BOUND + 1)
		:: else -> skip
		fi;
		Tick(0); Tick(1) }
	od
}

proctype Operator() {
	do
	:: d_step { !closed -> closed = true; closedFor = 0 }
	:: d_step { closed -> closed = false; closedFor = 0 }
	od
}

#ifdef OLD_VIEW
#define FRESH(i) true
#else
#ifdef UNLOADED
#define FRESH(i) (age[i] <= VIEW || !loaded[i])
#else
#define FRESH(i) (age[i] <= VIEW)
#endif
#endif

#define MAYSTART(i) (FRESH(i) && !knows[i])

inline SendStart(i) {
	attempt[i] = SENT;
	if
	:: atAgent[i] == 0 -> atAgent[i] = LIMIT + 1
	:: else -> skip   /* call lost */
	fi
}

inline EndRead(i) {
	reading[i] = false; content[i] = false; readAge[i] = 0
}

proctype Instance(byte i) {
	do
	/* The topic of the closed data centres. */
	:: d_step { !reading[i] -> reading[i] = true; content[i] = closed }
	:: d_step { reading[i] ->
		knows[i] = content[i];
#ifdef UNLOADED
		loaded[i] = true;
#endif
#ifdef AGE_FROM_ANSWER
		age[i] = 0;
#else
		age[i] = readAge[i];
#endif
		EndRead(i);
		if
		:: knows[i] && attempt[i] == STORED -> attempt[i] = NONE; placed = false
		:: else -> skip
		fi }
	/* It takes over, and knows what is stored. */
	:: d_step { attempt[i] == NONE && placed -> attempt[i] = ADOPTED }
	/* It steps down or restarts. */
	:: d_step { attempt[i] != NONE -> attempt[i] = NONE }
	:: d_step { age[i] <= VIEW ->
		attempt[i] = NONE; knows[i] = false; age[i] = VIEW + 1; EndRead(i);
#ifdef UNLOADED
		loaded[i] = false
#endif
		}
	/* The attempt. */
	:: d_step { attempt[i] == NONE && MAYSTART(i) -> attempt[i] = STORED; placed = true }
#ifdef STORED_UNCHECKED
	:: d_step { attempt[i] == STORED -> SendStart(i) }
#else
	:: d_step { attempt[i] == STORED && MAYSTART(i) -> SendStart(i) }
#endif
#ifdef REPEATED
	:: d_step { attempt[i] == SENT -> SendStart(i) }
#else
	:: d_step { attempt[i] == SENT && MAYSTART(i) -> SendStart(i) }
#endif
#ifdef ADOPTED_STARTED
	:: d_step { attempt[i] == ADOPTED -> SendStart(i) }
#endif
	/* It has ended, was stopped, or is not in the worker's list. */
	:: d_step { attempt[i] >= SENT -> attempt[i] = NONE; placed = false }
	od
}

proctype Agent(byte i) {
	do
	:: d_step { atAgent[i] > 0 ->
#ifdef LIMIT_FROM_AGENT
		toWorker[i] = LIMIT + 1;
#else
		toWorker[i] = atAgent[i];
#endif
		atAgent[i] = 0 }
	:: d_step { atAgent[i] > 0 -> atAgent[i] = 0 }   /* the session has ended, or the call has waited for too long */
	od
}

proctype Worker() {
	do
	:: atomic { toWorker[0] > 0 -> toWorker[0] = 0; assert(!closed || closedFor <= BOUND) }
	:: atomic { toWorker[1] > 0 -> toWorker[1] = 0; assert(!closed || closedFor <= BOUND) }
	od
}

init {
	atomic {
		age[0] = VIEW + 1; age[1] = VIEW + 1;
		run Clock(); run Operator(); run Worker();
		run Agent(0); run Agent(1); run Instance(0); run Instance(1)
	}
}
