/*
 * A caller sends one submission twice with the same id, the second time to another instance, also while the first request is
 * not answered. An instance refuses it at once or appends it by itself; the first one may also pass it to a collector, and
 * append it by itself if the collector gives no answer or refuses. The batchers of the instances and of the collector send
 * an entry up to twice. The log stores or refuses an append at any time after it was sent, also after the sender has given
 * it up, and responses are lost. Calls to the collector are lost or lose their answers. Whoever has time left is chosen
 * freely, so times are not modelled.
 *
 * Properties: what a request has submitted is not stored, neither before nor after the answer that it was refused; an
 * accepted submission is stored (asserts in Answer and Store).
 *
 * A request that is refused says nothing about an earlier one whose outcome is unknown: the append of the other instance may
 * be on its way (mutant ALL_REQUESTS, a known limit of docs/design/0003-intake-with-a-slow-log.md).
 *
 * Mutants: LAST_ATTEMPT, NOT_WITHDRAWN, SENT_IS_REFUSED, LOST_CALL, LAST_PATH, LOST_IS_STORED, ALL_REQUESTS.
 */
#define ATTEMPTS 2

/* Outcomes. */
#define NONE 0
#define STORED 1
#define REFUSED 2
#define UNKNOWN 3

bool stored = false;      /* the log holds the submission */
bool storedBy[2];         /* because of this request */
bool refused[2];          /* the request was answered as refused */
bool over[2];             /* the caller has an answer or waits no longer */
byte answer = NONE;       /* of the collector */

/* The entries at the instances have the numbers of their requests; that of request 0 at the collector is COLLECTED. */
#define COLLECTED 2
#define REQUEST(e) (e == COLLECTED -> 0 : e)
#define IDLE 0
#define QUEUED 1          /* at the batcher */
#define WAITING 2         /* an attempt was sent and has no response */
#define ENDED 3
byte state[3];
byte tries[3];
bool unknown[3];          /* an attempt has had no response */
bool late[3];             /* an attempt that was given up may still be stored */
bool sent[3];             /* the entry may be stored because of an attempt */
bool gone[3];             /* the call for it has returned */
byte outcome[3];

inline Store(e) {
	stored = true; storedBy[REQUEST(e)] = true; assert(!refused[REQUEST(e)])
}

inline End(e, o) {
	outcome[e] = o; state[e] = ENDED; tries[e] = 0; unknown[e] = false; sent[e] = false
}

/* The batcher with one entry, and the log. */
proctype Batcher(byte e) {
	do
#ifdef NOT_WITHDRAWN
	:: d_step { state[e] == QUEUED && tries[e] < ATTEMPTS ->
#else
	:: d_step { state[e] == QUEUED && tries[e] < ATTEMPTS && !gone[e] ->
#endif
		tries[e]++; sent[e] = true; state[e] = WAITING }
	:: d_step { state[e] == QUEUED && gone[e] -> End(e, NONE) }
	:: d_step { state[e] == QUEUED && !gone[e] && !sent[e] -> End(e, REFUSED) }    /* it cannot be stored in time */
	/* No attempt is left, or the log is slow and the entry is read back. */
	:: d_step { state[e] == QUEUED && !gone[e] && (tries[e] == ATTEMPTS || unknown[e]) ->
#ifdef LOST_IS_STORED
		End(e, (unknown[e] -> STORED : REFUSED))
#else
		End(e, (unknown[e] -> UNKNOWN : REFUSED))
#endif
		}
	:: atomic { state[e] == WAITING -> Store(e); End(e, STORED) }
	:: atomic { state[e] == WAITING -> Store(e); unknown[e] = true; state[e] = QUEUED }
	:: d_step { state[e] == WAITING ->                    /* refused */
#ifdef LAST_ATTEMPT
		unknown[e] = false;
#endif
		sent[e] = unknown[e]; state[e] = QUEUED }
	:: d_step { state[e] == WAITING -> late[e] = true; unknown[e] = true; state[e] = QUEUED }
	:: atomic { late[e] -> late[e] = false; Store(e) }    /* or never */
	od
}

/* The time of the call for an entry is over. */
inline GiveUp(e, o) {
	gone[e] = true;
	if
	:: outcome[e] != NONE -> o = outcome[e]
#ifdef SENT_IS_REFUSED
	:: outcome[e] == NONE -> o = REFUSED
#else
	:: outcome[e] == NONE -> o = (sent[e] -> UNKNOWN : REFUSED)
#endif
	fi
}

proctype Collector() {
	do
	:: atomic { state[COLLECTED] != IDLE && answer == NONE && outcome[COLLECTED] != NONE -> answer = outcome[COLLECTED]; break }
	:: atomic { state[COLLECTED] != IDLE && answer == NONE -> GiveUp(COLLECTED, answer); break }
	od
}

inline Answer(q, a) {
	if
	:: a == STORED -> assert(stored)
	:: a == REFUSED ->
#ifdef ALL_REQUESTS
		assert(!stored); refused[0] = true; refused[1] = true;
#else
		assert(!storedBy[q]);
#endif
		refused[q] = true
	:: else -> skip
	fi;
	over[q] = true
}

proctype Request(byte q) {
	byte o = NONE;
	bool unsure = false;   /* the collector may have stored the entry */
	atomic { q == 0 || over[0] ->
		if
		:: stored -> Answer(q, STORED); goto end      /* its view contains the submission */
		:: Answer(q, REFUSED); goto end               /* the log is not usable */
		:: goto direct
		:: q == 0 -> state[COLLECTED] = QUEUED
		:: q == 0 -> unsure = true; goto noanswer     /* the call is lost */
		fi };
	if
	:: atomic { answer == STORED -> Answer(q, STORED); goto end }
	:: atomic { answer == REFUSED ->
		if
		:: Answer(q, REFUSED); goto end               /* for lack of time */
		:: goto direct
		fi }
	:: atomic { answer == UNKNOWN -> unsure = true }
	:: atomic { true -> unsure = true }               /* no answer */
	fi;
noanswer:
	atomic {
#ifdef LOST_CALL
		unsure = false;
#endif
		if
		:: o = (unsure -> UNKNOWN : REFUSED); goto last   /* no time is left */
		:: goto direct
		fi };
direct:
	state[q] = QUEUED;
	do
	:: atomic { outcome[q] != NONE -> o = outcome[q]; break }
	:: atomic { true -> GiveUp(q, o); break }
	:: atomic { stored -> gone[q] = true; o = STORED; break }   /* read back */
	:: atomic { !over[q] -> over[q] = true }          /* the caller waits no longer, the instance goes on */
	od;
last:
	atomic {
#ifndef LAST_PATH
		if
		:: unsure && o == REFUSED -> o = UNKNOWN
		:: else -> skip
		fi;
#endif
		Answer(q, o) };
end:
	skip
}

init {
	atomic { run Batcher(0); run Batcher(1); run Batcher(COLLECTED); run Collector(); run Request(0); run Request(1) }
}
