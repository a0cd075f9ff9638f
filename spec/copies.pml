/*
 * One task of a step that allows copies, on three workers. The owner places it, may place a copy beside it, and places it
 * again when no attempt is left. It ends at any moment; its successor knows what the log holds, and calls of the owner
 * before it are still on their way. Runs end as done at any moment, or without success; an end as done stays at the worker
 * until it is confirmed. An owner gives an attempt up by the worker's list, or when the lease and the last start have
 * certainly expired, also if the run had ended as done before. Calls are delayed and lost. Times are counted from the event
 * on. Leases (spec/lease.pml, spec/settled.pml), restarts of workers and cancellations are not modelled, and an owner
 * decides no start after its successor has taken over: its view is too old by then.
 *
 * Properties: never three runs at the same time; no start later than GRACE after an end as done was confirmed; the run
 * numbers of the starts increase (asserts in Worker).
 *
 * Mutants: UNSTORED_START, EARLY_CONFIRMATION, RUN_FORGOTTEN, EARLY_LOSS, COPY_FORGOTTEN, NO_FENCE, LATE_START, LATE_END.
 */
#define WORKERS 3
#define NOWORKER 3
#define MAXRUN 4
#define LIMIT 1         /* time after its decision in which the start of a copy or of a later run may be carried out */
#define LONG 2          /* the same for the first run */
#define GRACE LIMIT

/* States of an attempt. */
#define NONE 0
#define PLACED 1        /* not stored */
#define STORED 2
#define SENT 3          /* the start was sent and has no answer */
#define SETTLED 4       /* the worker has accepted or refuses the start, or another owner has placed the attempt */

byte epoch = 1;

/* The owner: the original and the copy. */
byte state = NONE, worker = NOWORKER, number = 0;
byte copyState = NONE, copyWorker = NOWORKER, copyRun = 0;
bool done = false;
bool adopted = false;   /* the original was placed by an earlier owner */

/* The newest record. */
bool inLog = false;     /* it contains all changes of the owner */
byte logWorker = NOWORKER, logRun = 0, logCopyWorker = NOWORKER, logCopyRun = 0;
bool logDone = false;

/* The workers. */
byte running[WORKERS];
byte highest[WORKERS];  /* highest run that was started or stopped */
byte fence[WORKERS];
byte ended[WORKERS];    /* run that has ended as done, until that is confirmed */
bool applied[WORKERS];  /* the owner has read the end */

/* A start on its way to each worker. left is the time for which it is carried out, counted down; a call that has expired equals
 * a lost one. */
byte startRun[WORKERS], startEpoch[WORKERS], left[WORKERS];

byte newest = 0;        /* highest run that has started */
byte used = 0;          /* number of workers that were used */
bool confirmed = false;
byte confirmedFor = 0;  /* at most GRACE + 1 */

#define LASTRUN (number > copyRun -> number : copyRun)
/* The workers are equal, so the first to be used is 0, and then 1. */
#define FREE(w) (w <= used && w != worker && w != copyWorker && running[w] == 0 && ended[w] == 0)

inline Lose(w) {
	startRun[w] = 0; startEpoch[w] = 0; left[w] = 0
}

inline Tick(w) {
	if
	:: left[w] > 1 -> left[w]--
	:: left[w] == 1 -> Lose(w)
	:: else -> skip
	fi
}

proctype Clock() {
	do
	:: d_step { confirmed || left[0] > 0 || left[1] > 0 || left[2] > 0 ->
		Tick(0); Tick(1); Tick(2);
		if
		:: confirmed && confirmedFor <= GRACE -> confirmedFor++
		:: else -> skip
		fi }
	od
}

inline SendStart(w, r, e, first) {
	if
	:: left[w] == 0 ->
		startRun[w] = r; startEpoch[w] = e;
#ifdef LATE_START
		left[w] = LONG + 1
#else
		left[w] = (first -> LONG : LIMIT) + 1
#endif
	:: else -> skip   /* call lost */
	fi
}

