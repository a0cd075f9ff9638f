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

// lossy stores an entry, or only says so later, and does not answer.
type lossy struct {
	catalog *catalog.Catalog
	stores  bool
}

func (l *lossy) Append(_ context.Context, e eventlog.Entry) error {
	if l.stores {
		time.AfterFunc(100*time.Millisecond, func() {
			e.Offset = 1
			l.catalog.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{e}})
		})
	}
	return &eventlog.UnknownError{Op: "append", Err: io.EOF}
}

type fresh struct{}

func (fresh) AsOf() (time.Duration, bool) { return clock.Now(), true }

// RefreshSubmissions and RefreshProgress find nothing new.
func (fresh) RefreshSubmissions(context.Context) {}
func (fresh) RefreshProgress(context.Context)    {}

func newDesk(stores bool) *Desk {
	l := slog.New(slog.NewTextHandler(io.Discard, nil))
	cat := catalog.New(l)
	config := &queue.Current{}
	config.Advance(queue.New(1, nil, nil, queue.Limits{}))
	return New(&lossy{catalog: cat, stores: stores}, cat, config, fresh{}, fresh{}, fresh{}, Ages{Submissions: time.Second, Config: time.Second}, l, prometheus.NewRegistry())
}

func job() *workflow.Submission {
	return &workflow.Submission{Job: "5c0e7a21d94b36f8", Steps: []workflow.Step{{Count: 1}}}
}

// Guards against a caller who is told that the outcome is unknown although the log holds the submission.
func TestSubmissionThatIsReadBackIsAccepted(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	d := newDesk(true)
	require.NoError(t, d.Submit(ctx, job()))
	require.NoError(t, d.Cancel(ctx, "q", job().Job))
}

// Guards against an answer that claims more than is known.
func TestSubmissionThatIsNeverReadIsUncertain(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	var uncertain *UncertainError
	require.ErrorAs(t, newDesk(false).Submit(ctx, job()), &uncertain)
}

func TestInvalidSubmissionIsNotStored(t *testing.T) {
	var invalid *workflow.InvalidError
	d := newDesk(true)
	require.ErrorAs(t, d.Submit(context.Background(), &workflow.Submission{Job: "a"}), &invalid)
	assert.Nil(t, d.Find(context.Background(), "a"))
}

// stored is a view whose log holds a record that has not been read yet.
type stored struct {
	fresh
	catalog *catalog.Catalog
}

func (s stored) RefreshSubmissions(context.Context) {
	e, _ := catalog.SubmissionEntry(job())
	s.catalog.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{e}})
}

func (s stored) RefreshProgress(context.Context) {
	e, _ := catalog.ProgressEntry(job().Job, &workflow.Record{State: workflow.Done})
	s.catalog.ApplyProgress([]eventlog.Entry{e})
}

// Guards against a caller who is told that a submission of another instance is unknown or still running.
func TestFindReadsWhatIsStored(t *testing.T) {
	d := newDesk(true)
	d.view = stored{catalog: d.catalog}
	j := d.Find(context.Background(), job().Job)
	require.NotNil(t, j)
	assert.Equal(t, workflow.Done, j.State())
}
