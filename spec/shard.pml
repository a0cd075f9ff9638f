/*
 * The shard and attempt protocols: claims are ordered by the log, schedulers act on their records only after reading
 * them back, workers fence earlier epochs, and a task has at most one open attempt.
 *
 * The model has two schedulers, two workers and one task. A scheduler may claim the shard at any time, which covers
 * every false suspicion of its owner. Start calls may be reordered, lost and delayed without limit. One worker may
 * restart once, which resets all of its state, including its fence.
 *
 * Property: the task never runs on both workers at the same time (assert in start()).
 *
 * Mutants: NO_READBACK, NO_FENCE, NO_BOOT.
 */
#define LOGSIZE 7
#define NONE 255

#define CLAIM 1
#define PLACE 2
#define CLOSE 3

/* The log. An epoch is the offset of its claim plus one, so that zero means no epoch. */
byte logKind[LOGSIZE];
byte logEpoch[LOGSIZE];   /* epoch of the writer; for a claim the epoch that it follows */
byte logOwner[LOGSIZE];
byte logAttempt[LOGSIZE];
byte logWorker[LOGSIZE];
byte logBoot[LOGSIZE];
byte logEnd = 0;

/* Workers. */
byte wEpoch[2];
byte wRunning[2];   /* number of the running attempt, zero if idle */
byte wSeen[2];      /* highest attempt number started since the last restart */
byte wBoot[2];
byte restarts = 0;

/* Start calls in flight. */
chan net = [3] of { byte /* worker */, byte /* epoch */, byte /* attempt */, byte /* boot */ };

inline start(w, a)
{
	wRunning[w] = a;
	wSeen[w] = a;
	assert(!(wRunning[0] != 0 && wRunning[1] != 0))
}

#ifdef NO_FENCE
#define STALE_EPOCH(w, e) false
#else
#define STALE_EPOCH(w, e) (e < wEpoch[w])
#endif
#ifdef NO_BOOT
#define STALE_BOOT(w, b) false
#else
#define STALE_BOOT(w, b) (b != wBoot[w])
#endif

/* The network delivers, loses or reorders start calls. */
proctype Network() {
	byte w, e, a, b;
	do
	:: atomic { net?w,e,a,b ->
		if
		:: true -> net!w,e,a,b   /* reordered */
		:: true -> skip          /* lost */
		:: true ->
			if
			:: STALE_EPOCH(w, e) || STALE_BOOT(w, b) || a <= wSeen[w] -> skip
			:: else -> start(w, a)
			fi
		fi;
		w = 0; e = 0; a = 0; b = 0 }
	od
}

/* Running attempts end, or worker 0 restarts. */
proctype Workers() {
	do
	:: atomic { wRunning[0] != 0 -> wRunning[0] = 0 }
	:: atomic { wRunning[1] != 0 -> wRunning[1] = 0 }
	:: atomic { restarts < 1 -> restarts++; wEpoch[0] = 0; wRunning[0] = 0; wSeen[0] = 0; wBoot[0]++ }
	od
}

proctype Scheduler(byte me) {
	byte pos = 0;        /* next offset to read */
	byte newest = 0;     /* newest valid epoch that was read */
	byte mine = 0;       /* own epoch, zero if another scheduler owns the shard as far as was read */
	byte attempt = 0;    /* newest attempt that was read */
	byte open = 0;       /* open attempt as far as was read, zero if none */
	byte worker = 0;
	byte boot = 0;
	byte placedIn = 0;   /* epoch in which the open attempt was placed */
	byte started = 0;    /* attempt for which this scheduler has sent a start call */
	byte pending = NONE; /* offset of the own record that was not read back yet */
	byte claims = 0;
	byte know[2];        /* the worker is fenced with the own epoch */
	byte bootOf[2];      /* the worker's incarnation when it was fenced */
	byte w = 0;

	do
	/* Read one record. */
	:: d_step { pos < logEnd ->
		if
		:: logKind[pos] == CLAIM && logEpoch[pos] == newest ->
			newest = pos + 1;
			if
			:: logOwner[pos] == me -> mine = pos + 1
			:: else -> mine = 0
			fi;
			know[0] = 0; know[1] = 0
		:: logKind[pos] == PLACE && logEpoch[pos] == newest ->
			open = logAttempt[pos]; attempt = open; worker = logWorker[pos]; boot = logBoot[pos];
			placedIn = logEpoch[pos]
		:: logKind[pos] == CLOSE && logEpoch[pos] == newest -> open = 0
		:: else -> skip
		fi;
		if
		:: pending == pos -> pending = NONE
		:: else -> skip
		fi;
		pos++ }

	/* Claim the shard, whether or not its owner is alive. */
	:: d_step { mine == 0 && claims < 2 && logEnd < LOGSIZE && pending == NONE ->
		logKind[logEnd] = CLAIM; logEpoch[logEnd] = newest; logOwner[logEnd] = me;
		pending = logEnd; logEnd++; claims++ }

	/* Fence a worker. Its answer tells what it runs. */
	:: d_step { mine != 0 && know[0] == 0 && mine >= wEpoch[0] -> wEpoch[0] = mine; know[0] = 1; bootOf[0] = wBoot[0] }
	:: d_step { mine != 0 && know[1] == 0 && mine >= wEpoch[1] -> wEpoch[1] = mine; know[1] = 1; bootOf[1] = wBoot[1] }

	/* Place the next attempt. */
	:: atomic { mine != 0 && open == 0 && pending == NONE && logEnd < LOGSIZE && (know[0] || know[1]) && attempt < 3 ->
		if
		:: know[0] -> w = 0
		:: know[1] -> w = 1
		fi;
		logKind[logEnd] = PLACE; logEpoch[logEnd] = mine; logOwner[logEnd] = me; logAttempt[logEnd] = attempt + 1;
		logWorker[logEnd] = w; logBoot[logEnd] = bootOf[w];
		pending = logEnd; logEnd++;
#ifdef NO_READBACK
		if
		:: nfull(net) -> net!w,mine,attempt+1,bootOf[w]; started = attempt + 1
		:: full(net) -> skip
		fi;
#endif
		w = 0 }

	/* Start an open attempt that was read back. A new owner may also start one that an earlier owner placed. */
	:: atomic { mine != 0 && open != 0 && started != open && nfull(net) ->
		net!worker,mine,open,boot; started = open }

	/* Close the open attempt because the worker, which was fenced with the own epoch, reports that it does not run
	   it. The start call of an attempt that this scheduler started may still be in flight, so the worker must have
	   started the attempt before. A restarted worker runs no attempt of its earlier incarnation. */
	:: d_step { mine != 0 && open != 0 && pending == NONE && logEnd < LOGSIZE && know[worker] &&
		wEpoch[worker] <= mine && wRunning[worker] != open &&
		(wSeen[worker] >= open || (started != open && wEpoch[worker] == mine) || wBoot[worker] != boot) ->
		logKind[logEnd] = CLOSE; logEpoch[logEnd] = mine; logOwner[logEnd] = me; logAttempt[logEnd] = open;
		pending = logEnd; logEnd++;
		/* Prevents a start call for the attempt after the decision to close it. */
		started = open }
	od
}

init {
	atomic { run Network(); run Workers(); run Scheduler(0); run Scheduler(1) }
}