proctype Worker(byte w) {
	do
	:: atomic { left[w] > 0 ->
		if
#ifdef NO_FENCE
		:: startRun[w] > highest[w] ->
#else
		:: startEpoch[w] >= fence[w] && startRun[w] > highest[w] ->
#endif
			assert((running[0] > 0) + (running[1] > 0) + (running[2] > 0) < 2);
			assert(!confirmed || confirmedFor <= GRACE);
			assert(startRun[w] > newest);
			newest = startRun[w];
			fence[w] = startEpoch[w]; highest[w] = startRun[w]; running[w] = startRun[w]
		:: else -> skip
		fi;
		Lose(w) }
	:: d_step { running[w] > 0 -> ended[w] = running[w]; running[w] = 0 }
	:: d_step { running[w] > 0 -> running[w] = 0 }   /* it ends without success, or its lease does */
	od
}

/* The first end as done ends the task. What else runs is stopped, or given up like any other attempt. */
inline EndTask() {
	if
	:: !done -> done = true; inLog = false
	:: else -> skip
	fi
}

inline Forget() {
	state = NONE; worker = NOWORKER; inLog = false
}

inline ForgetCopy() {
	copyState = NONE; copyWorker = NOWORKER; inLog = false
}

/* The owner reads an end as done, of an attempt that it knows or has given up. */
inline Apply(w) {
	applied[w] = true; fence[w] = epoch;
#ifdef LATE_END
	if
	:: ended[w] != number && ended[w] != copyRun && state >= SENT && copyState >= SENT -> skip
	:: else -> EndTask()
	fi;
#else
	EndTask();
#endif
	if
	:: w == worker && ended[w] == number -> Forget()
	:: w == copyWorker && ended[w] == copyRun -> ForgetCopy()
	:: else -> skip
	fi
}

inline Use(w) {
	if
	:: w == used -> used++
	:: else -> skip
	fi
}

inline Place(w) {
	Use(w);
	state = PLACED; worker = w; number = LASTRUN + 1; adopted = false; inLog = false
}

inline PlaceCopy(w) {
	Use(w);
	copyState = PLACED; copyWorker = w; copyRun = LASTRUN + 1; inLog = false
}

