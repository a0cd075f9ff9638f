/*
 * The lease of a worker. A renewal echoes a clock reading of the worker; the worker sets the end of the lease to that reading
 * plus TTL. The owner may conclude that the lease has lapsed when TTL has passed since it received the newest reading.
 * Renewals and answers are delayed, reordered and lost without bound. Time is one discrete clock; the 1% that the owner adds for drift is left out.
 *
 * Property: when the owner closes the attempt, the worker does not run it and never will again (asserts in Owner and Clock).
 *
 * Mutants: NOT_ANCHORED, EARLY_CLOSE, REVIVE.
 */
#define TTL 3
#define MAXTIME 12

byte now = 0;
byte expiry = TTL;     /* the lease was granted on reading zero */
bool running = true;
bool closed = false;

chan renewals = [2] of { byte };
chan answers = [2] of { byte };

proctype Clock() {
	do
	:: d_step { now < MAXTIME ->
		now++;
		if
		:: now >= expiry -> running = false
		:: else -> skip
		fi }
	od
}

proctype Worker() {
	byte asOf, end;
	do
	:: atomic { renewals?asOf ->
		if
		:: true -> skip              /* lost */
		:: true -> renewals!asOf     /* delayed behind a later one */
		:: true ->
#ifdef NOT_ANCHORED
			end = now + TTL;
#else
			end = asOf + TTL;
#endif
			if
			:: running && end > expiry -> expiry = end
#ifdef REVIVE
			:: !running && end > expiry -> expiry = now + TTL; running = true
#endif
			:: else -> skip
			fi;
			assert(!(closed && running));
			if
			:: nfull(answers) -> answers!now
			:: true -> skip          /* answer lost */
			fi
		fi; asOf = 0; end = 0 }
	od
}

proctype Owner() {
	byte reading = 0;   /* newest reading received */
	byte received = 0;  /* when it was received */
	byte r;
	do
	:: atomic { !closed && nfull(renewals) -> renewals!reading }
	:: atomic { answers?r ->
		if
		:: !closed && r > reading -> reading = r; received = now
		:: else -> skip
		fi; r = 0 }
#ifdef EARLY_CLOSE
	:: atomic { !closed && now >= received + TTL - 1 ->
#else
	:: atomic { !closed && now >= received + TTL ->
#endif
		closed = true;
		assert(!running) }
	od
}

init {
	atomic { run Clock(); run Worker(); run Owner() }
}
