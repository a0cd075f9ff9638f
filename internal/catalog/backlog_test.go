package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against the use of a summary whose age is unknown, was superseded or cannot be read.
func TestBacklog(t *testing.T) {
	c := newCatalog()
	read := func(at time.Duration, s *backlog.Summary) (*backlog.Summary, time.Duration) {
		c.ApplyProgress([]eventlog.Entry{entry(t, 1)(BacklogEntry(s))})
		c.ProgressRead(at)
		return c.Backlog()
	}
	got, _ := read(time.Second, &backlog.Summary{Epoch: 1, WrittenAt: 10})
	assert.Nil(t, got, "it was there at the first read")
	got, after := read(2*time.Second, &backlog.Summary{Epoch: 1, WrittenAt: 20})
	require.NotNil(t, got)
	assert.Equal(t, time.Second, after, "the read before did not find it")
	got, after = read(3*time.Second, &backlog.Summary{Epoch: 1, WrittenAt: 15})
	assert.Equal(t, int64(20), got.WrittenAt)
	assert.Equal(t, time.Second, after, "an older one changes nothing")
	got, _ = read(4*time.Second, &backlog.Summary{Epoch: 2, WrittenAt: 5})
	assert.Equal(t, int64(2), got.Epoch, "that of a later owner whose clock is behind")
	got, _ = read(5*time.Second, &backlog.Summary{Epoch: 3, Classes: []backlog.Class{{Waiting: -1}}})
	assert.Nil(t, got)
	got, _ = read(6*time.Second, &backlog.Summary{Epoch: 3, WrittenAt: 1})
	assert.NotNil(t, got)
	c.ApplyProgress([]eventlog.Entry{{Key: backlogKey, Offset: 9, Value: []byte("?")}})
	got, _ = c.Backlog()
	assert.Nil(t, got)
}

// Guards against an instance of an earlier version that takes the summary for a submission: it could never claim.
func TestEarlierVersionsIgnoreTheBacklog(t *testing.T) {
	e, err := BacklogEntry(&backlog.Summary{Epoch: 1, Classes: []backlog.Class{{Queue: "q"}}})
	require.NoError(t, err)
	e.Key = "a-key-that-is-not-known"
	c := newCatalog()
	c.ApplyProgress([]eventlog.Entry{e})
	assert.True(t, c.Complete())
	assert.Empty(t, c.orphans)
	var r workflow.Record
	assert.Error(t, workflow.Decode("progress", e.Value, &r))
}

// Guards against summaries that take up the links of weak instances.
func TestBacklogEntryIsBounded(t *testing.T) {
	s := &backlog.Summary{Epoch: 1}
	for i := range 200 {
		s.Classes = append(s.Classes, backlog.Class{Queue: fmt.Sprintf("queue-with-a-name-%d", i), Pool: "pool", Waiting: int64(i)})
	}
	e, err := BacklogEntry(s)
	require.NoError(t, err)
	assert.LessOrEqual(t, len(e.Value), backlog.MaxBytes)
	require.NotEmpty(t, s.Classes)
	assert.Equal(t, int64(199), s.Classes[len(s.Classes)-1].Waiting, "the most work is kept")
}
