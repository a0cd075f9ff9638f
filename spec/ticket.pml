/*
 * A ticket for a non-idempotent request. Gateway 0 issued it; its caller sends the request up to three times through
 * either gateway. Gateway 1 forwards to the issuer. The issuer can crash at any time, and its successor has none of its
 * state. Messages to the upstream and its answers are delayed or lost.
 *
 * Properties: the upstream runs the request at most once; the answer "not run" is given only if no byte can have
 * reached the upstream (asserts in Upstream and in Answer).
 *
 * Mutants: NO_TABLE, DISPATCH_ELSEWHERE, SUCCESSOR_DISPATCHES, NOT_RUN_AFTER_TIMEOUT.
 */
#define WHOLE 1
#define NOTRUN 2
#define UNKNOWN 3

byte runs = 0;
byte inFlight = 0;       /* calls to the upstream that may still arrive */
byte dispatched = 0;
bool alive = true;       /* the issuing incarnation is running */
byte state = 0;          /* ticket in the issuer's table: 0 unused, 1 in progress, 2 answered */
byte result = 0;

inline Answer(a) {
	assert(a != NOTRUN || (runs == 0 && inFlight == 0))
}

proctype Upstream() {
	do
	:: atomic { inFlight > 0 -> inFlight--; runs++; assert(runs <= 1);
		if
		:: alive && state == 1 -> state = 2; result = WHOLE   /* the answer arrives */
		:: true -> skip                                       /* the answer is lost */
		fi }
	:: atomic { inFlight > 0 -> inFlight-- }                      /* the call is lost */
	od
}

proctype Death() {
	atomic { alive -> alive = false; state = 0; result = 0 }
}

/* One call with the request, through gateway via. */
proctype Submission(byte via) {
	bool issuer;
	atomic {
		issuer = alive;
		if
		:: !issuer ->
#ifdef DISPATCH_ELSEWHERE
			if
			:: via == 1 -> inFlight++; dispatched++
			:: else -> Answer(UNKNOWN)
			fi;
#endif
#ifdef SUCCESSOR_DISPATCHES
			if
			:: via == 0 -> inFlight++; dispatched++
			:: else -> Answer(UNKNOWN)
			fi;
#endif
			goto done
		:: else -> skip
		fi;
		if
		:: state == 0 ->
			if
			:: true -> Answer(NOTRUN); goto done   /* refused at admission; the ticket stays unused */
			:: true -> state = 1; inFlight++; dispatched++
			fi
		:: state == 1 ->
#ifdef NO_TABLE
			inFlight++; dispatched++
#else
			skip   /* waits for the answer to the first call */
#endif
		:: state == 2 -> Answer(result); goto done
		fi
	}
	/* Wait for the answer, a timeout or a crash of the issuer. */
	atomic {
		if
		:: state == 2 -> Answer(result)
		:: true ->
#ifdef NOT_RUN_AFTER_TIMEOUT
			Answer(NOTRUN)
#else
			Answer(UNKNOWN)
#endif
		fi
	}
done:
	skip
}

init {
	atomic { run Upstream(); run Death(); run Submission(0); run Submission(1); run Submission(0) }
}
