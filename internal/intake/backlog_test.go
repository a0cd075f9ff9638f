package intake

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// crowdedAPI returns an API whose newest summary leaves queue "low" no time, and its log.
func crowdedAPI(t *testing.T, writtenAt time.Time) (*API, *fakeAppender) {
	s := &backlog.Summary{Epoch: 1, WrittenAt: writtenAt.UnixMilli(), Pools: []backlog.Pool{{Name: "p", Best: 1000, Recent: 1000}},
		Classes: []backlog.Class{{Queue: "high", Pool: "p", Priority: 1, Waiting: 600_000},
			{Queue: "low", Pool: "p", Priority: 2, Waiting: 1, StarvedMS: 60_000}}}
	e, err := catalog.BacklogEntry(s)
	require.NoError(t, err)
	api := newAPI(true)
	log := &fakeAppender{}
	api.log = log
	api.catalog.ProgressRead(clock.Now())
	api.catalog.ApplyProgress([]eventlog.Entry{e})
	return api, log
}

func lowSubmission() *workflow.Submission {
	return &workflow.Submission{Job: "5c0e7a21d94b36f8", Steps: []workflow.Step{{Count: 1, Estimate: time.Second}},
		Terms: workflow.Terms{Queue: "low", Pool: "p", Priority: 2, Stretch: 2}}
}

// Guards against a refusal after the entry was sent, and against one without a time to return.
func TestDoomedSubmissionIsRefusedBeforeAnythingIsSent(t *testing.T) {
	api, log := crowdedAPI(t, time.Now())
	var refused *RefusedError
	require.ErrorAs(t, api.Submit(context.Background(), lowSubmission()), &refused)
	assert.Zero(t, log.calls)
	assert.GreaterOrEqual(t, refused.RetryAfter, time.Second)
}

// Guards against the refusal of submissions that the summary says nothing certain about.
func TestSubmissionIsAdmittedUnlessItIsCertainlyDoomed(t *testing.T) {
	for name, change := range map[string]func(*workflow.Submission){
		"scheduled":        func(s *workflow.Submission) { s.Repeat, s.First = 1, time.Unix(1, 0) },
		"long-running":     func(s *workflow.Submission) { s.Steps[0].LongRunning = true },
		"without estimate": func(s *workflow.Submission) { s.Steps[0].Estimate = 0 },
		"urgent":           func(s *workflow.Submission) { s.Terms.Priority = 0 },
	} {
		api, log := crowdedAPI(t, time.Now())
		s := lowSubmission()
		change(s)
		require.NoError(t, api.Submit(context.Background(), s), name)
		assert.Equal(t, 1, log.calls, name)
	}
	for name, writtenAt := range map[string]time.Duration{"slow log": -backlog.MaxAge, "owner is gone": -time.Hour} {
		api, _ := crowdedAPI(t, time.Now().Add(writtenAt))
		require.NoError(t, api.Submit(context.Background(), lowSubmission()), name)
	}
}

// staleView is a view that cannot be refreshed.
type staleView struct{ currentView }

func (staleView) AsOf() (time.Duration, bool) { return 0, true }

// Guards against the refusal of a submission that another instance has stored: a refused one must never run.
func TestStoredSubmissionIsNotRefused(t *testing.T) {
	api, _ := crowdedAPI(t, time.Now())
	api.submissionsFreshness = staleView{}
	require.NoError(t, api.Submit(context.Background(), lowSubmission()), "the view cannot be refreshed")
	api, _ = crowdedAPI(t, time.Now())
	api.view = unreadView{catalog: api.catalog}
	s := lowSubmission()
	s.Job = newSubmission().Job
	require.NoError(t, api.Submit(context.Background(), s), "stored, and not read yet")
}
