/*
 * Two instances, each of which may be the owner at any moment, one worker in a data centre that the operator closes and
 * opens, and a log that each instance reads whenever it can. A start that an owner has decided may wait in its queue, at
 * an agent or in the network for any time, and an unanswered one is repeated. Drift of the worker's clock is not modelled.
 *
 * Property: the worker begins no task later than BOUND after the operator has closed its data centre (assert in Worker).
 *
 * Mutants: NO_AGE, NO_EXPIRY, UNLOADED, REPEATED.
 */
#define VIEW 2          /* greatest age of the view with which an owner starts tasks */
#define LIMIT 2         /* time after its decision in which a start may be carried out */
#define BOUND (VIEW + LIMIT)
#define MAXTIME 9

byte now = 0;
bool closed = false;    /* what the log holds */
byte since = 0;         /* when the log has confirmed the newest closure */
byte owner = 0;

chan starts = [2] of { byte /* time after which the worker refuses the start */ };

proctype Clock() {
	do
	:: d_step { now < MAXTIME -> now++ }
	od
}

proctype Operator() {
	do
	:: d_step { !closed -> closed = true; since = now }
	:: d_step { closed -> closed = false }
	od
}

proctype Instance(byte self) {
	bool loaded = false;   /* it has read the topic */
	bool knows = false;    /* it has read that the data centre is closed */
	byte asOf = 0;         /* when it has last read the topic */
	bool unanswered = false;
	do
	:: d_step { knows = closed; asOf = now; loaded = true }
	:: d_step { owner != self -> owner = self; unanswered = false }
#ifdef UNLOADED
	:: d_step { owner == self && !loaded && nfull(starts) -> starts!now + LIMIT }
#endif
#ifdef NO_AGE
	:: d_step { owner == self && loaded && !knows && nfull(starts) ->
#else
	:: d_step { owner == self && loaded && !knows && now <= asOf + VIEW && nfull(starts) ->
#endif
		starts!now + LIMIT; unanswered = true }
#ifdef REPEATED
	:: d_step { owner == self && unanswered && now <= asOf + VIEW && nfull(starts) -> starts!now + LIMIT }
#endif
	od
}

proctype Worker() {
	byte until;
	do
	:: atomic { starts?until ->
		if
		:: true -> skip    /* call lost */
#ifdef NO_EXPIRY
		:: true ->
#else
		:: now <= until ->
#endif
			assert(!closed || now <= since + BOUND)
		fi; until = 0 }
	od
}

init {
	atomic { run Clock(); run Operator(); run Worker(); run Instance(0); run Instance(1) }
}
