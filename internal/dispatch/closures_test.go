package dispatch

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/eventlog"
)

// dataCentreOf returns the data centre of a simulated worker: those of the ids a, c, e and b, d, f belong together.
func dataCentreOf(id string) string { return []string{"even", "odd"}[(id[0]-'a')%2] }

// fakeClosures is what the log holds about closed data centres, and how the owner reads it.
type fakeClosures struct {
	// since holds when the log confirmed that each closed data centre is closed.
	since map[string]time.Duration
	// lag is the time from the confirmation to the owner's knowledge.
	lag time.Duration
	// cutOff keeps the owner from reading the log.
	cutOff bool
	// seen is what the owner has read, up to asOf.
	seen evacuation.Set
	asOf time.Duration
	// starts counts the starts in closed data centres; latest is how long after the confirmation the last one arrived.
	starts int
	latest time.Duration
}

// useClosures makes the owner read which data centres are closed.
func (sim *simulation) useClosures(lag time.Duration) {
	sim.closures = &fakeClosures{since: map[string]time.Duration{}, lag: lag, asOf: sim.now}
}

// read returns the closed data centres that an owner knows which takes over now.
func (c *fakeClosures) read() evacuation.Set {
	if c == nil {
		return nil
	}
	return c.seen
}

// close closes a data centre unless it is closed, reopen opens it.
func (sim *simulation) close(dataCentre string) {
	if _, ok := sim.closures.since[dataCentre]; !ok {
		sim.closures.since[dataCentre] = sim.now
	}
}

func (sim *simulation) reopen(dataCentre string) { delete(sim.closures.since, dataCentre) }

// readClosures passes on what the log holds, and reports whether the owner's view is new enough to place tasks.
func (sim *simulation) readClosures() bool {
	c := sim.closures
	if c == nil {
		return true
	}
	if !c.cutOff && !sim.logDown {
		set, at := evacuation.Set{}, sim.now
		for dataCentre := range maps.Keys(c.since) {
			set[dataCentre] = struct{}{}
		}
		sim.schedule(c.lag, func() {
			c.seen, c.asOf = set, at
			sim.core.SetClosed(sim.now, set)
		})
	}
	fresh := sim.now-c.asOf < maxViewAge
	sim.core.HoldStarts(sim.now, !fresh)
	return fresh
}

// checkStart asserts that a data centre has not been closed for longer than the limit when an attempt starts there.
func (c *fakeClosures) checkStart(sim *simulation, f *fakeWorker, a Attempt) {
	if c == nil {
		return
	}
	since, ok := c.since[f.dataCentre]
	if !ok {
		return
	}
	c.starts, c.latest = c.starts+1, sim.now-since
	require.LessOrEqual(sim.t, c.latest, sim.params.EvacuationLimit, "%v starts on %s, whose data centre is closed", a, f.id)
}

// closuresTopic is the topic whose keys are the closed data centres in tests with an Owner.
const closuresTopic = "closures"

// followClosures returns a follower that passes the closed data centres on to an owner.
func followClosures(log eventlog.Log, pace eventlog.PollIntervals, owner func() *Owner) *eventlog.Follower {
	state := &evacuation.State{}
	return eventlog.NewFollower(log, closuresTopic, pace, discardLogger(), func(b eventlog.Batch) {
		batch := evacuation.Batch{Reset: b.Reset, Next: b.Next}
		for _, e := range b.Entries {
			r := evacuation.Record{DataCentre: e.Key, Content: evacuation.Closed, Offset: e.Offset}
			if e.Value == nil {
				r.Content = evacuation.Open
			}
			batch.Records = append(batch.Records, r)
		}
		state.Apply(batch)
		owner().ClosuresRead(state.Closed(), b.AsOf)
	})
}

// topicCut is an instance's connection to the log that refuses reads of one topic while cut is set.
type topicCut struct {
	eventlog.Log
	topic string
	cut   atomic.Bool
}

func (l *topicCut) refuses(topic string) bool { return topic == l.topic && l.cut.Load() }

// Read implements eventlog.Log.
func (l *topicCut) Read(ctx context.Context, topic string, from int64, wait time.Duration) (eventlog.Page, error) {
	if l.refuses(topic) {
		return eventlog.Page{}, &eventlog.RefusedError{Op: "read", Status: 503}
	}
	p, err := l.Log.Read(ctx, topic, from, wait)
	if l.refuses(topic) {
		return eventlog.Page{}, &eventlog.RefusedError{Op: "read", Status: 503}
	}
	return p, err
}

// Newest implements eventlog.Log.
func (l *topicCut) Newest(ctx context.Context, topic string) (eventlog.Page, error) {
	if l.refuses(topic) {
		return eventlog.Page{}, &eventlog.RefusedError{Op: "newest", Status: 503}
	}
	return l.Log.Newest(ctx, topic)
}
