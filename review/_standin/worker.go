package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the site that workers keep.
const (
	heartbeat    = 1100 * time.Millisecond
	longestLease = 10 * time.Second
	longestWait  = 2 * time.Second
	stopTime     = 400 * time.Millisecond
	endsPerList  = 500
	silentBeats  = 3
	startupTime  = 340 * time.Millisecond
	calmTailMS   = 10
)

// program is what a task does on a worker.
type program struct {
	cpu, memoryMB int64
	// duration is how long the task runs until it is done; 0 if it lasts until it is stopped.
	duration time.Duration
	// label is the label that the worker must have; empty for none.
	label string
}

// run is an attempt on a worker.
type run struct {
	task      string
	number    int
	program   program
	began     time.Time
	stoppedAt time.Time
}

// percent is the progress of a run; a run that lasts is at work after a short startup.
func (r *run) percent() int {
	whole := r.program.duration
	if whole == 0 {
		whole = startupTime
	}
	return min(100, int(100*time.Since(r.began)/whole))
}

// load is the rough figure of a run: the tail of its response times in milliseconds if it lasts, or its use of processors.
func (p program) load() int64 {
	if p.duration == 0 {
		return calmTailMS
	}
	return p.cpu
}

// end is an entry of the list of ends.
type end struct {
	number int64
	task   string
	run    int
	how    string
	at     time.Time
}

// worker is one life of a worker.
type worker struct {
	id, address, kind, rack string
	born                    int64
	began                   time.Time
	pool                    *pool
	gate                    *gate
	server                  *http.Server
	listener                net.Listener
	quit                    chan struct{}

	// nextBeat is when the next entry is due.
	nextBeat time.Time
	// busy makes the worker refuse all starts with 503, as an unhealthy worker does.
	busy atomic.Bool

	mu      sync.Mutex
	fence   int64
	lease   time.Duration
	runs    map[string]*run
	refused map[string]int // the highest run of each task that was stopped or has ended
	ends    []end
	lastEnd int64
	seen    int64
	changed chan struct{}
	ended   bool
}

// pool is all workers of the deployment.
type pool struct {
	store   *store
	record  *record
	program func(task string) program
	mu      sync.Mutex
	lives   int
	workers map[string]*worker // by address
	first   *worker
}

// start begins a life of a worker behind a gate, under an id; a new one if it is empty.
func (p *pool) start(g *gate, id, kind, rack string) *worker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(fmt.Errorf("worker: %w", err))
	}
	now := time.Now()
	p.mu.Lock()
	p.lives++
	if id == "" {
		id = fmt.Sprintf("i-%010x", now.UnixNano()&0xffffff000000|int64(p.lives))
	}
	// The store gets an entry about every heartbeat, also across a restart.
	var nextBeat time.Time
	if previous := g.last; previous != nil && previous.id == id {
		nextBeat = previous.nextBeat
	}
	w := &worker{id: id, nextBeat: nextBeat, address: g.address, gate: g, kind: kind, rack: rack, born: now.UnixMilli(), began: now, pool: p, listener: l, quit: make(chan struct{}),
		runs: map[string]*run{}, refused: map[string]int{}, changed: make(chan struct{})}
	p.workers[w.address], g.last = w, w
	p.mu.Unlock()
	g.connect(l.Addr().String())
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	go w.work()
	return w
}

// crash ends a life without notice: its connections are reset and its runs are gone. Its entry in the store goes after
// three missed heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	w.ended = true
	for _, r := range w.runs {
		w.pool.record.gone(r, w)
	}
	w.mu.Unlock()
	close(w.quit)
	_ = w.server.Close()
	w.pool.mu.Lock()
	delete(w.pool.workers, w.address)
	w.pool.mu.Unlock()
	time.AfterFunc(silentBeats*heartbeat, func() {
		if !w.pool.alive(w.id) {
			w.pool.store.put("keyed.servers", w.id, nil)
		}
	})
}

// alive reports whether a worker with an id is up.
func (p *pool) alive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		if w.id == id {
			return true
		}
	}
	return false
}

func (w *worker) beat() {
	for seq := 1; ; seq++ {
		select {
		case <-w.quit:
			return
		case <-time.After(time.Until(w.nextBeat)):
		}
		w.pool.mu.Lock()
		w.nextBeat = time.Now().Add(heartbeat)
		w.pool.mu.Unlock()
		b, _ := json.Marshal(map[string]any{"service": serviceName, "address": w.address, "zone": zoneName, "version": "v1",
			"slots": 8, "state": "ready", "cold_left_ms": 0, "labels": []string{w.kind, w.rack}, "seq": seq, "born": w.born,
			"capacity": map[string]int64{"cpu": workerMilliCores, "mem_mb": workerMB, "gpu": 0},
			"clock_ms": w.clock().Milliseconds()})
		if !w.pool.store.down.Load() && !w.gate.isCut() {
			w.pool.store.put("keyed.servers", w.id, b)
		}
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.began) }

