/*
 * The slot budget of one worker with one slot, one owner and two gateways. The owner moves the slot between the
 * gateways. It grants the slot to the other gateway only after the first one has acknowledged the withdrawal, or after
 * the worker was told to refuse the older generations of the first one and has reported that none of its requests is in
 * progress. The delay of requests is unlimited. A gateway that gives up on a request keeps the slot until the worker
 * has confirmed the cancellation.
 *
 * Property: the worker never has two requests in progress (assert in Worker).
 *
 * Mutants: GRANT_BEFORE_REVOKE, NO_GENERATION_FENCE, IGNORE_IN_PROGRESS, REUSE_AFTER_TIMEOUT.
 */
#define MAXGEN 4
#define MAXREQ 3
#define NOBODY 2

/* The worker. */
byte minGen[2];
byte inProgress[2];
byte cancelled[2];     /* by gateway: requests up to this number are refused */

/* Grants of the owner. */
byte holder = 0;
byte gen[2];           /* newest generation granted */
bool granted[2];

/* Gateways. */
byte heldGen[2];       /* newest generation that the gateway complies with */
bool held[2];
bool busy[2];          /* the gateway's slot is in use */
byte sent[2];          /* number of the newest request */

chan requests = [3] of { byte /* gateway */, byte /* generation */, byte /* number */ };

proctype Worker() {
	byte g, n, r;
	do
	:: atomic { requests?g,n,r ->
		if
		:: true -> requests!g,n,r   /* overtaken by a later request */
		:: true ->
			if
#ifndef NO_GENERATION_FENCE
			:: n < minGen[g] -> skip
#endif
			:: r <= cancelled[g] -> skip
			:: else ->
#ifndef NO_GENERATION_FENCE
				if
				:: n < minGen[g] -> skip
				:: else ->
#endif
				if
				:: r <= cancelled[g] -> skip
				:: else -> inProgress[g]++; assert(inProgress[0] + inProgress[1] <= 1)
				fi
#ifndef NO_GENERATION_FENCE
				fi
#endif
			fi
		fi; g = 0; n = 0; r = 0 }
	/* A request ends. Its answer reaches the gateway or is lost; a cancellation releases the slot of a lost one. */
	:: atomic { inProgress[0] > 0 -> inProgress[0]--;
		if
		:: busy[0] && cancelled[0] < sent[0] -> busy[0] = false; cancelled[0] = sent[0]
		:: true -> skip
		fi }
	:: atomic { inProgress[1] > 0 -> inProgress[1]--;
		if
		:: busy[1] && cancelled[1] < sent[1] -> busy[1] = false; cancelled[1] = sent[1]
		:: true -> skip
		fi }
	od
}

proctype Gateway(byte me) {
	do
	/* Apply the newest grant. The gateway complies with a withdrawal only when its slot is free. */
	:: d_step { heldGen[me] != gen[me] && granted[me] -> heldGen[me] = gen[me]; held[me] = true }
	:: d_step { heldGen[me] != gen[me] && !granted[me] && !busy[me] -> heldGen[me] = gen[me]; held[me] = false }
	/* Send a request. A paused gateway may do so long after its grant was withdrawn. */
	:: atomic { held[me] && !busy[me] && sent[me] < MAXREQ && nfull(requests) ->
		sent[me]++; busy[me] = true; requests!me,heldGen[me],sent[me] }
	/* Give up on a request: cancel it at the worker; the slot is free once the worker has confirmed. */
	:: d_step { busy[me] && cancelled[me] < sent[me] ->
#ifdef REUSE_AFTER_TIMEOUT
		busy[me] = false
#else
		cancelled[me] = sent[me]; inProgress[me] = 0; busy[me] = false
#endif
		}
	od
}

proctype Owner() {
	byte g = 0;
	bool fenced[2];
	do
	:: d_step { holder != NOBODY && gen[holder] < MAXGEN ->   /* withdraw */
		g = holder; gen[g]++; granted[g] = false; fenced[g] = false; holder = NOBODY }
	:: d_step { holder == NOBODY && !fenced[g] -> minGen[g] = gen[g]; fenced[g] = true }  /* set the fence at the worker */
	:: d_step { holder == NOBODY && gen[1 - g] < MAXGEN &&
#ifdef GRANT_BEFORE_REVOKE
		true
#else
		(heldGen[g] == gen[g] ||
#ifdef IGNORE_IN_PROGRESS
		fenced[g]
#else
		(fenced[g] && inProgress[g] == 0)
#endif
		)
#endif
		-> holder = 1 - g; gen[holder]++; granted[holder] = true; g = holder }
	od
}

init {
	atomic {
		granted[0] = true; held[0] = true;
		run Worker(); run Gateway(0); run Gateway(1); run Owner()
	}
}