proctype Owner() {
	byte w;
	do
	/* Placements. */
	:: d_step { !done && state == NONE && copyState == NONE && LASTRUN < MAXRUN && FREE(0) -> Place(0) }
	:: d_step { !done && state == NONE && copyState == NONE && LASTRUN < MAXRUN && FREE(1) -> Place(1) }
	:: d_step { !done && state == NONE && copyState == NONE && LASTRUN < MAXRUN && FREE(2) -> Place(2) }
	:: d_step { !done && state == SETTLED && !adopted && copyState == NONE && LASTRUN < MAXRUN && FREE(0) -> PlaceCopy(0) }
	:: d_step { !done && state == SETTLED && !adopted && copyState == NONE && LASTRUN < MAXRUN && FREE(1) -> PlaceCopy(1) }
	:: d_step { !done && state == SETTLED && !adopted && copyState == NONE && LASTRUN < MAXRUN && FREE(2) -> PlaceCopy(2) }
	/* A placement that was not sent is taken back. */
	:: d_step { state == PLACED || state == STORED -> Forget() }
	:: d_step { copyState == PLACED || copyState == STORED -> ForgetCopy() }
	/* Storage. */
	:: d_step { !inLog ->
		inLog = true; logWorker = worker; logRun = number; logCopyWorker = copyWorker; logDone = done;
#ifdef RUN_FORGOTTEN
		logCopyRun = (copyState == NONE -> 0 : copyRun);
#else
		logCopyRun = copyRun;
#endif
		if
		:: state == PLACED -> state = STORED
		:: else -> skip
		fi;
		if
		:: copyState == PLACED -> copyState = STORED
		:: else -> skip
		fi }
	/* Starts. An answer settles the attempt; a stop does so, too. */
	:: d_step { !done && (state == STORED || state == SENT) -> state = SENT; SendStart(worker, number, epoch, number == 1) }
#ifdef UNSTORED_START
	:: d_step { !done && copyState == PLACED -> copyState = SENT; SendStart(copyWorker, copyRun, epoch, false) }
#endif
	:: d_step { !done && (copyState == STORED || copyState == SENT) ->
		copyState = SENT; SendStart(copyWorker, copyRun, epoch, false) }
	:: d_step { state == SENT && highest[worker] >= number -> state = SETTLED }
	:: d_step { copyState == SENT && highest[copyWorker] >= copyRun -> copyState = SETTLED }
	:: d_step { state >= SENT && fence[worker] <= epoch ->
		w = worker; fence[w] = epoch;
		if
		:: highest[w] < number -> highest[w] = number
		:: else -> skip
		fi;
		if
		:: running[w] == number -> running[w] = 0
		:: else -> skip
		fi;
		state = SETTLED; w = 0 }
	:: d_step { copyState >= SENT && fence[copyWorker] <= epoch ->
		w = copyWorker; fence[w] = epoch;
		if
		:: highest[w] < copyRun -> highest[w] = copyRun
		:: else -> skip
		fi;
		if
		:: running[w] == copyRun -> running[w] = 0
		:: else -> skip
		fi;
		copyState = SETTLED; w = 0 }
	/* An attempt is given up: the list of its worker contains neither it nor its end, */
	:: d_step { state == SETTLED && running[worker] != number && ended[worker] != number -> fence[worker] = epoch; Forget() }
	:: d_step { copyState == SETTLED && running[copyWorker] != copyRun && ended[copyWorker] != copyRun ->
		fence[copyWorker] = epoch; ForgetCopy() }
	/* or the lease of the worker and all starts of the attempt have expired. */
#ifdef EARLY_LOSS
	:: d_step { state >= SENT -> Forget() }
#else
	:: d_step { state >= SENT && running[worker] != number && startRun[worker] != number -> Forget() }
#endif
#ifdef COPY_FORGOTTEN
	:: d_step { copyState == SETTLED -> ForgetCopy() }
#endif
	:: d_step { copyState >= SENT && running[copyWorker] != copyRun && startRun[copyWorker] != copyRun -> ForgetCopy() }
	/* Ends as done. */
	:: d_step { ended[0] > 0 && !applied[0] -> Apply(0) }
	:: d_step { ended[1] > 0 && !applied[1] -> Apply(1) }
	:: d_step { ended[2] > 0 && !applied[2] -> Apply(2) }
#ifdef EARLY_CONFIRMATION
#define CONFIRMABLE true
#else
#define CONFIRMABLE inLog
#endif
	:: d_step { CONFIRMABLE && applied[0] -> applied[0] = false; ended[0] = 0; confirmed = true }
	:: d_step { CONFIRMABLE && applied[1] -> applied[1] = false; ended[1] = 0; confirmed = true }
	:: d_step { CONFIRMABLE && applied[2] -> applied[2] = false; ended[2] = 0; confirmed = true }
	/* The owner ends. It may have sent the starts that are stored. */
	:: d_step { epoch == 1 ->
		if
		:: !done && (state == STORED || state == SENT) -> SendStart(worker, number, 1, number == 1)
		:: true -> skip
		fi;
		if
		:: !done && (copyState == STORED || copyState == SENT) -> SendStart(copyWorker, copyRun, 1, false)
		:: true -> skip
		fi;
		epoch = 2; inLog = true; done = logDone; adopted = true;
		worker = logWorker; number = logRun; copyWorker = logCopyWorker; copyRun = logCopyRun;
		state = (worker == NOWORKER -> NONE : SETTLED);
		copyState = (copyWorker == NOWORKER -> NONE : SETTLED);
		applied[0] = false; applied[1] = false; applied[2] = false }
	od
}

init {
	atomic {
		run Clock(); run Worker(0); run Worker(1); run Worker(2); run Owner()
	}
}
