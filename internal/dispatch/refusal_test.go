package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// arrivals decides on submissions as an instance does that reads each summary one interval after it was written.
type arrivals struct {
	read, unread *backlog.Summary
	writtenAt    time.Duration
	// refuses is set if the verdicts are followed.
	refuses bool
}

func (a *arrivals) arrive(sim *simulation, l *layout, steps []workflow.Step) bool {
	if sim.now >= a.writtenAt+backlog.Interval {
		a.read, a.unread, a.writtenAt = a.unread, sim.core.Backlog(sim.now), sim.now
	}
	if a.read == nil {
		return true
	}
	age := sim.now - time.Duration(a.read.WrittenAt)*time.Millisecond
	l.doomed = a.read.Judge(age, backlog.Request{ID: string(l.id), Queue: l.terms.Queue, Pool: l.terms.Pool, Priority: l.terms.Priority,
		BestEffort: true, Objective: l.objective, Chain: (&workflow.Submission{Steps: steps}).Chain()}).Refused
	return !l.doomed || !a.refuses
}

// playPriorities is playHeavyDay with a share of submissions of a lower priority, and verdicts on all.
func playPriorities(t *testing.T, seed uint64, perSecond, lowShare float64, refuses bool) []*layout {
	a := &arrivals{refuses: refuses}
	layouts, _ := playContention(t, seed, perSecond, 2, contention{baseTail: usualBaseTail, arrive: a.arrive, lowShare: lowShare})
	return layouts
}

func selectLayouts(layouts []*layout, keep func(*layout) bool) []*layout {
	var out []*layout
	for _, l := range layouts {
		if keep(l) {
			out = append(out, l)
		}
	}
	return out
}

func isDoomed(l *layout) bool { return l.doomed }
func isLow(l *layout) bool    { return l.terms.Priority > 0 }
func isHigh(l *layout) bool   { return !isLow(l) }

// Guards against the refusal of submissions that would have been served, against refusals that serve those of a higher
// priority worse, and against refusals that hit large submissions more than others.
func TestSubmissionsBehindAHigherPriorityAreRefused(t *testing.T) {
	t.Parallel()
	const perSecond, lowShare = 16, 0.3
	admitted := playPriorities(t, 5, perSecond, lowShare, false)
	doomed := selectLayouts(admitted, isDoomed)
	_, served := shares(doomed)
	t.Logf("%d of %d submissions are doomed, %.3f of them are served", len(doomed), len(admitted), served)
	assert.Greater(t, len(doomed), 20)
	assert.Zero(t, served, "refused ones that would have been served")
	low := selectLayouts(admitted, isLow)
	doomedOf := func(part []*layout) float64 {
		return float64(len(selectLayouts(part, isDoomed))) / float64(len(part))
	}
	assert.InDelta(t, doomedOf(low), doomedOf(byWork(low, 0.7, 1)), 0.2, "large submissions")

	inTime, _ := shares(selectLayouts(admitted, isHigh))
	withRefusals, _ := shares(selectLayouts(playPriorities(t, 5, perSecond, lowShare, true), isHigh))
	t.Logf("higher priority in time: %.3f without refusals, %.3f with them", inTime, withRefusals)
	assert.GreaterOrEqual(t, withRefusals, inTime-0.05)
}

// Guards against refusals for which the load is no reason: a burst from which a pool recovers, and more work of one priority
// than it can run, where new submissions overtake old ones.
func TestOverloadOfOnePriorityIsNotRefused(t *testing.T) {
	t.Parallel()
	for _, load := range []struct{ perSecond, lowShare float64 }{{2.3, 0.3}, {8, 0}} {
		layouts := playPriorities(t, 6, load.perSecond, load.lowShare, true)
		assert.Empty(t, selectLayouts(layouts, isDoomed), "%+v", load)
	}
}

// Guards against a summary that costs appends of its own, does not reach the other instances, or is not renewed by the
// successor of an owner that died.
func TestBacklogIsPublishedWithHeartbeats(t *testing.T) {
	log := memlog.New()
	first := startInstance(t, log, "a")
	eventually(t, "owner", first.isOwner)
	second := startInstance(t, log, "b")
	published := func(i *testInstance, epoch int64) func() bool {
		return func() bool {
			s, _ := i.catalog.Backlog()
			return s != nil && s.Epoch == epoch
		}
	}
	eventually(t, "the summary of the owner", published(second, 1))
	first.stop()
	eventually(t, "the summary of the successor", published(second, 2))
}
