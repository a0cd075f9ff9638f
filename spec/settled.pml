/*
 * Three owners in series and one worker that the third one cannot reach. The first owner is cut off from the log and may
 * still call the worker until its isolation limit ends. The second one claims, calls the worker, and ends at any moment.
 * The third one knows that the second has ended. It closes the attempt when the leases that earlier owners may have
 * granted have passed: those of the second only if that has stored its epoch as settled, and also those of the first
 * otherwise. A restart of the worker, which would forget its fence, and clock drift are not modelled.
 *
 * Property: when the third owner closes the attempt, the worker does not run it then or later (asserts in Third and
 * Worker).
 *
 * Mutants: SETTLED_UNFENCED, NO_ISOLATION, NO_FENCE.
 */
#define TTL 2
#define ISOLATION 2
#define MAXTIME 9

byte now = 0;
byte fence = 1;        /* the highest epoch that the worker has seen */
byte expiry = TTL;     /* end of the worker's lease */
bool running = true;
bool claimed = false;  /* the second owner has claimed */
bool ended = false;    /* the second owner has ended */
bool settled = false;  /* the log holds that the epoch of the second owner is settled */
bool closed = false;

chan calls = [2] of { byte /* epoch */, byte /* end of the lease */ };
bool answered = false; /* the worker has answered the second owner */

proctype Clock() {
	do
	:: d_step { now < MAXTIME ->
		now++;
		if
		:: now >= expiry -> running = false
		:: else -> skip
		fi
		}
	od
}

proctype Worker() {
	byte epoch, until;
	do
	:: atomic { calls?epoch,until ->
		if
		:: true -> skip   /* call lost */
#ifdef NO_FENCE
		:: running ->
#else
		:: epoch >= fence && running ->
#endif
			fence = epoch;
			if
			:: until > expiry -> expiry = until
			:: else -> skip
			fi;
			if
			:: epoch == 2 -> answered = true
			:: else -> skip
			fi;
			assert(!closed)
		fi; epoch = 0; until = 0 }
	od
}

proctype First() {
	byte confirmed = 0;   /* when its newest append was sent that the log has confirmed */
	do
	:: d_step { !claimed && confirmed < now -> confirmed = now }
	:: d_step { now < confirmed + ISOLATION && nfull(calls) -> calls!1,now + TTL }
	od
}

proctype Second() {
	byte read;            /* when it has read the newest record of the first owner */
	d_step { claimed = true; read = now };
	do
	:: d_step { nfull(calls) -> calls!2,now + TTL }
#ifdef SETTLED_UNFENCED
	:: d_step { !settled -> settled = true }
#else
	:: d_step { !settled && (answered || now >= read + ISOLATION) -> settled = true }
#endif
	:: d_step { ended = true } -> break
	od
}

proctype Third() {
	byte until;
	d_step { ended -> until = now + TTL;
		if
#ifndef NO_ISOLATION
		:: !settled -> until = until + ISOLATION
#endif
		:: else -> skip
		fi };
	atomic { now >= until -> closed = true; assert(!running) }
}

init {
	atomic { run Clock(); run Worker(); run First(); run Second(); run Third() }
}