// work ends runs when they are done, stopped or without a lease.
func (w *worker) work() {
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(5 * time.Millisecond):
		}
		w.mu.Lock()
		now, lapsed := time.Now(), w.clock() > w.lease
		if lapsed && len(w.ends) > 0 {
			w.pool.record.lapsed(w)
		}
		for _, r := range w.runs {
			switch {
			case !r.stoppedAt.IsZero() && now.Sub(r.stoppedAt) > stopTime/2:
				w.finish(r, "stopped")
			case lapsed:
				w.finish(r, "lapsed")
			case r.program.duration > 0 && now.Sub(r.began) > r.program.duration:
				w.finish(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// finish lists the end of a run. It requires w.mu.
func (w *worker) finish(r *run, how string) {
	delete(w.runs, r.task)
	w.refused[r.task] = max(w.refused[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{number: w.lastEnd, task: r.task, run: r.number, how: how, at: time.Now()})
	w.pool.record.ended(r, w, how, w.lastEnd)
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of every call to a worker.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	UntilMS  *int64 `json:"until_ms"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.reply(rw, http.StatusBadRequest, nil)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		w.reply(rw, http.StatusMisdirectedRequest, nil)
		return
	}
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if w.busy.Load() && r.URL.Path == "/api/run-start" {
		w.mu.Unlock()
		w.pool.record.note("start of run %d of %s refused by %s with 503", o.Run, o.Task, w.id)
		w.reply(rw, http.StatusServiceUnavailable, nil)
		return
	}
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.reply(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/api/run-start":
		reason := w.begin(&o)
		w.mu.Unlock()
		if reason != "" {
			w.reply(rw, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
	case "/api/run-stop":
		reason := w.stop(&o)
		w.mu.Unlock()
		if reason != "" {
			w.reply(rw, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
	case "/api/hold":
		w.extend(o.UntilMS)
		w.acknowledge(o.LastSeen)
		w.mu.Unlock()
		w.hold(rw, r, &o)
		return
	default:
		w.mu.Unlock()
	}
	w.reply(rw, http.StatusOK, nil)
}

func (w *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"], body["born"] = w.clock().Milliseconds(), w.born
	reply(rw, status, body)
}

// extend takes over the limit of a lease. It requires w.mu.
func (w *worker) extend(untilMS *int64) {
	if untilMS != nil {
		w.lease = max(w.lease, min(time.Duration(*untilMS)*time.Millisecond, w.clock()+longestLease))
	}
}

// begin carries out a start, or returns why it is refused. It requires w.mu.
func (w *worker) begin(o *order) string {
	if o.UntilMS != nil && time.Duration(*o.UntilMS)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extend(o.UntilMS)
	if present := w.runs[o.Task]; present != nil {
		if present.number == o.Run {
			return ""
		}
		return "old"
	}
	if o.Run <= w.refused[o.Task] {
		return "old"
	}
	p := w.pool.program(o.Task)
	cpu, memory := p.cpu, p.memoryMB
	for _, r := range w.runs {
		cpu, memory = cpu+r.program.cpu, memory+r.program.memoryMB
	}
	if cpu > workerMilliCores || memory > workerMB {
		return "room"
	}
	r := &run{task: o.Task, number: o.Run, program: p, began: time.Now()}
	w.runs[o.Task] = r
	w.pool.record.started(r, w)
	return ""
}

// stop carries out a stop, or returns why it is refused. It requires w.mu.
func (w *worker) stop(o *order) string {
	r := w.runs[o.Task]
	if r != nil && r.number == o.Run {
		if r.stoppedAt.IsZero() {
			r.stoppedAt = time.Now()
		}
		return ""
	}
	// A later start of this run, or of an earlier one, is refused.
	w.refused[o.Task] = max(w.refused[o.Task], o.Run)
	return ""
}

// acknowledge forgets the ends up to a number. It requires w.mu.
func (w *worker) acknowledge(lastSeen int64) {
	for len(w.ends) > 0 && w.ends[0].number <= lastSeen {
		w.pool.record.noted(&w.ends[0], w)
		w.ends = w.ends[1:]
	}
	w.seen = max(w.seen, lastSeen)
}

// hold answers with both lists, as soon as there is an end or the wait is over.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	timeout := time.After(min(time.Duration(o.WaitMS)*time.Millisecond, longestWait))
	for waited := o.WaitMS == 0; ; {
		w.mu.Lock()
		if len(w.ends) > 0 || waited {
			break
		}
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		running = append(running, []any{run.task, run.number, "", run.percent(), run.program.load()})
	}
	sort.Slice(running, func(i, k int) bool { return running[i][0].(string) < running[k][0].(string) })
	for _, e := range w.ends[:min(len(w.ends), endsPerList)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.mu.Unlock()
	w.reply(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}
