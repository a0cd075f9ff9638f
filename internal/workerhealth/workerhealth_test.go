package workerhealth

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/durations"
)

const ms = time.Millisecond

// start is later than any period, so that no time is 0.
const start = time.Minute

var kind = durations.Kind{Queue: "q"}

// knownFleet returns a fleet in which a number of 1,000 tasks of the kind were slow, and as many have failed.
func knownFleet(bad int) *Fleet {
	f := &Fleet{}
	for i := range 1000 {
		f.Ended(Task{Kind: kind, Slow: i%1000 >= 1000-bad})
		f.Outcome(i >= 1000-bad)
	}
	return f
}

// Guards against exclusions of good workers because of a single slow task, of a kind whose tasks are often slow, or of one whose
// duration is not known elsewhere, and against a slow worker that stays in use.
func TestSlowTasksExclude(t *testing.T) {
	slow, normal := Task{Kind: kind, Slow: true}, Task{Kind: kind}
	for name, c := range map[string]struct {
		fleet          *Fleet
		running, ended []Task
		excluded       bool
	}{
		"one, 3 in 100 are slow elsewhere":  {knownFleet(30), []Task{slow}, nil, false},
		"one, none is slow elsewhere":       {knownFleet(0), []Task{slow}, nil, true},
		"one, but another is normal":        {knownFleet(0), []Task{slow, normal}, nil, false},
		"one, but another has just ended":   {knownFleet(0), []Task{slow}, []Task{normal}, false},
		"one, nothing is known elsewhere":   {&Fleet{}, []Task{slow}, nil, false},
		"two":                               {knownFleet(30), []Task{slow, slow}, nil, true},
		"two, nothing is known elsewhere":   {&Fleet{}, []Task{slow, slow}, nil, true},
		"two of three":                      {knownFleet(30), []Task{slow, normal}, []Task{slow}, true},
		"two of four":                       {knownFleet(30), []Task{slow, slow, normal}, []Task{normal}, false},
		"all, of a kind that is often slow": {knownFleet(200), []Task{slow, slow, slow}, nil, false},
		"normal":                            {knownFleet(0), []Task{normal}, []Task{normal}, false},
	} {
		t.Run(name, func(t *testing.T) {
			var w Worker
			_, _, excluded := w.Paces(start, c.fleet, c.running, c.ended)
			assert.Equal(t, c.excluded, excluded)
			assert.Equal(t, c.excluded, w.State(start) == Excluded)
		})
	}
}

// Guards against evidence from progress that is rounded, too early or missing, and from ends that were read late.
func TestPaces(t *testing.T) {
	const expected = 700 * ms
	assert.Equal(t, PaceUnknown, Running(150*ms, expected, 1), "too early")
	assert.Equal(t, PaceUnknown, Running(time.Minute, 0, 1), "unknown kind")
	assert.Equal(t, PaceNormal, Running(350*ms, expected, 48))
	assert.Equal(t, PaceNormal, Running(350*ms, expected, 25), "up to 25.99%")
	assert.Equal(t, PaceSlow, Running(350*ms, expected, 10))
	assert.Equal(t, PaceUnknown, Running(1300*ms, expected, 0), "may report no progress")
	assert.Equal(t, PaceSlow, Running(1400*ms, expected, 0))
	assert.Equal(t, PaceNormal, Ended(1300*ms, expected, PaceUnknown))
	assert.Equal(t, PaceUnknown, Ended(5*time.Second, expected, PaceNormal), "may have been read late")
	assert.Equal(t, PaceSlow, Ended(5*time.Second, expected, PaceSlow))
}

// Guards against exclusions because of a task or a submission that fails everywhere, and against a worker that fails some of its
// tasks and stays in use. The letters are submissions; capitals have succeeded, and "a!" has failed elsewhere before.
func TestFailuresExclude(t *testing.T) {
	for outcomes, excluded := range map[string]bool{
		"a":           false,
		"a b":         true,
		"a a a":       false,
		"a a a a":     true,
		"a B c D e":   false,
		"a B c D e f": true,
		"a! b! c! d!": false,
		"a b!":        true,
		"a! b":        false,
	} {
		var w Worker
		got := false
		for _, o := range strings.Fields(outcomes) {
			if o[0] < 'a' {
				w.Succeeded(start, start, false)
				continue
			}
			got = w.Failed(start, start, knownFleet(0), o[:1], len(o) > 1) || got
		}
		assert.Equal(t, excluded, got, outcomes)
	}
	var w Worker
	for i := range 2 {
		assert.False(t, w.Failed(start, start, knownFleet(80), fmt.Sprint(i), false), "8 in 100 fail everywhere")
	}
	assert.True(t, w.Failed(start, start, knownFleet(80), "3", false))
}

