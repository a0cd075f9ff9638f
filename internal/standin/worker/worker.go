// Package worker is a stand-in of the workers: it executes requests and runs tasks under leases, with injectable
// faults. One process runs many workers, which share a Ledger that detects violations of the guarantees of the system
// under test. A worker makes no calls of its own; it only answers them.
package worker

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/lease"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Config describes one worker.
type Config struct {
	ID         instance.ID
	DataCentre string
	Rack       int
	// Addr is the ip:port of the worker's HTTP endpoint.
	Addr string
	// Slots is the number of requests that the worker executes concurrently.
	Slots int
	// Connections is the largest number of open connections that carry requests.
	Connections int
	Capacity    resource.Vector
	// Model determines run times and interference. Nil selects the zero Model.
	Model *Model
	// Drift is the relative rate error of the worker's clock: 0.01 is a clock that runs 1% fast. The platform
	// guarantees a drift below 1%.
	Drift float64
	// UsageLag is the minimum age of the usage measurement that a lease reply reports.
	UsageLag time.Duration
	// LeaveGracePeriod is the time after the worker is marked as leaving during which it still accepts new work. After
	// it, new work is refused and counted as a violation.
	LeaveGracePeriod time.Duration
}

// minTimerDelay is the minimum delay of the timer. The conversion between a drifting clock and time rounds to a
// nanosecond, so the timer can fire just before an update is due. With a delay of zero it would fire again at once, and
// a virtual clock, which does not advance meanwhile, would never reach the update.
const minTimerDelay = time.Microsecond

// samplePeriod is the interval between two usage measurements, and the longest time for which a task keeps its rate
// after the load has changed.
const samplePeriod = 500 * time.Millisecond

// Worker is one worker. It implements http.Handler and is safe for concurrent use.
type Worker struct {
	cfg    Config
	ledger *Ledger
	logger *slog.Logger
	now    func() time.Time
	// start and offset define the worker's clock, which differs from the clock of every other process and continues
	// across reboots.
	start  time.Time
	offset time.Duration
	random *rand.Rand

	mu     sync.Mutex
	faults Faults
	// unfrozen is closed while the worker is not frozen. A freeze replaces it.
	unfrozen chan struct{}
	// leavingSince is the time at which the worker was marked as leaving, or zero.
	leavingSince time.Time
	// bootState is nil while the worker is dead.
	bootState *bootState
	timer     *time.Timer
	// lastAnswer is the newest answer. The fault wrongCrossed sends it in place of the answer to the next request.
	lastAnswer answer
}

// bootState is the state of a worker since its last boot. A dead worker loses it.
type bootState struct {
	// incarnation identifies this boot of the worker.
	incarnation instance.Incarnation
	// ended is closed when the worker dies.
	ended chan struct{}
	lease lease.Worker
	// leaseExpirations is the number of times that the lease has expired.
	leaseExpirations int
	// slotReservation is the capacity that the owner reserves for requests in each slot. Tasks cannot use it.
	slotReservation resource.Vector
	// minGenerations holds, by gateway, the lowest generation of its grants that is accepted. Requests under an older
	// grant are refused.
	minGenerations map[instance.Incarnation]uint64
	tasks          map[upstream.TaskRef]*task
	// attempts holds the highest known attempt of each task, so that a delayed start cannot run an older one.
	attempts  map[taskKey]attemptRecord
	events    []event
	lastEvent uint64
	// inProgress is the number of slots in use by gateway, busy their total.
	inProgress map[instance.Incarnation]int
	busy       int
	// requests holds the requests in progress, cancelled the time of each cancellation.
	requests  map[requestKey]*activeRequest
	cancelled map[requestKey]time.Time
	// openConns is the number of open connections that have carried a request to execute.
	openConns int
	usage     usageLog
	sampledAt time.Time
}

// attemptRecord is the highest known attempt of a task and its newest checkpoint.
type attemptRecord struct {
	attempt    int
	checkpoint string
	at         time.Time
	// neverStarted reports whether the attempt was stopped before its start call arrived.
	neverStarted bool
}

// event reports the end of an attempt. It is kept until an owner acknowledges it. leaseExpirations is the number of
// lease expirations before the end; after a further one, the owner may already treat the attempt as lost.
type event struct {
	upstream.TaskEvent
	leaseExpirations int
}

// New returns a booted worker. Close stops its timer.
func New(cfg Config, l *Ledger, logger *slog.Logger) *Worker {
	if cfg.Model == nil {
		cfg.Model = &Model{}
	}
	seed := xxhash.Sum64String(string(cfg.ID))
	w := &Worker{cfg: cfg, ledger: l, logger: logger, now: time.Now, start: time.Now(),
		random: rand.New(rand.NewPCG(cfg.Model.Seed, seed)), unfrozen: make(chan struct{})}
	close(w.unfrozen)
	// The clock starts from the Unix time, so that its readings do not go back when the process restarts.
	w.offset = time.Duration(w.start.Unix())*time.Second + time.Duration(seed%uint64(1000*time.Hour))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot(w.now())
	return w
}

