package main

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"
)

// The searches below are not cases of the review. They play random submissions and disruptions, by SEED and for SECONDS, and
// found no broken rule in what they cover.

// fuzz plays random submissions and disruptions for SECONDS.
func fuzz() int {
	allMembersFail = false
	pace, _ := strconv.Atoi(os.Getenv("PACE"))
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	guards := os.Getenv("GUARDS") != "0"
	w := newWorld(4, 12, seed, guards)
	r := rand.New(rand.NewPCG(seed, 3))
	f := w.f
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	for i, wk := range f.workers {
		f.mu.Lock()
		wk.slowClock = i%4 == 1
		if i%3 == 0 {
			wk.labels = []string{"b", wk.labels[1]}
		}
		f.mu.Unlock()
	}
	var subs []*submission
	done := make(chan bool)
	go func() {
		for time.Now().Before(until) {
			time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
			n := 1 + r.IntN(3)
			var steps []stepSpec
			for i := range n {
				ms := int64(200 + r.IntN(2500))
				st := stepSpec{Count: 1 + r.IntN(6), CPU: int64(2000 + r.IntN(9000)), MemMB: int64(5000 + r.IntN(20000)),
					EstimateMS: ms, workMS: ms, Checkpointing: r.IntN(2) == 0, failMS: ms / 2}
				if r.IntN(10) == 0 {
					st.failRuns = 1
				}
				if i > 0 && r.IntN(2) == 0 {
					st.After = []int{r.IntN(i)}
				}
				if r.IntN(3) == 0 {
					st.Gang = true
				}
				if r.IntN(4) == 0 {
					st.Label = "b"
				}
				if r.IntN(4) == 0 {
					st.MaxPerServer = 1 + r.IntN(2)
					st.Count = min(st.Count, 4)
				}
				if !st.Gang && r.IntN(4) == 0 {
					st.Speculative = true
				}
				if r.IntN(5) == 0 {
					st.DataRack = "r1-0"
				}
				if r.IntN(5) == 0 {
					st.Fills, st.Image = true, "f"+strconv.Itoa(r.IntN(4))
				}
				steps = append(steps, st)
			}
			q := []string{"r-quick", "r-rebid"}[r.IntN(2)]
			s := w.c.newSubmission(w.q[q], steps...)
			if r.IntN(4) == 0 {
				s.repeat, s.firstRunMS, s.intervalMS = 1+r.IntN(4), time.Now().UnixMilli()+int64(r.IntN(3000)), int64(500+r.IntN(3000))
			}
			if r.IntN(12) == 0 {
				s = w.c.newSubmission(w.q["r-watch"], stepSpec{Count: 1 + r.IntN(3), CPU: 9000, MemMB: 9000, EstimateMS: 300, Perpetual: true, Gang: r.IntN(3) == 0, Image: "s" + strconv.Itoa(r.IntN(3)), TargetMS: 40, MayMiss: 1})
			}
			subs = append(subs, s)
			go func(x, y int) {
				c := newClient(w.d, r.Uint64())
				if c.submit(s) && x == 0 {
					time.Sleep(time.Duration(y) * time.Millisecond)
					c.cancel(s)
				}
			}(r.IntN(8), r.IntN(2000))
		}
		done <- true
	}()
	if w.trouble {
		for time.Now().Before(until.Add(-3 * time.Second)) {
			time.Sleep(time.Duration(500+r.IntN(max(1, pace))) * time.Millisecond)
			wk := f.workers[r.IntN(len(f.workers))]
			o := w.d.owner()
			switch k := r.IntN(17); {
			case k == 12 || k == 13:
				f.note("worker %s drains", wk.id)
				f.mu.Lock()
				drains := wk.up && !wk.draining
				wk.draining = wk.draining || drains
				life := wk.life
				f.mu.Unlock()
				if drains {
					wk.report(life)
					go func(a, b int) {
						time.Sleep(time.Duration(2100+a) * time.Millisecond)
						wk.crash()
						wk.removeEntry()
						time.Sleep(time.Duration(500+b) * time.Millisecond)
						wk.start()
					}(r.IntN(4000), r.IntN(3000))
				}
			case k == 14:
				f.note("worker %s refuses starts", wk.id)
				f.mu.Lock()
				wk.busy = true
				f.mu.Unlock()
				time.AfterFunc(5*time.Second, func() { f.mu.Lock(); wk.busy = false; f.mu.Unlock() })
			case k >= 15:
				f.note("answers of worker %s are lost", wk.id)
				f.mu.Lock()
				wk.loseShare = 0.3
				f.mu.Unlock()
				time.AfterFunc(5*time.Second, func() { f.mu.Lock(); wk.loseShare = 0; f.mu.Unlock() })
			case k < 2:
				flip := r.IntN(3) == 0
				go func(d int) {
					wk.crash()
					time.Sleep(time.Duration(d) * time.Millisecond)
					if flip {
						f.mu.Lock()
						wk.labels = []string{map[string]string{"a": "b", "b": "a"}[wk.labels[0]], wk.labels[1]}
						f.mu.Unlock()
					}
					wk.start()
				}(20 + r.IntN(4000))
			case k < 4:
				d := 500 + r.IntN(8000)
				f.note("cut worker %s for %d ms", wk.id, d)
				f.mu.Lock()
				wk.cutUntil = time.Now().Add(time.Duration(d) * time.Millisecond)
				f.mu.Unlock()
			case k < 6:
				f.note("orders applied late for 4 s")
				f.mu.Lock()
				for _, x := range f.workers {
					x.lateShare = 0.06
				}
				f.mu.Unlock()
				time.AfterFunc(4*time.Second, func() {
					f.mu.Lock()
					defer f.mu.Unlock()
					for _, x := range f.workers {
						x.lateShare = 0
					}
				})
			case k < 8 && o != nil:
				f.note("kill owner %s", o.name)
				o.signal(syscall.SIGKILL)
			case k < 9 && o != nil:
				f.note("freeze owner %s", o.name)
				o.signal(syscall.SIGSTOP)
				time.AfterFunc(time.Duration(1000+r.IntN(4000))*time.Millisecond, func() { o.signal(syscall.SIGCONT) })
			case k < 10 && o != nil:
				mode := []string{"busy", "silent"}[r.IntN(2)]
				f.note("store %s for owner %s", mode, o.name)
				o.faults.set(mode, 1)
				time.AfterFunc(time.Duration(1000+r.IntN(6000))*time.Millisecond, func() { o.faults.set("", 0) })
			case k < 11:
				f.note("store late")
				for _, n := range w.d.nodes {
					n.faults.set("late", 0.3)
				}
				time.AfterFunc(4*time.Second, func() {
					for _, n := range w.d.nodes {
						n.faults.set("", 0)
					}
				})
			default:
				if o != nil {
					f.note("terminate owner %s", o.name)
					o.signal(syscall.SIGTERM)
				}
			}
		}
	}
	<-done
	time.Sleep(20 * time.Second)
	for _, s := range subs {
		f.mu.Lock()
		accepted, cancelled := !s.accepted.IsZero(), !s.cancelSent.IsZero()
		failed, _ := f.failures(s)
		begun := false
		for _, rs := range f.runs {
			if len(rs) > 0 && rs[0].sub == s {
				begun = true
			}
		}
		f.mu.Unlock()
		if !accepted {
			if begun && s.unknown == 0 {
				w.broke("REFUSED", "%s", s.id)
			}
			continue
		}
		if cancelled {
			continue
		}
		st := w.c.state(s, 8)
		switch {
		case st == "done" && s.steps[0].Perpetual, st == "" || st == "410" || st == "cancelled":
			w.broke("LOST", "%s is shown as %q", s.id, st)
		case st == "done":
			for k := range max(1, s.repeat) {
				for i := range s.steps {
					for x := range s.steps[i].Count {
						name := s.id + "." + strconv.Itoa(k) + "." + strconv.Itoa(i) + "." + strconv.Itoa(x)
						f.mu.Lock()
						if !f.done(name) {
							f.breaks("MIXED", "%s shown as done, %s is not", s.id, name)
						}
						f.mu.Unlock()
					}
				}
			}
		case st == "failed" && failed < s.queue.maxAttempts:
			w.broke("LOST", "%s is shown as failed after %d failures of %d", s.id, failed, s.queue.maxAttempts)
		case (st == "queued" || st == "running") && !s.steps[0].Perpetual:
			w.broke("LOST", "%s is still %s at the end", s.id, st)
		}
	}
	return w.end()
}

