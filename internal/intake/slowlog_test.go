package intake

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/storehealth"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

func slow(f *fleet) { f.log.service = slowAppend }
func repair(f *fleet) {
	f.log.service, f.log.resets, f.log.silent, f.log.refuses, f.log.loseEach = fastAppend, false, false, false, 0
	f.log.answerDelay, f.log.readDelay, f.log.limitsReads = 0, 0, false
}

// Guards against a fleet whose instances queue their appends one behind the other while the log is slow: nothing is
// accepted then, and callers get no outcome.
func TestSlowLog(t *testing.T) {
	r := runFleet(t, 36, slow, 3600*time.Millisecond, repair)
	assert.GreaterOrEqual(t, r.accepted, 392, "98 of 100 submissions")
	assert.LessOrEqual(t, r.unknown, 8, "2 of 100 without an outcome")
}

// Guards against appends that are given up while they wait in the queue of the log, and sent again: the queue then stays full.
func TestSlowLogWithSlowAnswers(t *testing.T) {
	r := runFleet(t, 36, func(f *fleet) {
		slow(f)
		f.log.answerDelay = 330 * time.Millisecond
	}, 3600*time.Millisecond, repair)
	assert.GreaterOrEqual(t, r.accepted, 372, "93 of 100 submissions")
	assert.LessOrEqual(t, r.unknown, 20, "5 of 100 without an outcome")
}

// Guards against appends that are sent although the log is known to be away: each of them ends without an outcome. Those
// of the first second may. Callers that come back after the end are accepted.
func TestLogThatIsAway(t *testing.T) {
	for _, c := range []struct {
		name           string
		fault          func(*fleet)
		unknown        int
		slowestRefusal time.Duration
	}{
		{"resets", func(f *fleet) { f.log.resets = true }, 20, 200 * time.Millisecond},
		{"silent", func(f *fleet) { f.log.silent = true }, 48, 1350 * time.Millisecond},
		{"refuses", func(f *fleet) { f.log.refuses = true }, 0, 600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := runFleet(t, 36, c.fault, 4*time.Second, repair)
			assert.LessOrEqual(t, r.unknown, c.unknown)
			assert.LessOrEqual(t, r.slowest, c.slowestRefusal)
			assert.GreaterOrEqual(t, r.accepted, 240)
		})
	}
}

// Guards against refusals because responses are lost, although the entries are stored and can be read back.
func TestLostResponses(t *testing.T) {
	r := runFleet(t, 36, func(f *fleet) { f.log.loseEach = 3 }, 4*time.Second, repair)
	assert.Zero(t, r.answers503)
	assert.Equal(t, 400, r.accepted)
}

// Guards against refusals because one read of each instance fails, or because reads are refused for their rate, while appends
// work.
func TestFailedReadsWhileAppendsWork(t *testing.T) {
	for name, fault := range map[string]func(*fleet){"one read resets": func(f *fleet) {
		for _, i := range f.instances {
			i.resetsRead.Store(true)
		}
	},
		"the rate of reads is limited": func(f *fleet) { f.log.limitsReads = true }} {
		t.Run(name, func(t *testing.T) {
			r := runFleet(t, 36, fault, 3600*time.Millisecond, repair)
			assert.Zero(t, r.answers503)
			assert.Equal(t, 400, r.accepted)
		})
	}
}

// Guards against hints that are sent one behind the other: each instance that is told late adds an append to the queue of the
// slow log, which takes 264 ms.
func TestHintsArriveTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(t, ctx, 36)
		time.Sleep(time.Second)
		go f.instances["i02"].handler.collectors.hint(slowAppend)
		time.Sleep(oneWay + time.Millisecond)
		untold := 0
		for name, i := range f.instances {
			if name != "i02" && !i.handler.collectors.log.Health().Slowed() {
				untold++
			}
		}
		assert.Zero(t, untold, "instances that are not told after one trip")
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Guards against submissions that depend on one collector.
func TestDeadCollector(t *testing.T) {
	r := runFleet(t, 36, func(f *fleet) {
		slow(f)
		time.AfterFunc(1500*time.Millisecond, func() { f.instances["i02"].dead.Store(true) })
	}, 3600*time.Millisecond, repair)
	assert.GreaterOrEqual(t, r.accepted, 380, "95 of 100 submissions")
	assert.LessOrEqual(t, r.unknown, 16, "the entries that the collector held")
}

