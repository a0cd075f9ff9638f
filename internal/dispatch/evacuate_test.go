package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/eventlog"
)

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

var _ = time.Second
