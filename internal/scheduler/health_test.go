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

// failureStats is the result of runFailures. Worker w0 is the one that may fail every task; maxStartsOnProbation is the
// largest number of starts on it within one second after its first quarantine.
type failureStats struct {
	starts, startsOnBad, maxStartsOnProbation int
	quarantined                               map[instance.ID]bool
	jobs                                      map[string]contract.JobState
}

func (fs failureStats) wastedPercent() float64 {
	return 100 * float64(fs.startsOnBad) / float64(fs.starts)
}

// runFailures runs 10 jobs of 200 tasks and one of 20 for 400 s on 20 workers, with or without quarantine.
func runFailures(t *testing.T, quarantine bool,
	fails func(*fakeWorker, upstream.StartRequest) bool) (out failureStats) {
	out = failureStats{quarantined: map[instance.ID]bool{}, jobs: map[string]contract.JobState{}}
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 20)
		cl.version.Manifest.RacksPerShard, cl.version.Manifest.Kinds = 10, cl.version.Manifest.Kinds[:1]
		cl.fleet.fails = fails
		s, stop := cl.startScheduler("s1")
		s.post(func(time.Time) { s.noQuarantine = !quarantine })
		time.Sleep(5 * time.Second)
		cl.submit("bad", 20)
		for i := range 10 {
			cl.submit(fmt.Sprint("good", i), 200)
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
			cl.fleet.mu.Lock()
			n := cl.fleet.startsOn["w0"]
			cl.fleet.mu.Unlock()
			if out.quarantined["w0"] && n > last {
				out.maxStartsOnProbation = max(out.maxStartsOnProbation, n-last)
			}
			last = n
		}
		for _, id := range []string{"bad", "good0", "good1", "good2", "good3", "good4", "good5", "good6", "good7",
			"good8", "good9"} {
			out.jobs[id] = cl.job(s, id)
		}
		cl.fleet.mu.Lock()
		out.starts, out.startsOnBad = cl.fleet.starts, cl.fleet.startsOn["w0"]
		cl.fleet.mu.Unlock()
		require.NoError(t, stop())
	})
	return out
}

// Guards against a worker that fails every task and attracts more and more of them, because it is always empty.
func TestBadWorker(t *testing.T) {
	bad := func(w *fakeWorker, _ upstream.StartRequest) bool { return w.id == "w0" }
	with, without := runFailures(t, true, bad), runFailures(t, false, bad)
	t.Logf(
		"bad worker: %d of %d starts (%.2f%%), at most %d at once on probation; without quarantine: %d of %d (%.2f%%)",
		with.startsOnBad, with.starts, with.wastedPercent(), with.maxStartsOnProbation,
		without.startsOnBad, without.starts, without.wastedPercent())
	require.Equal(t, map[instance.ID]bool{"w0": true}, with.quarantined)
	require.Empty(t, without.quarantined)
	require.LessOrEqual(t, with.maxStartsOnProbation, 1)
	require.Less(t, with.wastedPercent(), 2.0)
	require.Less(t, 4*with.startsOnBad, without.startsOnBad)
	for id, j := range with.jobs {
		require.Equal(t, j.Tasks, j.Done, id)
	}
}

// Guards against the quarantine of workers because of a single failing job, and against unlimited attempts of that job.
func TestBadJob(t *testing.T) {
	out := runFailures(t, true, func(_ *fakeWorker, r upstream.StartRequest) bool { return r.Job == testShard+"~bad" })
	require.Empty(t, out.quarantined)
	require.Equal(t, 20, out.jobs["bad"].Failed)
	require.Equal(t, 20*defaultMaxAttempts, out.jobs["bad"].Attempts)
	for id, j := range out.jobs {
		require.True(t, id == "bad" || j.Done == j.Tasks, id)
	}
}