// Guards against a collector that is left out for 2 s because it was short of processor time for 0.4 s, while entries go to
// another one and the two share the log.
func TestStalledCollectorIsUsedAgain(t *testing.T) {
	leftOutAfter := 0
	r := runFleet(t, 36, func(f *fleet) {
		slow(f)
		time.AfterFunc(1500*time.Millisecond, func() {
			f.instances["i02"].stalledTo.Store(time.Now().Add(400 * time.Millisecond).UnixNano())
		})
		time.AfterFunc(2400*time.Millisecond, func() {
			for _, i := range f.instances {
				if i.handler.collectors.choose()[0].Instance != "i02" {
					leftOutAfter++
				}
			}
		})
	}, 3600*time.Millisecond, repair)
	assert.Zero(t, leftOutAfter, "instances that leave the collector out 0.5 s after it answers again")
	assert.GreaterOrEqual(t, r.accepted, 392, "98 of 100 submissions")
	assert.LessOrEqual(t, r.unknown, 8, "2 of 100 without an outcome")
}

// Guards against a collector whose own way to the log is slow, and to which all instances pass their entries for as long as
// it is, although their own appends are fast: from the start, or after the log was slow for all.
func TestOnlyTheCollectorIsSlow(t *testing.T) {
	for _, wasSlow := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			f := newFleet(t, ctx, 36)
			time.Sleep(time.Second)
			f.instances["i02"].delay.Store(int64(150 * time.Millisecond))
			if wasSlow {
				f.log.set(func() { slow(f) })
				f.load(3600*time.Millisecond, &results{})
				f.log.set(func() { repair(f) })
			}
			// Hints of a collector end 2 s after the last report of another instance, times in answers 2 s later, and both count
			// for 2 s.
			f.load(6500*time.Millisecond, &results{})
			for name, i := range f.instances {
				if name != "i02" {
					assert.Equal(t, storehealth.Usable, i.handler.collectors.log.Health().State, "%s, slow before: %t", name, wasSlow)
				}
			}
			cancel()
			time.Sleep(5 * time.Second)
		})
	}
}

// Guards against a refused submission that is stored, an accepted one that is not, and an instance that does not return to
// usual operation, while all faults change several times a second.
func TestMixedFaults(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			f, r := newFleet(t, ctx, 12), &results{}
			random := rand.New(rand.NewPCG(seed, 7))
			go func() {
				for range 60 {
					time.Sleep(time.Duration(20+random.IntN(250)) * time.Millisecond)
					f.log.set(func() {
						repair(f)
						switch random.IntN(8) {
						case 0:
							slow(f)
						case 1:
							f.log.refuses = true
						case 2:
							f.log.resets = true
						case 3:
							f.log.silent = true
						case 4:
							f.log.loseEach = 2
						case 5:
							f.log.service, f.log.loseEach = slowAppend, 2
						case 6:
							f.log.service = storehealth.SlowAfter
						}
					})
					i := f.instances[f.names[random.IntN(len(f.names))]]
					i.dead.Store(random.IntN(4) == 0)
					i.delay.Store(int64(random.IntN(3)) * int64(100*time.Millisecond))
				}
				f.log.set(func() { repair(f) })
				for _, i := range f.instances {
					i.dead.Store(false)
					i.delay.Store(0)
				}
			}()
			f.load(9*time.Second, r)
			time.Sleep(10 * time.Second)
			for name, i := range f.instances {
				assert.Equal(t, storehealth.Usable, i.handler.collectors.log.Health().State, "seed %d: %s still sees a fault", seed, name)
			}
			f.check(t, r)
			cancel()
			time.Sleep(5 * time.Second)
		})
	}
}

// Guards against a fleet whose instances refuse everything because the first collectors have no way to the log, and say that it
// is slow.
func TestCollectorsWithoutLog(t *testing.T) {
	cut := func(f *fleet, cut bool) {
		for n, name := range f.names {
			// The first two collectors, i02 and i05, are among them.
			if n%3 == 2 {
				f.instances[name].cut.Store(cut)
			}
		}
	}
	r := runFleet(t, 36, func(f *fleet) { cut(f, true) }, 6*time.Second, func(f *fleet) { cut(f, false) })
	assert.GreaterOrEqual(t, r.accepted, 372, "93 of 100 submissions")
	// A third of the instances is cut off and gets 13 submissions a second until it asks others, after 1.5 s.
	assert.LessOrEqual(t, r.answers503, 40)
}

// Guards against a submission that is stored as two because its caller comes back at another instance, and against a
// cancellation that is refused while the log is slow.
func TestRepeatAndCancellationWhileSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(t, ctx, 6)
		f.log.set(func() { slow(f) })
		time.Sleep(time.Second)
		id := newSubmission().Job
		require.NoError(t, f.instances["i00"].api.Submit(ctx, newSubmission()))
		require.NoError(t, f.instances["i03"].api.Submit(ctx, newSubmission()))
		require.NoError(t, f.instances["i04"].api.Cancel(ctx, "", id))
		time.Sleep(2 * time.Second)
		for name, i := range f.instances {
			assert.Equal(t, workflow.Cancelled, i.api.catalog.Find(id).State(), name)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}
