package intake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// submitFor submits with the time that a request is held.
func submitFor(ctx context.Context, i *testInstance, d time.Duration, s *workflow.Submission) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return i.api.Submit(ctx, s)
}

// Guards against a refusal of a submission that is repeated while its first append is in progress, and stored by it later:
// at the same instance, at another one, and after the log has become unreachable.
func TestRepetitionWhileTheFirstAppendIsInProgress(t *testing.T) {
	for _, away := range []func(*partition){func(p *partition) { p.resets = true }, func(p *partition) { p.refuses = true },
		func(p *partition) { p.silent = true }} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			f := newFleet(t, ctx, 6)
			time.Sleep(time.Second)
			f.log.set(func() { f.log.service = 4 * time.Second })
			var uncertain *UncertainError
			require.ErrorAs(t, submitFor(ctx, f.instances["i00"], 1350*time.Millisecond, newSubmission()), &uncertain)
			f.log.set(func() { away(f.log) })
			time.Sleep(400 * time.Millisecond)
			var wg sync.WaitGroup
			for _, name := range f.names {
				wg.Go(func() {
					var uncertain *UncertainError
					assert.ErrorAs(t, submitFor(ctx, f.instances[name], 1350*time.Millisecond, newSubmission()), &uncertain, name)
				})
			}
			wg.Wait()
			f.log.set(func() { repair(f) })
			time.Sleep(5 * time.Second)
			for name, i := range f.instances {
				assert.NotNil(t, i.api.catalog.Find(newSubmission().Job), "%s: the first append has stored it", name)
			}
			cancel()
			time.Sleep(5 * time.Second)
		})
	}
}

// Guards against a collector that refuses a repetition for lack of time, or because the log does not answer, while an
// earlier append of the same submission waits there and is stored; and against a refusal that is held back although the
// first append was refused as well.
func TestRepetitionAtTheCollector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(t, ctx, 6)
		time.Sleep(time.Second)
		h := f.instances["i02"].handler
		e, err := catalog.SubmissionEntry(newSubmission())
		require.NoError(t, err)
		f.log.set(func() { slow(f) })
		h.Hint(slowAppend)
		first := make(chan error, 1)
		go func() { first <- h.Append(ctx, e) }()
		time.Sleep(10 * time.Millisecond)
		long, done := context.WithTimeout(ctx, time.Second)
		defer done()
		short, done := context.WithTimeout(ctx, 100*time.Millisecond)
		defer done()
		assert.True(t, isUnknown(h.Append(short, e)), "the time is over before the first append has ended")
		assert.NoError(t, h.Append(long, e))
		assert.NoError(t, <-first)

		f.log.set(func() { repair(f); f.log.refuses = true })
		time.Sleep(time.Second)
		e.Key = "0000000000000001"
		for range 2 {
			go func() { first <- h.Append(ctx, e) }()
		}
		for range 2 {
			err := <-first
			assert.Error(t, err)
			assert.False(t, isUnknown(err), "nothing was sent")
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// Guards against a refusal of a repetition that the log has stored, before the view shows it.
func TestRepetitionOfAStoredSubmission(t *testing.T) {
	u, e := newUnsettled(prometheus.NewRegistry()), catalog.CancelEntry("0000000000000001")
	ctx := context.Background()
	require.NoError(t, u.append(ctx, &fakeAppender{}, e))
	refusing := &fakeAppender{err: &eventlog.QueueFullError{}}
	assert.NoError(t, u.append(ctx, refusing, e))
	assert.Error(t, u.append(ctx, refusing, catalog.CancelEntry("0000000000000002")))
	assert.Equal(t, 1.0, testutil.ToFloat64(u.replaced.WithLabelValues(outcomeStored)))
	assert.Zero(t, testutil.ToFloat64(u.replaced.WithLabelValues(outcomeUnknown)))
}

// Guards against notices that fill the memory: any client of the relay may send them.
func TestForgedNotices(t *testing.T) {
	api := newAPI(false)
	h := NewPeerHandler(&fakeAppender{}, api, nil)
	for i := range 2 * maxNotedKeys / maxNoticeKeys {
		keys := []string{"owner"}
		for j := range 2 * maxNoticeKeys {
			keys = append(keys, fmt.Sprintf("%016x", i*maxNoticeKeys+j))
		}
		h.Unknown(keys, true)
	}
	assert.Len(t, api.unsettled.keys, maxNotedKeys)
	assert.NotContains(t, api.unsettled.keys, "owner")
}

// Guards against callers who repeat their submission after an unknown outcome, get a refusal at last, and whose submission
// runs: while the log is slow, resets, does not answer or refuses.
func TestLastAnswerIsTrue(t *testing.T) {
	for name, fault := range map[string]func(*fleet){"slow": slow, "resets": func(f *fleet) { f.log.resets = true },
		"silent": func(f *fleet) { f.log.silent = true }, "refuses": func(f *fleet) { f.log.refuses = true },
		"slow and refuses reads": func(f *fleet) { slow(f); f.log.refusesReads = true }} {
		t.Run(name, func(t *testing.T) { testLastAnswers(t, fault) })
	}
}

func testLastAnswers(t *testing.T, fault func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(t, ctx, 36)
		time.AfterFunc(time.Second, func() { f.log.set(func() { f.log.service = 1500 * time.Millisecond }) })
		time.AfterFunc(1200*time.Millisecond, func() { f.log.set(func() { fault(f) }) })
		time.AfterFunc(5*time.Second, func() { f.log.set(func() { repair(f); f.log.refusesReads = false }) })
		var mu sync.Mutex
		var repeated int
		refused := map[workflow.JobID]bool{}
		var wg sync.WaitGroup
		for n := range 240 {
			random := rand.New(rand.NewPCG(2, uint64(n)))
			id := workflow.JobID(fmt.Sprintf("%016x", n+1))
			wg.Go(func() {
				unknown := false
				for range 4 {
					err := submitFor(ctx, f.instances[f.names[random.IntN(len(f.names))]], 1350*time.Millisecond,
						&workflow.Submission{Job: id, Steps: []workflow.Step{{Count: 1}}})
					var r *RefusedError
					isRefused := errors.As(err, &r)
					mu.Lock()
					refused[id] = isRefused
					if isRefused && unknown {
						repeated++
					}
					mu.Unlock()
					if err == nil {
						return
					}
					unknown = unknown || !isRefused
					time.Sleep(100 * time.Millisecond)
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
		untrue := 0
		for id := range refused {
			if refused[id] && f.instances["i00"].api.catalog.Find(id) != nil {
				untrue++
			}
		}
		t.Logf("refused after an unknown outcome %d, untrue at last %d", repeated, untrue)
		assert.Zero(t, untrue)
		cancel()
		time.Sleep(5 * time.Second)
	})
}
