package intake

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// unansweringLog answers no append. If stores is set, the entry is applied to the catalog later.
type unansweringLog struct {
	catalog *catalog.Catalog
	stores  bool
}

func (l *unansweringLog) Append(_ context.Context, e eventlog.Entry) error {
	if l.stores {
		time.AfterFunc(100*time.Millisecond, func() {
			e.Offset = 1
			l.catalog.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{e}})
		})
	}
	return &eventlog.UnknownError{Op: "append", Err: io.EOF}
}

type currentView struct{}

func (currentView) AsOf() (time.Duration, bool) { return clock.Now(), true }

// RefreshSubmissions and RefreshProgress find no new entries.
func (currentView) RefreshSubmissions(context.Context) {}
func (currentView) RefreshProgress(context.Context)    {}

func newAPI(stores bool) *API {
	l := slog.New(slog.NewTextHandler(io.Discard, nil))
	cat := catalog.New(l)
	config := &queue.Current{}
	config.Advance(queue.New(1, nil, nil, queue.Limits{}))
	return New(&unansweringLog{catalog: cat, stores: stores}, cat, config, currentView{}, currentView{},
		currentView{}, MaxAges{Submissions: time.Second, Config: time.Second}, l, prometheus.NewRegistry())
}

func newSubmission() *workflow.Submission {
	return &workflow.Submission{Job: "5c0e7a21d94b36f8", Steps: []workflow.Step{{Count: 1}}}
}

// Guards against reporting an unknown outcome although the submission is found in the log.
func TestSubmissionThatIsReadBackIsAccepted(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	api := newAPI(true)
	require.NoError(t, api.Submit(ctx, newSubmission()))
	require.NoError(t, api.Cancel(ctx, "q", newSubmission().Job))
}

// Guards against reporting a definite outcome while it is unknown.
func TestSubmissionThatIsNeverReadIsUncertain(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	var uncertain *UncertainError
	require.ErrorAs(t, newAPI(false).Submit(ctx, newSubmission()), &uncertain)
}

// overtakenLog refuses entries that an earlier request has stored meanwhile.
type overtakenLog struct{ catalog *catalog.Catalog }

func (l *overtakenLog) Append(_ context.Context, e eventlog.Entry) error {
	e.Offset = 1
	l.catalog.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{e}})
	return &eventlog.UnsentError{}
}

// Guards against refusing a repeated submission although the view shows that an earlier request has stored it.
func TestRepeatedSubmissionThatIsStoredMeanwhileIsNotRefused(t *testing.T) {
	api := newAPI(false)
	api.log = &overtakenLog{catalog: api.catalog}
	require.NoError(t, api.Submit(context.Background(), newSubmission()))
	require.NoError(t, api.Cancel(context.Background(), "q", newSubmission().Job))
}

func TestInvalidSubmissionIsNotStored(t *testing.T) {
	var invalid *workflow.InvalidError
	api := newAPI(true)
	require.ErrorAs(t, api.Submit(context.Background(), &workflow.Submission{Job: "a"}), &invalid)
	assert.Nil(t, api.Find(context.Background(), "a"))
}

// unreadView is a view of a log with a submission and a record that have not been read yet.
type unreadView struct {
	currentView
	catalog *catalog.Catalog
}

func (v unreadView) RefreshSubmissions(context.Context) {
	e, _ := catalog.SubmissionEntry(newSubmission())
	v.catalog.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{e}})
}

func (v unreadView) RefreshProgress(context.Context) {
	e, _ := catalog.StateEntry(newSubmission().Job, workflow.Done)
	v.catalog.ApplyProgress([]eventlog.Entry{e})
}

// Guards against reporting a submission of another instance as unknown, or as running after it is done.
func TestFindReadsWhatIsStored(t *testing.T) {
	api := newAPI(true)
	api.view = unreadView{catalog: api.catalog}
	j := api.Find(context.Background(), newSubmission().Job)
	require.NotNil(t, j)
	assert.Equal(t, workflow.Done, j.State())
}
