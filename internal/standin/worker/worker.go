// Package worker is a stand-in of the workers: it executes requests and runs tasks under leases, with faults that can be switched on.
// One process carries many workers, which share a Ledger that counts what must never happen. A worker only reacts to calls.
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
	Addr        string
	Slots       int
	Connections int
	Capacity    resource.Vector
	Model       *Model
	// Drift is how much faster the worker's clock runs than real time; the platform promises less than 1%.
	Drift float64
	// UsageLag is the least age of the usage that a lease reply reports.
	UsageLag time.Duration
	// LateAfter is the time after the worker is marked leaving from which new work is refused and counted as late.
	LateAfter time.Duration
}

// minWake is the least time to the next wake. The conversion between a drifting clock and time rounds by a nanosecond, so what is due can
// lie just after a wake; without a pause a virtual clock would never reach it.
const minWake = time.Microsecond

// samplePeriod is the period of usage measurements and of the load that interference sees.
const samplePeriod = 500 * time.Millisecond

// Worker is one worker. It implements http.Handler.
type Worker struct {
	cfg    Config
	ledger *Ledger
	logger *slog.Logger
	now    func() time.Time
	// start and offset define the worker's clock, which differs from that of every other process and goes on across reboots.
	start  time.Time
	offset time.Duration
	random *rand.Rand

	mu     sync.Mutex
	faults Faults
	// thawed is closed when the worker is not frozen.
	thawed  chan struct{}
	leaving time.Time
	// life is the state since the last boot; nil while the worker is dead.
	life  *life
	timer *time.Timer
	// lastAnswer is the newest answer, which a crossed answer repeats.
	lastAnswer answer
}

// life is what a worker loses when it dies.
type life struct {
	boot     instance.Incarnation
	ended    chan struct{}
	lease    lease.Worker
	lapses   int
	envelope resource.Vector
	fences   map[instance.Incarnation]uint64
	tasks    map[upstream.TaskRef]*task
	// attempts holds the highest attempt seen of each task, so that a delayed start cannot run an older one.
	attempts   map[taskKey]attemptSeen
	events     []event
	lastEvent  uint64
	inProgress map[instance.Incarnation]int
	busy       int
	// requests holds the requests in progress, cancelled the time of each cancellation.
	requests  map[requestKey]*slot
	cancelled map[requestKey]time.Time
	// conns counts the open connections that have carried a request.
	conns   int
	usage   usageLog
	sampled time.Time
}

type attemptSeen struct {
	attempt    int
	checkpoint string
	at         time.Time
	// never tells that the attempt was stopped before it was started.
	never bool
}

// event is an ended attempt that no owner has acknowledged. lapses is the number of lapses before it: an owner may treat the attempt
// as lost once the lease has lapsed.
type event struct {
	upstream.TaskEvent
	lapses int
}

// New returns a worker that is alive. Close stops its timers.
func New(cfg Config, l *Ledger, logger *slog.Logger) *Worker {
	if cfg.Model == nil {
		cfg.Model = &Model{}
	}
	seed := xxhash.Sum64String(string(cfg.ID))
	w := &Worker{cfg: cfg, ledger: l, logger: logger, now: time.Now, start: time.Now(),
		random: rand.New(rand.NewPCG(cfg.Model.Seed, seed)), thawed: make(chan struct{})}
	close(w.thawed)
	// The reading goes on from a time of day, so a restarted process never reads an earlier time.
	w.offset = time.Duration(w.start.Unix())*time.Second + time.Duration(seed%uint64(1000*time.Hour))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boot(w.now())
	return w
}

// boot begins a new life.
func (w *Worker) boot(now time.Time) {
	w.ledger.Count(CountBoots)
	w.life = &life{boot: instance.Incarnation(uuid.NewString()), ended: make(chan struct{}), sampled: now,
		fences: map[instance.Incarnation]uint64{}, tasks: map[upstream.TaskRef]*task{}, attempts: map[taskKey]attemptSeen{},
		inProgress: map[instance.Incarnation]int{}, requests: map[requestKey]*slot{}, cancelled: map[requestKey]time.Time{},
		// Event numbers grow across boots, so an acknowledgement for an earlier boot cannot remove a later event.
		lastEvent: uint64(now.UnixMicro())}
	w.timer = time.AfterFunc(samplePeriod, w.wake)
}

// die ends the life: tasks and requests are gone without an end.
func (w *Worker) die() {
	if w.life == nil {
		return
	}
	w.timer.Stop()
	for _, t := range w.life.tasks {
		t.run.End("")
	}
	close(w.life.ended)
	w.life = nil
}

// Close ends the worker as a power cut does.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.die()
}

// Leave marks the worker as leaving. It finishes its requests and tasks.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leave(w.now())
}

func (w *Worker) leave(now time.Time) {
	if w.leaving.IsZero() {
		w.leaving = now
	}
}

// late reports whether the worker was marked leaving so long ago that nobody may send it new work.
func (w *Worker) late(now time.Time) bool {
	return !w.leaving.IsZero() && now.Sub(w.leaving) > w.cfg.LateAfter
}

// Member returns the worker's entry in the instance list; ok is false while it is dead.
func (w *Worker) Member() (m instance.Member, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return m, false
	}
	m = instance.Member{ID: w.cfg.ID, Incarnation: w.life.boot, Role: instance.RoleWorker, State: instance.StateLive,
		DataCentre: w.cfg.DataCentre, Addr: w.cfg.Addr, Rack: w.cfg.Rack, Slots: w.cfg.Slots, Connections: w.cfg.Connections,
		Capacity: w.cfg.Capacity}
	if !w.leaving.IsZero() {
		m.State = instance.StateLeaving
	}
	return m, true
}

// Load returns the number of running tasks and of slots in use.
func (w *Worker) Load() (tasks, busy int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil {
		return 0, 0
	}
	return len(w.life.tasks), w.life.busy
}

// clock returns the worker's clock reading.
func (w *Worker) clock(now time.Time) time.Duration {
	elapsed := now.Sub(w.start)
	return elapsed + time.Duration(float64(elapsed)*w.cfg.Drift) + w.offset
}

// wall is the inverse of clock.
func (w *Worker) wall(reading time.Duration) time.Time {
	return w.start.Add(time.Duration(float64(reading-w.offset) / (1 + w.cfg.Drift)))
}

// wake brings the state up to date when something is due.
func (w *Worker) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != nil {
		w.advance(w.now())
	}
}

// advance brings tasks and lease up to date and arms the timer for whatever is due next.
func (w *Worker) advance(now time.Time) {
	lf := w.life
	until := now
	if lapse := w.wall(lf.lease.Expiry()); lapse.Before(now) {
		until = lapse
	}
	for _, t := range lf.tasks {
		w.settle(t, until)
	}
	if lf.lease.Lapse(w.clock(now)) {
		w.lapse(until)
	}
	if now.Sub(lf.sampled) >= samplePeriod {
		w.sample(now)
	}
	w.arm(now)
}

// lapse stops all tasks because the lease has ended.
func (w *Worker) lapse(now time.Time) {
	w.ledger.Count(CountLapses)
	for _, t := range w.life.tasks {
		w.end(t, now, upstream.OutcomeEvicted, "lease lapsed")
	}
	w.life.lapses++
}

func (w *Worker) arm(now time.Time) {
	next := w.life.sampled.Add(samplePeriod)
	if w.life.lease.Valid(w.clock(now)) {
		next = earlier(next, w.wall(w.life.lease.Expiry()))
	}
	for _, t := range w.life.tasks {
		next = earlier(next, t.due())
	}
	w.timer.Reset(max(minWake, next.Sub(now)))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
