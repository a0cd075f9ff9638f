package main

import (
	"fmt"
	"strconv"
	"time"
)

var cases = map[string]func() int{"images": images, "schedules": schedules, "large": large, "crashes": crashes, "gang": gangFails,
	"dark": dark, "fuzz": fuzz, "intake": intake, "odd": odd, "closing": closing}

// finishTime is how long after the end of the traffic the submissions are asked for (finish_s).
const finishTime = 14 * time.Second

// small hands in n submissions of two short tasks each, 300 ms apart, and returns those that were accepted.
func (w *world) small(n int) []*submission {
	var out []*submission
	for range n {
		s := w.c.newSubmission(w.q["r-quick"], stepSpec{Count: 2, CPU: 2000, MemMB: 2000, EstimateMS: 500, workMS: 500})
		if w.c.submit(s) {
			out = append(out, s)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return out
}

// judgeIdle watches accepted submissions of one step for d. The rule LOST is broken if one of them has nothing running for 3 s
// while there is capacity for it twice over and less than half of the capacity is in use.
func (w *world) judgeIdle(subs []*submission, d time.Duration) {
	f := w.f
	idleSince := map[*submission]time.Time{}
	reported := map[*submission]bool{}
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		f.mu.Lock()
		now := time.Now()
		total, used := int64(0), int64(0)
		for _, x := range f.workers {
			if x.up {
				total += x.cpu
				for _, r := range x.running {
					used += r.def().reserved()
				}
			}
		}
		for _, s := range subs {
			running, open, slots := 0, 0, int64(0)
			for i := range s.steps[0].Count {
				runs := f.runs[fmt.Sprintf("%s.0.0.%d", s.id, i)]
				if len(runs) > 0 && runs[len(runs)-1].ended.IsZero() {
					running++
				}
				if !f.done(fmt.Sprintf("%s.0.0.%d", s.id, i)) {
					open++
				}
			}
			for _, x := range f.workers {
				if x.up {
					slots += x.slots(&s.steps[0])
				}
			}
			idle := running == 0 && open > 0 && 2*used < total && slots >= 2*int64(s.steps[0].Count)
			switch since, ok := idleSince[s]; {
			case !idle:
				delete(idleSince, s)
			case !ok:
				idleSince[s] = now
			case now.Sub(since) >= 3*time.Second && !reported[s]:
				reported[s] = true
				f.breaks("LOST", "submission %s, accepted %.1f s ago, has had nothing running for 3 s; there is room for %d of its tasks, %d%% of the processors are in use",
					s.id, now.Sub(s.accepted).Seconds(), slots, 100*used/max(1, total))
			}
		}
		f.mu.Unlock()
	}
}

// slots returns for how many tasks of a step the worker has room. It requires f.mu.
func (w *worker) slots(d *stepSpec) int64 {
	cpu, mem := w.cpu, w.mem
	for _, r := range w.running {
		cpu, mem = cpu-r.def().reserved(), mem-r.def().MemMB
	}
	return max(0, min(cpu/max(1, d.CPU), mem/max(1, d.MemMB)))
}

// judgeStates asks for the states of submissions that must be done by now.
func (w *world) judgeStates(subs []*submission) {
	for _, s := range subs {
		if st := w.c.state(s, 5); st != "done" {
			w.broke("LOST", "submission %s, accepted %.0f s ago and not cancelled, is shown as %q", s.id, time.Since(s.accepted).Seconds(), st)
		}
	}
}

// images runs services beside tasks that fill what the services leave, each of an image of its own. Without trouble, there are as
// many images as on the site.
func images() int {
	w := newWorld(3, 4, 1, true)
	services, fillers := 14, 64
	if !w.trouble {
		services, fillers = 5, 9
	}
	for i := range services {
		s := w.c.newSubmission(w.q["r-watch"], stepSpec{Count: 4, CPU: 1000, MemMB: 4000, EstimateMS: 300, Perpetual: true, MaxPerServer: 1,
			Image: "watch-" + strconv.Itoa(i), TargetMS: 50, MayMiss: 1})
		if !w.c.submit(s) {
			return w.cannotRun("a service was not accepted")
		}
	}
	time.Sleep(3 * time.Second)
	for i := range 66 {
		s := w.c.newSubmission(w.q["r-rebid"], stepSpec{Count: 4, CPU: 3000, MemMB: 2000, EstimateMS: 900, workMS: 900, Fills: true,
			MaxPerServer: 1, Image: "rebid-" + strconv.Itoa(i%fillers)})
		if !w.c.submit(s) {
			return w.cannotRun("a submission was not accepted")
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	last := w.small(10)
	time.Sleep(finishTime)
	w.judgeIdle(last, 4*time.Second)
	w.judgeStates(last)
	w.f.note("appends refused because a record was longer than record_bytes, by topic: %v", w.f.store.refusals())
	return w.end()
}

// schedules hands in submissions that run every minute for a day, each time with as many tasks as an usual submission of the site.
// Without trouble, they run ten times.
func schedules() int {
	w := newWorld(3, 4, 1, true)
	rounds := 24 * 60
	if !w.trouble {
		rounds = 10
	}
	w.d.limitMemory(284)
	for i := range 40 {
		step := stepSpec{Count: 5, CPU: 500, MemMB: 500, EstimateMS: 300, workMS: 300}
		second := step
		second.After = []int{0}
		s := w.c.newSubmission(w.q["r-rebid"], step, second)
		s.repeat, s.firstRunMS, s.intervalMS = rounds, time.Now().UnixMilli()+int64(2000+1000*i), 60000
		if !w.c.submit(s) {
			w.f.note("a schedule was not accepted")
		}
		time.Sleep(250 * time.Millisecond)
	}
	var last []*submission
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Second) {
		last = append(last, w.small(1)...)
	}
	time.Sleep(finishTime)
	w.judgeIdle(last, 4*time.Second)
	w.judgeStates(last)
	ended := 0
	for _, n := range w.d.nodes {
		w.f.note("%s was killed %d times for more memory than memory_mb", n.name, n.overLimit())
		if n.overLimit() >= 3 {
			ended++
		}
	}
	if ended >= 2 {
		w.broke("Fault", "%d of %d nodes were killed three times or more because they exceeded memory_mb", ended, len(w.d.nodes))
	}
	return w.end()
}

// large hands in one scheduled submission whose occurrences are as large as the largest of the site and overlap, and then small
// submissions.
func large() int {
	w := newWorld(3, 8, 1, true)
	if w.trouble {
		var steps []stepSpec
		for range 5 {
			steps = append(steps, stepSpec{Count: 36, CPU: 20, MemMB: 20, EstimateMS: 20000, Checkpointing: true, workMS: 20000})
		}
		s := w.c.newSubmission(w.q["r-rebid"], steps...)
		s.repeat, s.firstRunMS, s.intervalMS = 110, time.Now().UnixMilli()+1000, 500
		if !w.c.submit(s) {
			return w.cannotRun("the large submission was not accepted")
		}
	}
	time.Sleep(25 * time.Second)
	last := w.small(10)
	time.Sleep(finishTime)
	w.judgeIdle(last, 4*time.Second)
	w.judgeStates(last)
	w.f.note("appends refused because a record was longer than record_bytes, by topic: %v", w.f.store.refusals())
	return w.end()
}

// crashes lets the worker of one task of a perpetual submission crash four times. Each crash concerns one worker of eight, which is
// back after 4.5 s.
func crashes() int {
	w := newWorld(3, 8, 1, true)
	f := w.f
	s := w.c.newSubmission(w.q["r-watch"], stepSpec{Count: 4, CPU: 13000, MemMB: 26000, EstimateMS: 340, Perpetual: true, MaxPerServer: 1, MayMiss: 1})
	if !w.c.submit(s) {
		return w.cannotRun("the submission was not accepted")
	}
	task := s.id + ".0.0.0"
	for range 4 {
		time.Sleep(12 * time.Second)
		f.mu.Lock()
		var at *worker
		if runs := f.runs[task]; len(runs) > 0 && runs[len(runs)-1].ended.IsZero() {
			at = runs[len(runs)-1].w
		}
		f.mu.Unlock()
		if at != nil && w.trouble {
			at.crash()
			time.Sleep(4500 * time.Millisecond)
			at.start()
		}
	}
	time.Sleep(10 * time.Second)
	st := w.c.state(s, 5)
	f.mu.Lock()
	failed, _ := f.failures(s)
	running, stopped := 0, 0
	for i := range 4 {
		for _, r := range f.runs[fmt.Sprintf("%s.0.0.%d", s.id, i)] {
			if r.ended.IsZero() {
				running++
			} else if r.how == "stopped" {
				stopped++
			}
		}
	}
	f.mu.Unlock()
	if st != "running" {
		w.broke("LOST", "perpetual submission %s, which nobody has cancelled, is shown as %q; %d of its runs have ended as failed, %d of 4 tasks run", s.id, st, failed, running)
	}
	if stopped > 1 {
		w.broke("AVAIL", "%d tasks of a step with may_miss 1 were stopped on sound workers", stopped)
	}
	return w.end()
}

// gangFails places a gang with two tasks on some workers. One of those workers then fails all that it starts.
func gangFails() int {
	w := newWorld(3, 12, 1, true)
	f := w.f
	s := w.c.newSubmission(w.q["r-quick"], stepSpec{Count: 16, CPU: 30000, MemMB: 13000, EstimateMS: 1500, Gang: true, workMS: 1500, failMS: 300})
	if !w.c.submit(s) {
		return w.cannotRun("the gang was not accepted")
	}
	var grey *worker
	for until := time.Now().Add(1200 * time.Millisecond); w.trouble && grey == nil && time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		for _, x := range f.workers {
			if len(x.running) == 2 && grey == nil {
				grey = x
				x.failsAll = true
			}
		}
		f.mu.Unlock()
	}
	if w.trouble && grey == nil {
		return w.cannotRun("no worker has two tasks of the gang")
	}
	if grey != nil {
		f.note("worker %s fails all that it starts", grey.id)
		time.Sleep(6500 * time.Millisecond)
		f.mu.Lock()
		grey.failsAll = false
		f.mu.Unlock()
		f.note("worker %s works again", grey.id)
	}
	time.Sleep(finishTime)
	st := w.c.state(s, 5)
	f.mu.Lock()
	failed, task := f.failures(s)
	f.mu.Unlock()
	switch {
	case st == "failed" && failed < s.queue.maxAttempts:
		w.broke("LOST", "submission %s is shown as failed, but its gang has failed %d times of %d (%s)", s.id, failed, s.queue.maxAttempts, task)
	case st != "done" && st != "failed":
		w.broke("LOST", "submission %s is shown as %q", s.id, st)
	}
	return w.end()
}

// dark lets a worker go dark for good, and 4 s later the one to which its task is about to move.
func dark() int {
	w := newWorld(3, 8, 1, true)
	f := w.f
	f.mu.Lock()
	for i, x := range f.workers {
		if i < 4 {
			x.labels = []string{"b", x.labels[1]}
		}
	}
	f.mu.Unlock()
	time.Sleep(2 * time.Second)
	def := stepSpec{Count: 4, CPU: 13000, MemMB: 26000, EstimateMS: 340, Perpetual: true, Label: "b", MaxPerServer: 1}
	busy := w.c.newSubmission(w.q["r-watch"], def)
	def.Count = 1
	s := w.c.newSubmission(w.q["r-watch"], def)
	if !w.c.submit(busy) || !w.c.submit(s) {
		return w.cannotRun("a submission was not accepted")
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		f.mu.Lock()
		runs := f.runs[s.id+".0.0.0"]
		f.mu.Unlock()
		if len(runs) == 0 {
			return w.cannotRun("the task does not run")
		}
		first := runs[0].w
		first.goDark()
		time.Sleep(4 * time.Second)
		for _, x := range f.workers {
			if x != first && contains(x.labels, "b") {
				x.goDark()
				break
			}
		}
	}
	time.Sleep(4 * time.Second)
	w.judgeIdle([]*submission{s}, 25*time.Second)
	return w.end()
}

// closing lets all workers close each connection after one answer.
func closing() int {
	w := newWorld(3, 8, 1, true)
	w.f.mu.Lock()
	w.f.closes = w.trouble
	w.f.mu.Unlock()
	time.Sleep(5 * time.Second)
	last := w.small(20)
	time.Sleep(finishTime)
	w.judgeIdle(last, 4*time.Second)
	w.judgeStates(last)
	return w.end()
}