// Guards against starts that are sent to a refusing worker again and again, against exclusions because of a single refusal or lost
// call, and against the starts that were refused together.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		reason Reason
		// refusals are 100 ms apart, rounds 2 s.
		refusals, rounds int
		state            State
		excluded         bool
	}{
		"unhealthy":                       {Refusing, 1, 1, Paused, true},
		"full":                            {Full, 1, 1, Paused, false},
		"full, ten starts of one plan":    {Full, 10, 1, Paused, false},
		"full again and again":            {Full, 1, 3, Paused, true},
		"one start without an answer":     {Mute, 1, 1, Usable, false},
		"two without an answer":           {Mute, 2, 1, Paused, false},
		"without answers again and again": {Mute, 2, 3, Paused, true},
	} {
		t.Run(name, func(t *testing.T) {
			var w Worker
			now, excluded := start, false
			for range c.rounds {
				now += 2 * time.Second
				for range c.refusals {
					now += 100 * ms
					excluded = w.Refused(now, c.reason) || excluded
				}
			}
			assert.Equal(t, c.state, w.State(now))
			assert.Equal(t, c.excluded, excluded)
			w.Accepted()
			assert.False(t, w.Refused(now+time.Minute, Full))
		})
	}
}

// Guards against a worker that gets everything at once after each silence, and against a cost of a single short cut or lost call.
func TestFlapping(t *testing.T) {
	var w Worker
	now := start
	cut := func(silence, pause time.Duration) State {
		now += pause
		w.Silent(now)
		now += silence
		w.Answered(now)
		return w.State(now)
	}
	assert.Equal(t, Usable, cut(3*time.Second, 0), "a single cut")
	assert.Equal(t, Usable, cut(3*time.Second, Period), "a cut long after")
	assert.Equal(t, Usable, cut(300*ms, time.Second), "lost calls")
	assert.Equal(t, Probation, cut(time.Second, time.Second), "second time")
	assert.Equal(t, Excluded, cut(time.Second, time.Second), "third time")
	until := w.Until()
	w.Restarted(now + 100*ms)
	assert.Equal(t, until, w.Until(), "part of the same silence")
	now += 1500 * ms
	w.Restarted(now)
	assert.Equal(t, Excluded, w.State(now))
	assert.Greater(t, w.Until(), until, "a restart is a silence, too")
	assert.Equal(t, Flapping, w.Reason())
	var cutOnce Worker
	for _, at := range []time.Duration{0, 10 * ms, 1200 * ms} {
		if at > time.Second {
			cutOnce.Silent(start + 300*ms)
		}
		cutOnce.Unanswered(start + at)
	}
	cutOnce.Answered(start + 3*time.Second)
	assert.Equal(t, Usable, cutOnce.State(start+3*time.Second), "starts without an answer during a single cut")
	cutOnce.Accepted()
	cutOnce.Unanswered(start + 6*time.Second)
	assert.True(t, cutOnce.Unanswered(start+6*time.Second), "a second one that no lease call has noticed")
	assert.Equal(t, Flapping, cutOnce.Reason())
	var restarted Worker
	restarted.Paces(start, knownFleet(0), []Task{{kind, true}}, nil)
	restarted.Restarted(start + ms)
	assert.Equal(t, Usable, restarted.State(start+ms), "its pace was that of the earlier incarnation")
}

// Guards against a worker that is fully used at once, against evidence from before the probation, against a worker that stays on
// probation for ever, and against equally short exclusions of one that is bad again and again.
func TestReadmission(t *testing.T) {
	var w Worker
	f := knownFleet(0)
	now := start
	exclude := func() time.Duration {
		_, _, excluded := w.Paces(now, f, []Task{{kind, true}}, nil)
		assert.True(t, excluded)
		return w.Until() - now
	}
	assert.Equal(t, 2*time.Second, exclude())
	old := now
	now = w.Until()
	assert.Equal(t, Probation, w.State(now))
	for _, allowed := range []int{1, 2, 4} {
		assert.False(t, w.Succeeded(now, old, false), "placed before")
		assert.False(t, w.Succeeded(now, now, true), "slow")
		assert.Equal(t, allowed, w.Allowance())
		for i := range allowed {
			assert.Equal(t, allowed == 4 && i == 3, w.Succeeded(now, now, false))
		}
	}
	assert.Equal(t, Usable, w.State(now))
	assert.Equal(t, 4*time.Second, exclude())
	now = w.Until()
	_, _, excluded := w.Paces(now, knownFleet(30), []Task{{kind, true}}, nil)
	assert.True(t, excluded, "a slow probe is not alone")
	now = w.Until()
	for range 5 {
		exclude()
		now = w.Until()
	}
	assert.Equal(t, MaxExclusion, exclude())
	now = w.Until() + Period
	assert.True(t, w.Advance(now))
	assert.Equal(t, Usable, w.State(now))
	assert.Equal(t, 2*time.Second, exclude(), "nothing has happened for a period")
}