// intake plays faults of the store alone under many small submissions.
func intake() int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	w := newWorld(4, 8, seed, true)
	r := rand.New(rand.NewPCG(seed, 5))
	f := w.f
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	var subs []*submission
	done := make(chan bool)
	go func() {
		for time.Now().Before(until) {
			time.Sleep(time.Duration(10+r.IntN(40)) * time.Millisecond)
			s := w.c.newSubmission(w.q["r-quick"], stepSpec{Count: 1, CPU: 500, MemMB: 500, EstimateMS: 200, workMS: 200})
			subs = append(subs, s)
			c, cancel := newClient(w.d, r.Uint64()), r.IntN(10) == 0
			c.next = r.IntN(4)
			go func() {
				if c.submit(s) && cancel {
					c.cancel(s)
				}
			}()
		}
		done <- true
	}()
	x := rand.New(rand.NewPCG(seed, 6))
	for time.Now().Before(until.Add(-3 * time.Second)) {
		time.Sleep(time.Duration(300+x.IntN(2000)) * time.Millisecond)
		mode := []string{"busy", "silent", "late", "late", "resets"}[x.IntN(5)]
		all := x.IntN(2) == 0
		f.note("store %s, all %v", mode, all)
		for _, n := range w.d.nodes {
			if all || x.IntN(3) == 0 {
				n.faults.set(mode, 0.4)
			}
		}
		time.Sleep(time.Duration(300+x.IntN(4000)) * time.Millisecond)
		for _, n := range w.d.nodes {
			n.faults.set("", 0)
		}
	}
	<-done
	time.Sleep(20 * time.Second)
	counts := map[string]int{}
	for _, s := range subs {
		f.mu.Lock()
		begun, accepted, cancelled := len(f.runs[s.id+".0.0.0"]) > 0, !s.accepted.IsZero(), !s.cancelSent.IsZero()
		f.mu.Unlock()
		switch {
		case begun && !accepted && s.unknown == 0:
			w.broke("REFUSED", "%s was rejected %d times and has run", s.id, s.rejected)
		case accepted && !cancelled:
			counts["accepted"]++
			if st := w.c.state(s, 8); st != "done" {
				w.broke("LOST", "%s is shown as %q", s.id, st)
			}
		case !accepted && s.unknown == 0:
			counts["rejected"]++
		default:
			counts["other"]++
		}
	}
	f.note("%v", counts)
	return w.end()
}