// boot creates the state of a new boot and starts the timer.
func (w *Worker) boot(now time.Time) {
	w.ledger.Count(CountBoots)
	w.bootState = &bootState{incarnation: instance.Incarnation(uuid.NewString()), ended: make(chan struct{}),
		sampledAt: now, minGenerations: map[instance.Incarnation]uint64{}, tasks: map[upstream.TaskRef]*task{},
		attempts: map[taskKey]attemptRecord{}, inProgress: map[instance.Incarnation]int{},
		requests: map[requestKey]*activeRequest{}, cancelled: map[requestKey]time.Time{},
		// Event numbers grow across boots, so that an acknowledgement from before a boot cannot remove a later event.
		lastEvent: uint64(now.UnixMicro())}
	w.timer = time.AfterFunc(samplePeriod, w.onTimer)
}

// kill drops the state of the boot. Tasks and requests end without an event or an answer.
func (w *Worker) kill() {
	if w.bootState == nil {
		return
	}
	w.timer.Stop()
	for _, t := range w.bootState.tasks {
		t.run.End("")
	}
	close(w.bootState.ended)
	w.bootState = nil
}

// Close stops the worker abruptly, as a power failure does.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kill()
}

// Leave marks the worker as leaving. Its requests and tasks continue to their ends.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave(w.now())
}

// leave marks the worker as leaving unless it is marked already.
func (w *Worker) leave(now time.Time) {
	if w.leavingSince.IsZero() {
		w.leavingSince = now
	}
}

// refusesNewWork reports whether the worker was marked as leaving longer ago than LeaveGracePeriod. New work is a
// violation from then on.
func (w *Worker) refusesNewWork(now time.Time) bool {
	return !w.leavingSince.IsZero() && now.Sub(w.leavingSince) > w.cfg.LeaveGracePeriod
}

// Member returns the worker's entry in the instance list; ok is false while the worker is dead.
func (w *Worker) Member() (m instance.Member, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bootState == nil {
		return m, false
	}
	m = instance.Member{ID: w.cfg.ID, Incarnation: w.bootState.incarnation, Role: instance.RoleWorker,
		State: instance.StateLive, DataCentre: w.cfg.DataCentre, Addr: w.cfg.Addr, Rack: w.cfg.Rack, Slots: w.cfg.Slots,
		Connections: w.cfg.Connections, Capacity: w.cfg.Capacity}
	if !w.leavingSince.IsZero() {
		m.State = instance.StateLeaving
	}
	return m, true
}

// Load returns the number of running tasks and the number of slots in use.
func (w *Worker) Load() (tasks, busy int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bootState == nil {
		return 0, 0
	}
	return len(w.bootState.tasks), w.bootState.busy
}

// clock returns the reading of the worker's clock at a time.
func (w *Worker) clock(now time.Time) time.Duration {
	elapsed := now.Sub(w.start)
	return elapsed + time.Duration(float64(elapsed)*w.cfg.Drift) + w.offset
}

// wallTime returns the time at which the worker's clock shows a reading. It is the inverse of clock.
func (w *Worker) wallTime(reading time.Duration) time.Time {
	return w.start.Add(time.Duration(float64(reading-w.offset) / (1 + w.cfg.Drift)))
}

// onTimer is called when the timer fires.
func (w *Worker) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bootState != nil {
		w.advance(w.now())
	}
}

// advance updates the tasks and the lease to the given time and arms the timer for the next update that is due.
func (w *Worker) advance(now time.Time) {
	bs := w.bootState
	until := now
	if expiry := w.wallTime(bs.lease.Expiry()); expiry.Before(now) {
		until = expiry
	}
	for _, t := range bs.tasks {
		w.updateProgress(t, until)
	}
	if bs.lease.Lapse(w.clock(now)) {
		w.onLeaseExpired(until)
	}
	if now.Sub(bs.sampledAt) >= samplePeriod {
		w.sampleUsage(now)
	}
	w.armTimer(now)
}

// onLeaseExpired evicts all tasks because the lease has expired.
func (w *Worker) onLeaseExpired(now time.Time) {
	w.ledger.Count(CountLeaseExpirations)
	for _, t := range w.bootState.tasks {
		w.endTask(t, now, upstream.OutcomeEvicted, "lease lapsed")
	}
	w.bootState.leaseExpirations++
}

// armTimer sets the timer to the next sample, lease expiry or task update, whichever comes first.
func (w *Worker) armTimer(now time.Time) {
	next := w.bootState.sampledAt.Add(samplePeriod)
	if w.bootState.lease.Valid(w.clock(now)) {
		next = earlier(next, w.wallTime(w.bootState.lease.Expiry()))
	}
	for _, t := range w.bootState.tasks {
		next = earlier(next, t.nextDue())
	}
	w.timer.Reset(max(minTimerDelay, next.Sub(now)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