// Guards against exclusions that take the room of a pool: if many workers are bad, they are not the cause. The least bad ones are
// used, and the others stay excluded.
func TestLimit(t *testing.T) {
	for _, c := range []struct{ size, bad, excluded int }{{1, 1, 0}, {2, 2, 1}, {7, 3, 1}, {40, 10, 10}, {40, 30, 10}} {
		var bad []*Worker
		failing := map[*Worker]bool{}
		for i := range c.bad {
			w := &Worker{}
			if w.Silent(start - time.Second); i%3 == 0 {
				w.exclude(start+time.Duration(i)*ms, Failing, time.Second)
				failing[w] = true
			} else {
				w.exclude(start+time.Duration(i)*ms, Slow, time.Second)
			}
			bad = append(bad, w)
		}
		refusing := &Worker{}
		refusing.exclude(start, Refusing, time.Minute)
		Limit(append(bad[:len(bad):len(bad)], refusing), c.size)
		excluded, failingExcluded := 0, 0
		for _, w := range bad {
			if w.State(start+500*ms) == Excluded {
				excluded++
				if failing[w] {
					failingExcluded++
				}
			}
			assert.Equal(t, !failing[w] && c.bad <= c.excluded, w.BadPace(), "the tasks are the cause if many are slow")
		}
		assert.Equal(t, c.excluded, excluded, "%+v", c)
		assert.Equal(t, min(c.excluded, len(failing)), failingExcluded, "failing workers are the worst")
		assert.Equal(t, Excluded, refusing.State(start+2*time.Second), "a refusing worker is of no use")
	}
}

// Guards against exclusions of good workers and against slow workers that go unnoticed, under the load that the package is for: 490
// workers with 2 tasks of 1 s at a time, of which 3 in 100 take 7 times as long, and 12 workers at a time that are 2.5 to 5 times
// slower for 6 s.
func TestSlowWorkersAmongSlowTasks(t *testing.T) {
	const workers, slots, slowWorkers, tick = 490, 2, 12, 250 * ms
	rng := rand.New(rand.NewPCG(1, 1))
	paces := map[bool]Pace{false: PaceNormal, true: PaceSlow}
	type run struct {
		begun time.Duration
		// done is the work that is done, of which there is total.
		done, total time.Duration
		slow, own   bool
	}
	var all [workers]Worker
	var runs [workers][slots]run
	var factor [workers]float64
	var slowUntil, slowSince [workers]time.Duration
	f := &Fleet{}
	wrong, right, slowTime, slowUsed, goodTime, goodExcluded := 0, 0, 0.0, 0.0, 0.0, 0.0
	for now := start; now < start+2*time.Minute; now += tick {
		slow := 0
		for i := range all {
			if now < slowUntil[i] {
				slow++
			}
		}
		for ; slow < slowWorkers; slow++ {
			i := rng.IntN(workers)
			slowSince[i], slowUntil[i], factor[i] = now, now+6*time.Second, 2.5+2.5*rng.Float64()
		}
		for i := range all {
			w, isSlow := &all[i], now < slowUntil[i]
			if state := w.State(now); isSlow {
				slowTime++
				if state == Usable {
					slowUsed++
				}
			} else if goodTime++; state != Usable && now > slowUntil[i]+10*time.Second {
				goodExcluded++
			}
			var running, ended []Task
			for k := range runs[i] {
				r := &runs[i][k]
				step := tick
				if isSlow {
					step = time.Duration(float64(tick) / factor[i])
				}
				if r.total > 0 {
					r.done += step
				}
				counts := r.begun >= w.ProbationSince()
				switch {
				case r.total > 0 && r.done < r.total:
					if p := Running(now-r.begun, time.Second, int(100*r.done/r.total)); p != PaceUnknown && counts {
						r.slow = p == PaceSlow
						if !r.own {
							running = append(running, Task{kind, r.slow})
						}
					}
					continue
				case r.total > 0 && counts:
					end := Task{kind, now-r.begun >= 2*time.Second}
					if w.Reason() == None {
						f.Ended(end)
					}
					if !r.own {
						ended = append(ended, end)
					}
					w.Succeeded(now, r.begun, end.Slow)
					for o := range runs[i] {
						other := &runs[i][o]
						other.own = other.own || OwnPace(paces[other.slow], other.begun, paces[end.Slow], r.begun)
					}
				}
				*r = run{}
				if s := w.State(now); s == Usable || s == Probation && k < w.Allowance() {
					*r = run{begun: now, total: time.Second}
					if rng.IntN(100) < 3 {
						r.total *= 7
					}
				}
			}
			if _, _, excluded := w.Paces(now, f, running, ended); excluded {
				if now < slowUntil[i]+4*time.Second && slowSince[i] != 0 {
					right++
				} else {
					wrong++
				}
			}
			w.Advance(now)
		}
	}
	t.Logf("exclusions: %d right, %d wrong; slow workers usable for %.2f of their time, good ones excluded for %.4f", right, wrong,
		slowUsed/slowTime, goodExcluded/goodTime)
	assert.Less(t, goodExcluded/goodTime, 0.02)
	assert.Less(t, slowUsed/slowTime, 0.5)
}

func BenchmarkPaces(b *testing.B) {
	f, running := knownFleet(30), make([]Task, 8)
	for i := range running {
		running[i].Kind = kind
	}
	var w Worker
	b.ReportAllocs()
	for b.Loop() {
		w.Paces(start, f, running, nil)
	}
}
