package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// outcome is what a run of 20 workers with failures showed.
type outcome struct {
	starts, onBad, probation int
	quarantined              map[instance.ID]bool
	jobs                     map[string]contract.JobState
}

func (o outcome) wasted() float64 { return 100 * float64(o.onBad) / float64(o.starts) }

// runFailures runs 10 jobs of 200 tasks and one of 20 for 400 s on 20 workers, with or without quarantine.
func runFailures(t *testing.T, quarantine bool, fails func(*fakeWorker, upstream.StartRequest) bool) (out outcome) {
	out = outcome{quarantined: map[instance.ID]bool{}, jobs: map[string]contract.JobState{}}
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 20)
		w.v.Manifest.RacksPerShard, w.v.Manifest.Kinds = 10, w.v.Manifest.Kinds[:1]
		w.fleet.fails = fails
		s, stop := w.scheduler("s1")
		s.post(func(time.Time) { s.noQuarantine = !quarantine })
		time.Sleep(5 * time.Second)
		w.submit("bad", 20)
		for i := range 10 {
			w.submit(fmt.Sprint("good", i), 200)
		}
		last := 0
		for range 400 {
			time.Sleep(time.Second)
			done := make(chan bool)
			s.post(func(now time.Time) {
				for id, w := range s.shards[testShard].own.workers {
					if w.health.quarantined(now) {
						out.quarantined[id] = true
					}
				}
				close(done)
			})
			<-done
			w.fleet.mu.Lock()
			n := w.fleet.startsOn["w0"]
			w.fleet.mu.Unlock()
			if out.quarantined["w0"] && n > last {
				out.probation = max(out.probation, n-last)
			}
			last = n
		}
		for _, id := range []string{"bad", "good0", "good1", "good2", "good3", "good4", "good5", "good6", "good7", "good8", "good9"} {
			out.jobs[id] = w.job(s, id)
		}
		w.fleet.mu.Lock()
		out.starts, out.onBad = w.fleet.starts, w.fleet.startsOn["w0"]
		w.fleet.mu.Unlock()
		require.NoError(t, stop())
	})
	return out
}

// Guards against a worker that fails every task and, being always empty, draws more and more of them.
func TestBadWorker(t *testing.T) {
	bad := func(w *fakeWorker, _ upstream.StartRequest) bool { return w.id == "w0" }
	with, without := runFailures(t, true, bad), runFailures(t, false, bad)
	t.Logf("with quarantine: %d of %d starts on the bad worker (%.2f%%), at most %d at a time on probation; without: %d of %d (%.2f%%)",
		with.onBad, with.starts, with.wasted(), with.probation, without.onBad, without.starts, without.wasted())
	require.Equal(t, map[instance.ID]bool{"w0": true}, with.quarantined)
	require.Empty(t, without.quarantined)
	require.LessOrEqual(t, with.probation, 1)
	require.Less(t, with.wasted(), 2.0)
	require.Less(t, 4*with.onBad, without.onBad)
	for id, j := range with.jobs {
		require.Equal(t, j.Tasks, j.Done, id)
	}
}

// Guards against workers in quarantine for the fault of a job, and against a job that fails for ever.
func TestBadJob(t *testing.T) {
	out := runFailures(t, true, func(_ *fakeWorker, r upstream.StartRequest) bool { return r.Job == testShard+"~bad" })
	require.Empty(t, out.quarantined)
	require.Equal(t, 20, out.jobs["bad"].Failed)
	require.Equal(t, 20*defaultAttempts, out.jobs["bad"].Attempts)
	for id, j := range out.jobs {
		require.True(t, id == "bad" || j.Done == j.Tasks, id)
	}
}