// odd hands in submissions with odd values and watches for nodes that end.
func odd() int {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	w := newWorld(3, 6, seed, false)
	r := rand.New(rand.NewPCG(seed, 8))
	pick := func(v ...any) any { return v[r.IntN(len(v))] }
	counts := map[int]int{}
	for until := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(until); {
		var steps []map[string]any
		for i := range 1 + r.IntN(4) {
			s := map[string]any{"count": pick(1, 2, 3, 7, 60), "cpu": pick(0, 1, 100, 64000, 1<<40, int64(1)<<50), "mem_mb": pick(0, 1, 100, 256000, 1<<40),
				"estimate_ms": pick(0, 1, 500, int64(1)<<40, int64(1)<<62, 5)}
			set := func(name string, v ...any) {
				if r.IntN(4) == 0 {
					s[name] = pick(v...)
				}
			}
			set("gang", true)
			set("same_rack", true)
			set("perpetual", true)
			set("fills", true)
			set("speculative", true)
			set("checkpointing", true)
			set("gpu", 0, 1)
			set("image", "", "x", "y")
			set("target_ms", 0.001, 1, 1e300, 50.5)
			set("may_miss", 0, 1, 1<<40)
			set("max_per_server", 0, 1, 2, 1<<40)
			set("required_label", "a", "nope", "r0-0")
			set("data_rack", "r0-0", "nope")
			if i > 0 {
				set("after", []int{0}, []int{0, 0}, []int{i - 1})
			}
			steps = append(steps, s)
		}
		body := map[string]any{"spec": "odd", "steps": steps}
		if r.IntN(3) == 0 {
			body["repeat_count"], body["first_run_ms"], body["interval_ms"] = pick(1, 2, 5, 50), pick(0, 1, time.Now().UnixMilli(), int64(253402300799000), int64(1)<<60), pick(0, 1, 1000, int64(1)<<40)
		}
		b, err := json.Marshal(body)
		check(err)
		s := w.c.newSubmission(queues[r.IntN(3)])
		s.spec = "odd"
		var def []stepSpec
		check(json.Unmarshal(mustJSON(steps), &def))
		for i := range def {
			def[i].workMS, def[i].failMS = 200, 100
			def[i].failRuns = r.IntN(2)
		}
		s.steps = def
		w.f.mu.Lock()
		w.f.subs[s.id] = s
		w.f.mu.Unlock()
		status, answer := w.c.call(w.c.node(), "POST", s.queue, s.id, b)
		counts[status]++
		w.f.note("POST %s: %d %.120s %s", s.id, status, answer, b)
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	for _, n := range w.d.nodes {
		if n.starts > 1 {
			w.broke("Fault", "%s was started %d times", n.name, n.starts)
		}
	}
	w.f.note("%v", counts)
	return w.end()
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	check(err)
	return b
}
