package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment, which the settings file and the stand-ins share.
const (
	holdMax      = 10 * time.Second
	stopGrace    = 400 * time.Millisecond
	gangWait     = 3 * time.Second
	checkpointed = time.Second
	restoreTime  = 250 * time.Millisecond
	heartbeat    = 1100 * time.Millisecond
)

// stepSpec is what a submission asks of one step, in the platform's form.
type stepSpec struct {
	Count         int     `json:"count"`
	CPU           int64   `json:"cpu,omitempty"`
	MemMB         int64   `json:"mem_mb,omitempty"`
	EstimateMS    int64   `json:"estimate_ms,omitempty"`
	After         []int   `json:"after,omitempty"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Gang          bool    `json:"gang,omitempty"`
	Label         string  `json:"required_label,omitempty"`
	DataRack      string  `json:"data_rack,omitempty"`
	MaxPerServer  int     `json:"max_per_server,omitempty"`
	Speculative   bool    `json:"speculative,omitempty"`
	Perpetual     bool    `json:"perpetual,omitempty"`
	Image         string  `json:"image,omitempty"`
	TargetMS      float64 `json:"target_ms,omitempty"`
	Fills         bool    `json:"fills,omitempty"`
	MayMiss       int     `json:"may_miss,omitempty"`

	// workMS is how long a task works. The first failRuns runs of a task fail after failMS of work.
	workMS, failMS int64
	failRuns       int
}

// reserved returns what counts against the capacity of a worker.
func (d *stepSpec) reserved() int64 {
	if d.Fills {
		return 0
	}
	return d.CPU
}

// submission is what a client has handed in.
type submission struct {
	id          string
	queue       *queue
	steps       []stepSpec
	spec        string
	firstRunMS  int64
	intervalMS  int64
	repeat      int
	accepted    time.Time
	rejected    int
	unknown     int
	cancelSent  time.Time
	cancelAcked time.Time
}

type queue struct {
	name, host, prefix, service string
	priority, maxAttempts       int
}

// allMembersFail makes all members of a gang fail by themselves, instead of the first one that is looked at.
var allMembersFail = true

// run is one run of a task on one life of a worker.
type run struct {
	task            string
	sub             *submission
	k, step, index  int
	number          int
	w               *worker
	life            int
	began           time.Time
	working         time.Time
	base            time.Duration
	stopAt          time.Time
	ended           time.Time
	how             string
	n               int64
	noted, lapsed   bool
	percent         int
	resumedFrom     string
	gangMembersSeen int
}

func (r *run) def() *stepSpec { return &r.sub.steps[r.step] }

// load returns the fifth entry of a row of running: the tail in milliseconds of a task that serves, and the processors in use
// of any other.
func (r *run) load() float64 {
	if r.def().TargetMS > 0 {
		return 10
	}
	return float64(r.def().CPU)
}

func (r *run) progress(now time.Time) time.Duration {
	if r.working.IsZero() {
		return r.base
	}
	return r.base + max(0, now.Sub(r.working))
}

func (r *run) saved(now time.Time) string {
	if !r.def().Checkpointing {
		return ""
	}
	done := r.progress(now) / checkpointed * checkpointed
	if done <= 0 {
		return ""
	}
	return fmt.Sprintf("%016x", done.Milliseconds())
}

// fleet holds all workers and judges what they see.
type fleet struct {
	mu      sync.Mutex
	store   *store
	workers []*worker
	subs    map[string]*submission
	// runs holds the runs of each task in the order of their starts.
	runs    map[string][]*run
	gangs   map[string]map[int]*run
	broken  []string
	record  *os.File
	began   time.Time
	random  *rand.Rand
	starts  int
	guards  bool
	stopped bool
	// closes makes the workers close each connection after one answer, as HTTP/1.1 allows with "Connection: close".
	closes bool
	// subnet is a part of the loopback addresses of the workers.
	subnet int
}

func newFleet(s *store, record *os.File, seed uint64, guards bool) *fleet {
	f := &fleet{store: s, subs: map[string]*submission{}, runs: map[string][]*run{}, gangs: map[string]map[int]*run{}, record: record, subnet: 1 + rand.IntN(250),
		began: time.Now(), random: rand.New(rand.NewPCG(seed, 7)), guards: guards}
	go func() {
		for {
			time.Sleep(8 * time.Millisecond)
			f.mu.Lock()
			if f.stopped {
				f.mu.Unlock()
				return
			}
			now := time.Now()
			for _, w := range f.workers {
				if w.up {
					w.tick(now)
				}
			}
			f.mu.Unlock()
		}
	}()
	return f
}

// note writes a line to the record. It requires no lock.
func (f *fleet) note(format string, args ...any) {
	fmt.Fprintf(f.record, "%8.3f "+format+"\n", append([]any{time.Since(f.began).Seconds()}, args...)...)
}

// breaks notes that a rule is broken. It requires f.mu.
func (f *fleet) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	f.broken = append(f.broken, text)
	f.note("BROKEN %s", text)
}

// worker is a stand-in of one worker. Each of its lives has its own clock, fence and lists.
type worker struct {
	f                 *fleet
	id, service, zone string
	labels            []string
	cpu, mem          int64
	addr              string
	up, draining      bool
	starting, dark    bool
	life              int
	born              time.Time
	fence             int64
	lease             time.Duration
	running           map[string]*run
	settled           map[string]int
	ends              []*run
	lastEnd           int64
	server            *http.Server
	cutUntil          time.Time
	lateShare         float64
	seq               int
	silentEntry       bool
	fenceSeen         []int64
	failsAll          bool
	slowClock         bool
	// drainingSince is when the store had accepted that the worker drains. busy makes it refuse starts with 503, loseShare is the
	// share of its answers to orders that are lost.
	drainingSince time.Time
	busy          bool
	loseShare     float64
}

// addWorker starts a worker on a free loopback port.
func (f *fleet) addWorker(id, service, zone string, labels []string, cpu, mem int64) *worker {
	w := &worker{f: f, id: id, service: service, zone: zone, labels: labels, cpu: cpu, mem: mem}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	w.start()
	return w
}

type lifeKey struct{}

// start begins a life of the worker.
func (w *worker) start() {
	f := w.f
	f.mu.Lock()
	if w.up || w.starting {
		f.mu.Unlock()
		return
	}
	w.starting = true
	f.mu.Unlock()
	addr := w.addr
	if addr == "" {
		addr = fmt.Sprintf("127.78.%d.%d:0", f.subnet, len(f.workers))
	}
	var ln net.Listener
	var err error
	for range 200 {
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "worker cannot listen:", err)
		os.Exit(2)
	}
	f.mu.Lock()
	w.starting = false
	w.addr, w.up, w.draining, w.drainingSince = ln.Addr().String(), true, false, time.Time{}
	w.life++
	life := w.life
	w.born = time.Now()
	w.fence, w.lease, w.lastEnd, w.ends = 0, 0, 0, nil
	w.running, w.settled = map[string]*run{}, map[string]int{}
	mux := http.NewServeMux()
	mux.HandleFunc("/", w.handle)
	w.server = &http.Server{Handler: mux, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, lifeKey{}, life)
	}}
	server := w.server
	f.mu.Unlock()
	f.note("worker %s life %d up at %s", w.id, life, w.addr)
	go func() { _ = server.Serve(ln) }()
	go func() {
		for w.report(life) {
			time.Sleep(heartbeat)
		}
	}()
}

// report writes the entry of a life, and reports whether that life goes on.
func (w *worker) report(life int) bool {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.up || w.life != life || f.stopped {
		return false
	}
	if time.Now().Before(w.cutUntil) {
		return true
	}
	w.seq++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 8,
		"state": state, "cold_left_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0},
		"labels": w.labels, "clock_ms": w.clock(time.Now()).Milliseconds(), "seq": w.seq, "born": w.born.UnixMilli()})
	f.store.put("keyed.servers", w.id, b)
	if w.draining && w.drainingSince.IsZero() {
		w.drainingSince = time.Now()
	}
	return true
}

// crash ends the life of the worker: its connections are closed and it runs nothing.
func (w *worker) crash() {
	f := w.f
	f.mu.Lock()
	if !w.up {
		f.mu.Unlock()
		return
	}
	w.up = false
	now := time.Now()
	lost := []string{}
	for _, r := range w.running {
		lost = append(lost, fmt.Sprintf("%s run %d", r.task, r.number))
		w.finish(r, now, "crashed")
	}
	server := w.server
	f.mu.Unlock()
	f.note("worker %s life %d crashes, with %v", w.id, w.life, lost)
	_ = server.Close()
}

// removeEntry removes the worker's entry from the store, as the platform does for a worker that has left or is silent.
func (w *worker) removeEntry() { w.f.store.put("keyed.servers", w.id, nil) }

// clock returns the reading of the worker's clock, which may be 2% slow.
func (w *worker) clock(now time.Time) time.Duration {
	if w.slowClock {
		return time.Duration(0.98 * float64(now.Sub(w.born)))
	}
	return now.Sub(w.born)
}

// finish ends a run. A crash lists no end. It requires f.mu.
func (w *worker) finish(r *run, now time.Time, how string) {
	if !r.ended.IsZero() {
		return
	}
	r.ended, r.how = now, how
	delete(w.running, r.task)
	w.settled[r.task] = max(w.settled[r.task], r.number)
	if how != "crashed" {
		w.lastEnd++
		r.n = w.lastEnd
		w.ends = append(w.ends, r)
	}
	if r.def().Gang {
		g := w.f.gangs[r.gang()]
		delete(g, r.index)
		if how != "done" {
			for _, o := range sortedRuns(g) {
				o.w.finish(o, now, "broken")
			}
		}
	}
	w.f.note("end %s run %d on %s life %d: %s", r.task, r.number, w.id, r.life, how)
}

func sortedRuns(g map[int]*run) []*run {
	out := []*run{}
	for _, r := range g {
		out = append(out, r)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].index < out[k].index })
	return out
}

func (r *run) gang() string { return fmt.Sprintf("%s.%d.%d run %d", r.sub.id, r.k, r.step, r.number) }

// tick ends what is over. It requires f.mu.
func (w *worker) tick(now time.Time) {
	f := w.f
	if w.clock(now) > w.lease {
		for _, r := range w.ends {
			r.lapsed = true
		}
		for _, r := range w.running {
			w.finish(r, now, "lapsed")
		}
		return
	}
	for _, r := range w.running {
		d := r.def()
		if !r.stopAt.IsZero() {
			if now.After(r.stopAt) {
				w.finish(r, now, "stopped")
			}
			continue
		}
		if d.Gang && r.working.IsZero() {
			g := f.gangs[r.gang()]
			if len(g) == d.Count {
				for _, m := range g {
					m.working = now
				}
			} else if now.Sub(r.began) > gangWait {
				w.finish(r, now, "alone")
			}
			continue
		}
		if r.working.IsZero() {
			continue
		}
		fails := r.number <= d.failRuns || w.failsAll
		if p := r.progress(now).Milliseconds(); fails && p >= d.failMS {
			if d.Gang && w.failsAll {
				// Each of the members on this worker fails through the worker's fault; the others are broken by that.
				g := f.gangs[r.gang()]
				var members []*run
				for _, m := range sortedRuns(g) {
					if m.w == w {
						members = append(members, m)
						delete(g, m.index)
					}
				}
				for _, m := range members {
					w.finish(m, now, "failed")
				}
				continue
			}
			if d.Gang && allMembersFail {
				// The cause is the same for all members, and each meets it by itself.
				members := sortedRuns(f.gangs[r.gang()])
				clear(f.gangs[r.gang()])
				for _, m := range members {
					m.w.finish(m, now, "failed")
				}
				continue
			}
			w.finish(r, now, "failed")
		} else if !fails && !d.Perpetual && p >= d.workMS {
			if d.Gang {
				for _, m := range sortedRuns(f.gangs[r.gang()]) {
					m.w.finish(m, now, "done")
				}
				continue
			}
			w.finish(r, now, "done")
		}
	}
}

type taskCall struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	Spec       string  `json:"spec"`
	UntilMS    int64   `json:"until_ms"`
	Fence      int64   `json:"fence"`
	Checkpoint string  `json:"last_checkpoint"`
	LastSeen   int64   `json:"last_seen"`
	WaitMS     int64   `json:"wait_ms"`
	Percent    float64 `json:"percent"`
}

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	f := w.f
	life := r.Context().Value(lifeKey{}).(int)
	if f.closes {
		rw.Header().Set("Connection", "close")
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	var c taskCall
	if json.Unmarshal(b, &c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	if cut := time.Until(w.cutUntil); cut > 0 {
		// Nothing passes in either direction.
		f.mu.Unlock()
		select {
		case <-r.Context().Done():
		case <-time.After(cut):
		}
		panic(http.ErrAbortHandler)
	}
	if w.lateShare > 0 && r.URL.Path != "/api/hold" && f.random.Float64() < w.lateShare {
		d := 2*time.Second + time.Duration(f.random.Int64N(int64(10*time.Second)))
		f.mu.Unlock()
		f.note("worker %s carries out %s of %s run %d in %v, unanswered", w.id, r.URL.Path, c.Task, c.Run, d)
		go func() {
			time.Sleep(d)
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.up && w.life == life {
				w.carryOut(r.URL.Path, &c, time.Now())
			}
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if w.dark {
		// Nobody answers, and the connection is not closed either.
		f.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !w.up || w.life != life {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	body := map[string]any{"clock_ms": w.clock(now).Milliseconds(), "born": w.born.UnixMilli()}
	if r.Header.Get("X-Expect-Instance") != w.id {
		f.mu.Unlock()
		writeJSON(rw, http.StatusMisdirectedRequest, body)
		return
	}
	if w.busy && r.URL.Path == "/api/run-start" {
		f.mu.Unlock()
		writeJSON(rw, http.StatusServiceUnavailable, body)
		return
	}
	status, reason := w.carryOut(r.URL.Path, &c, now)
	if w.loseShare > 0 && f.random.Float64() < w.loseShare {
		f.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if reason != "" {
		body["reason"] = reason
	}
	if r.URL.Path == "/api/hold" && status == http.StatusOK {
		until := now.Add(time.Duration(c.WaitMS) * time.Millisecond)
		for len(w.ends) == 0 && time.Now().Before(until) {
			f.mu.Unlock()
			time.Sleep(4 * time.Millisecond)
			f.mu.Lock()
			if w.dark {
				f.mu.Unlock()
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			if !w.up || w.life != life || time.Now().Before(w.cutUntil) {
				f.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
		}
		now = time.Now()
		body["clock_ms"] = w.clock(now).Milliseconds()
		running, ends := [][]any{}, [][]any{}
		for _, x := range w.running {
			percent := 0
			if d := x.def(); d.Perpetual && x.progress(now) > 300*time.Millisecond {
				percent = 100
			} else if d.workMS > 0 && !d.Perpetual {
				percent = int(min(99, 100*x.progress(now).Milliseconds()/d.workMS))
			}
			running = append(running, []any{x.task, x.number, x.saved(now), percent, x.load()})
		}
		for _, x := range w.ends[:min(500, len(w.ends))] {
			ends = append(ends, []any{x.n, x.task, x.number, x.how, x.saved(x.ended)})
		}
		body["running"], body["finished"] = running, ends
	}
	f.mu.Unlock()
	writeJSON(rw, status, body)
}

func (w *worker) extendLease(untilMS int64, now time.Time) {
	w.lease = max(w.lease, min(time.Duration(untilMS)*time.Millisecond, w.clock(now)+holdMax))
}

// carryOut carries out a call. It requires f.mu.
func (w *worker) carryOut(path string, c *taskCall, now time.Time) (int, string) {
	if c.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.tick(now)
	w.fence = c.Fence
	switch path {
	case "/api/hold":
		w.extendLease(c.UntilMS, now)
		kept := w.ends[:0:0]
		for _, r := range w.ends {
			if r.n <= c.LastSeen {
				r.noted = true
				continue
			}
			kept = append(kept, r)
		}
		w.ends = kept
		return http.StatusOK, ""
	case "/api/run-stop":
		w.settled[c.Task] = max(w.settled[c.Task], c.Run)
		if r := w.running[c.Task]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
			r.stopAt = now.Add(stopGrace / 4)
			w.f.note("stop %s run %d on %s", c.Task, c.Run, w.id)
		}
		return http.StatusOK, ""
	case "/api/pace":
		return http.StatusOK, ""
	case "/api/run-start":
		return w.startRun(c, now)
	}
	return http.StatusNotFound, ""
}

func (w *worker) startRun(c *taskCall, now time.Time) (int, string) {
	f := w.f
	if c.UntilMS <= w.clock(now).Milliseconds() {
		return http.StatusConflict, "late"
	}
	w.extendLease(c.UntilMS, now)
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		return http.StatusOK, ""
	}
	if r := w.running[c.Task]; r != nil && c.Run < r.number || c.Run <= w.settled[c.Task] {
		return http.StatusConflict, "old"
	}
	parts := strings.Split(c.Task, ".")
	sub := f.subs[parts[0]]
	if sub == nil || len(parts) != 4 {
		f.breaks("UNASKED", "%s told to start %s, which nobody sent", w.id, c.Task)
		return http.StatusBadRequest, ""
	}
	n := [3]int{}
	for i := range n {
		n[i], _ = strconv.Atoi(parts[i+1])
	}
	r := &run{task: c.Task, sub: sub, k: n[0], step: n[1], index: n[2], number: c.Run, w: w, life: w.life, began: now,
		resumedFrom: c.Checkpoint}
	if r.step >= len(sub.steps) || r.index >= sub.steps[r.step].Count || c.Spec != sub.spec {
		f.breaks("UNASKED", "%s told to start %s with another spec or number", w.id, c.Task)
		return http.StatusBadRequest, ""
	}
	cpu, mem, same := r.def().reserved(), r.def().MemMB, 0
	for _, o := range w.running {
		cpu, mem = cpu+o.def().reserved(), mem+o.def().MemMB
		if o.sub == sub && o.k == r.k && o.step == r.step {
			same++
		}
	}
	if cpu > w.cpu || mem > w.mem {
		if f.guards {
			return http.StatusConflict, "room"
		}
		f.breaks("LIMIT", "start of %s run %d brings %s to %d of %d thousandths of a core, %d of %d MB", c.Task, c.Run, w.id, cpu, w.cpu, mem, w.mem)
	}
	f.judgeStart(r, w, same, now)
	if ms, err := strconv.ParseInt(c.Checkpoint, 16, 64); c.Checkpoint != "" && err == nil {
		r.base = time.Duration(ms) * time.Millisecond
		r.working = now.Add(restoreTime)
	} else {
		r.working = now
	}
	if r.def().Gang {
		r.working = time.Time{}
		g := f.gangs[r.gang()]
		if g == nil {
			g = map[int]*run{}
			f.gangs[r.gang()] = g
		}
		g[r.index] = r
	}
	w.running[c.Task] = r
	f.runs[c.Task] = append(f.runs[c.Task], r)
	f.starts++
	f.note("start %s run %d on %s life %d (%s) fence %d", c.Task, c.Run, w.id, w.life, w.zone, c.Fence)
	return http.StatusOK, ""
}

// judgeStart checks the rules that a start can break at once. It requires f.mu.
func (f *fleet) judgeStart(r *run, w *worker, same int, now time.Time) {
	d := r.def()
	if !d.Speculative {
		for _, o := range f.runs[r.task] {
			if o.ended.IsZero() && o.w.up {
				f.breaks("TWICE", "%s run %d starts on %s while run %d is at work on %s", r.task, r.number, w.id, o.number, o.w.id)
			}
		}
	}
	for _, a := range d.After {
		for i := range r.sub.steps[a].Count {
			if !f.done(fmt.Sprintf("%s.%d.%d.%d", r.sub.id, r.k, a, i)) {
				f.breaks("ORDER", "%s starts before step %d task %d is done", r.task, a, i)
			}
		}
	}
	if r.sub.repeat > 0 {
		due := time.UnixMilli(r.sub.firstRunMS + int64(r.k)*r.sub.intervalMS)
		if early := due.Sub(now); early > 250*time.Millisecond {
			f.breaks("ORDER", "%s starts %v before its time", r.task, early)
		}
	}
	if w.service != r.sub.queue.service {
		f.breaks("ROUTE", "%s starts on a worker of service %s", r.task, w.service)
	}
	if d.Label != "" && !contains(w.labels, d.Label) {
		f.breaks("ROUTE", "%s starts on %s without label %s", r.task, w.id, d.Label)
	}
	if d.MaxPerServer > 0 && same >= d.MaxPerServer {
		f.breaks("ROUTE", "%s starts on %s beside %d of its step", r.task, w.id, same)
	}
	if s := w.drainingSince; !s.IsZero() && now.Sub(s) > 2*time.Second {
		f.breaks("DRAIN", "%s starts on %s %v after its draining was acknowledged", r.task, w.id, now.Sub(s))
	}
	if a := r.sub.cancelAcked; !a.IsZero() && now.Sub(a) > 3*time.Second {
		f.breaks("UNASKED", "%s starts %v after its cancelling was acknowledged", r.task, now.Sub(a))
	}
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

func (f *fleet) done(task string) bool {
	for _, r := range f.runs[task] {
		if r.how == "done" {
			return true
		}
	}
	return false
}

// judgeEnds checks the rules that depend on which ends were taken note of. It requires f.mu.
func (f *fleet) judgeEnds() {
	for task, runs := range f.runs {
		for i, r := range runs {
			failed := map[int]bool{}
			for _, o := range runs[:i] {
				if o.ended.IsZero() || o.ended.After(r.began) {
					continue
				}
				counts := o.noted && !o.lapsed
				if o.how == "done" && counts && !r.def().Perpetual && !r.def().Speculative {
					f.breaks("TWICE", "%s run %d starts after run %d has ended done", task, r.number, o.number)
				}
				if o.how == "failed" && counts {
					failed[o.number] = true
				}
			}
			if len(failed) >= r.sub.queue.maxAttempts && !r.def().Perpetual {
				f.breaks("BUDGET", "%s run %d starts after %d runs have failed", task, r.number, len(failed))
			}
		}
	}
}

// failures returns how many runs of a task, or of its gang, have ended as failed. It requires f.mu.
func (f *fleet) failures(s *submission) (most int, task string) {
	for name, runs := range f.runs {
		if len(runs) == 0 || runs[0].sub != s {
			continue
		}
		failed := map[int]bool{}
		for _, r := range runs {
			if r.how == "failed" {
				failed[r.number] = true
			}
		}
		if len(failed) > most || task == "" {
			most, task = len(failed), name
		}
	}
	return most, task
}

// goDark ends the life of the worker for good, without a sign: its connections hang, and nothing listens any more.
func (w *worker) goDark() {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.up {
		return
	}
	w.up, w.dark = false, true
	now := time.Now()
	for _, r := range w.running {
		w.finish(r, now, "crashed")
	}
	f.note("worker %s life %d goes dark for good", w.id, w.life)
	time.AfterFunc(2500*time.Millisecond, w.removeEntry)
}
