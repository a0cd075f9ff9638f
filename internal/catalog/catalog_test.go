package catalog

import (
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/interference"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

func newCatalog() *Catalog { return New(slog.New(slog.NewTextHandler(io.Discard, nil))) }

func entry(t *testing.T, offset int64) func(eventlog.Entry, error) eventlog.Entry {
	return func(e eventlog.Entry, err error) eventlog.Entry {
		t.Helper()
		require.NoError(t, err)
		e.Offset = offset
		return e
	}
}

func submission(id workflow.JobID) *workflow.Submission {
	return &workflow.Submission{Job: id, Terms: workflow.Terms{Queue: "q"}, Steps: []workflow.Step{{Count: 1}}}
}

func TestRepeatedSubmissionRemainsOne(t *testing.T) {
	c := newCatalog()
	e := entry(t, 1)(SubmissionEntry(submission("a")))
	assert.Len(t, c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{e, e}}), 1)
	assert.Len(t, c.All(), 1)
	assert.Equal(t, 1, c.CountWaiting("q"))
}

// Guards against a cancellation that is lost because it is read before its submission, which a slow append can store
// later.
func TestCancellationBeforeItsSubmission(t *testing.T) {
	c := newCatalog()
	changed := c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{CancelEntry("a"),
		entry(t, 2)(SubmissionEntry(submission("a")))}})
	require.Len(t, changed, 1)
	assert.True(t, changed[0].Cancelled)
	assert.Equal(t, workflow.Cancelled, c.Find("a").State())
}

// Guards against a state that reverts when the owner reads its own records again.
func TestStateDoesNotGoBack(t *testing.T) {
	c := newCatalog()
	c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{entry(t, 1)(SubmissionEntry(submission("a")))}})
	running := entry(t, 5)(StateEntry("a", workflow.Running))
	done := entry(t, 6)(StateEntry("a", workflow.Done))
	c.ApplyProgress([]eventlog.Entry{done})
	c.ApplyProgress([]eventlog.Entry{running, done})
	assert.Equal(t, workflow.Done, c.Find("a").State())
	c.ApplyProgress([]eventlog.Entry{running})
	assert.Equal(t, workflow.Done, c.Find("a").State())
}

func TestCompleteOnlyWithAllSubmissions(t *testing.T) {
	c := newCatalog()
	assert.True(t, c.Complete())
	c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{CancelEntry("b")}})
	assert.True(t, c.Complete(), "a cancellation needs no owner")
	c.ApplyProgress([]eventlog.Entry{entry(t, 1)(StateEntry("a", workflow.Running))})
	assert.False(t, c.Complete())
	c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{entry(t, 1)(SubmissionEntry(submission("a")))}})
	assert.True(t, c.Complete())
	assert.Equal(t, workflow.Running, c.Find("a").State())
}

// Guards against a removed submission that blocks the claims of later owners, or that runs again because its record
// was removed first.
func TestRemoval(t *testing.T) {
	c := newCatalog()
	c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{entry(t, 1)(SubmissionEntry(submission("a"))),
		CancelEntry("a")}})
	c.ApplyProgress([]eventlog.Entry{entry(t, 2)(StateEntry("a", workflow.Cancelled))})
	c.ApplySubmissions(eventlog.Batch{Entries: RemoveSubmissionEntries("a")})
	assert.Nil(t, c.Find("a"))
	assert.True(t, c.Complete())
	assert.Equal(t, []workflow.JobID{"a"}, c.RecordsToRemove())
	c.ApplyProgress([]eventlog.Entry{RemoveRecordEntry("a")})
	assert.Empty(t, c.RecordsToRemove())
}

func TestOlderOwnershipIsIgnored(t *testing.T) {
	c := newCatalog()
	c.ApplyProgress([]eventlog.Entry{entry(t, 1)(OwnerEntry(&Ownership{Epoch: 3, Instance: "x"}))})
	assert.Equal(t, "x", c.ApplyProgress([]eventlog.Entry{
		entry(t, 2)(OwnerEntry(&Ownership{Epoch: 2, Instance: "y"}))}).Instance)
}

// Guards against an undecodable record that keeps the others from being applied.
func TestUnreadableRecordsAreLeftOut(t *testing.T) {
	c := newCatalog()
	bad := eventlog.Entry{Key: "a", Value: []byte{0xff}}
	good := entry(t, 1)(SubmissionEntry(submission("b")))
	assert.Len(t, c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{bad, good}}), 1)
	c.ApplyProgress([]eventlog.Entry{bad, {Key: "owner", Value: []byte{0xff}}})
	assert.Zero(t, c.Owner().Epoch)
	loaded := DecodeTasks([]eventlog.Entry{bad, {Key: "interference", Value: []byte{0xff}}}, c.logger)
	assert.Empty(t, loaded.Interference.Images)
	assert.Empty(t, loaded.Records)
	loaded = DecodeTasks([]eventlog.Entry{bad,
		entry(t, 1)(InterferenceEntry(interference.State{Images: []string{"x"}})),
		entry(t, 2)(TasksEntry("b", &workflow.Record{State: workflow.Running}))}, c.logger)
	assert.Equal(t, []string{"x"}, loaded.Interference.Images)
	assert.Len(t, loaded.Records, 1)
}
