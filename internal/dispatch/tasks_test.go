package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

func appendEntries(t *testing.T, l eventlog.Log, topic string, p *eventlog.Producer, entries ...eventlog.Entry) {
	t.Helper()
	_, err := l.Append(context.Background(), topic, p, entries)
	require.NoError(t, err)
}

// encoded returns a function that fails the test if an entry cannot be encoded.
func encoded(t *testing.T) func(eventlog.Entry, error) eventlog.Entry {
	return func(e eventlog.Entry, err error) eventlog.Entry {
		require.NoError(t, err)
		return e
	}
}

// inspect calls f on the owner's goroutine.
func (i *testInstance) inspect(f func(o *Owner)) {
	done := make(chan struct{})
	i.owner.post(func(time.Duration) { f(i.owner); close(done) })
	<-done
}

// published returns the published state of a submission, and workflow.Queued if there is none.
func (i *testInstance) published(id workflow.JobID) workflow.State {
	if j := i.catalog.Find(id); j != nil && j.Record != nil {
		return j.Record.State
	}
	return workflow.Queued
}

// predecessor fills a log as an owner of epoch 1 leaves it: of one submission, a task is placed on a silent worker and
// another on one that answers; a second submission is done, but published as running.
func predecessor(t *testing.T, ownership *catalog.Ownership, unfenced ...catalog.Incarnation) *memlog.Log {
	ok := encoded(t)
	log := memlog.New()
	for _, id := range []workflow.JobID{"placed", "done"} {
		appendEntries(t, log, "submissions", nil, ok(catalog.SubmissionEntry(&workflow.Submission{Job: id,
			Steps: []workflow.Step{batchStep(2, time.Second)}})))
	}
	p := &eventlog.Producer{Name: producerName, Epoch: 1, Sequence: 1}
	placed := &workflow.Record{State: workflow.Running, Tasks: [][][]workflow.TaskRecord{{{
		{Phase: workflow.Placed, Run: 3, Worker: "silent", WorkerStartedAt: 5},
		{Phase: workflow.Placed, Run: 4, Worker: "answers", WorkerStartedAt: 6}}}}}
	appendEntries(t, log, "tasks", p, ok(catalog.TasksEntry("placed", placed)), ok(catalog.SettledEntry(&catalog.Settled{Epoch: 1, Unfenced: unfenced})),
		ok(catalog.TasksEntry("done", &workflow.Record{State: workflow.Done})),
		ok(catalog.SuspectsEntry(map[string]catalog.Crashes{"placed.0.0.1": {Total: 1, Blame: 2}})))
	appendEntries(t, log, "progress", p, ok(catalog.StateEntry("placed", workflow.Running)),
		ok(catalog.StateEntry("done", workflow.Running)),
		ok(catalog.SilentEntry(map[string]catalog.SilentWorker{"silent": {StartedAt: 5, Remaining: 3 * time.Second}})),
		ok(catalog.OwnerEntry(ownership)))
	return log
}

func TestTakeoverReadsWhatThePredecessorStored(t *testing.T) {
	for name, test := range map[string]struct {
		last     catalog.Ownership
		ended    bool
		unfenced []catalog.Incarnation
	}{
		"released": {last: catalog.Ownership{Epoch: 1, Instance: "x", Released: true}, ended: true},
		"silent":   {last: catalog.Ownership{Epoch: 1, Instance: "x"}},
		"released before a worker was fenced": {last: catalog.Ownership{Epoch: 1, Instance: "x", Released: true}, ended: true,
			unfenced: []catalog.Incarnation{{ID: "answers", StartedAt: 6}}},
		"released before another incarnation was fenced": {ended: true,
			last:     catalog.Ownership{Epoch: 1, Instance: "x", Released: true},
			unfenced: []catalog.Incarnation{{ID: "answers", StartedAt: 5}}},
	} {
		t.Run(name, func(t *testing.T) {
			log := predecessor(t, &test.last, test.unfenced...)
			a, b := startInstance(t, log, "a"), startInstance(t, log, "b")
			eventually(t, "an owner", func() bool { return a.isOwner() || b.isOwner() })
			if b.isOwner() {
				a, b = b, a
			}
			a.inspect(func(o *Owner) {
				tasks := o.core.jobs["placed"].rounds[0].steps[0].tasks
				assert.Equal(t, []int{3, 4}, []int{tasks[0].run, tasks[1].run})
				assert.Equal(t, "answers", tasks[1].worker.ID)
				assert.Equal(t, 1, tasks[1].crashes.Total)
				assert.Equal(t, test.ended, o.predecessorsEnded)
				assert.Equal(t, a.catalog.SilentReadAt()+3*time.Second, tasks[0].worker.leaseEnd)
				until := o.predecessorUntil()
				if name == "released before a worker was fenced" {
					until = o.predecessorRead + withDrift(o.settings.Isolation)
				}
				assert.Equal(t, until+withDrift(o.settings.Lease), tasks[1].worker.leaseEnd)
			})
			for _, i := range []*testInstance{a, b} {
				eventually(t, "the state is published", func() bool { return i.published("done") == workflow.Done })
			}
			assert.Equal(t, workflow.Running, b.published("placed"))
		})
	}
}

// lateAppendLog appends in the name of an owner of epoch 1 just before the tasks are read.
type lateAppendLog struct {
	eventlog.Log
	entry eventlog.Entry
	err   chan error
}

func (l *lateAppendLog) Newest(ctx context.Context, topic string) (eventlog.Page, error) {
	if topic == "tasks" {
		_, err := l.Append(ctx, topic, &eventlog.Producer{Name: producerName, Epoch: 1, Sequence: 2},
			[]eventlog.Entry{l.entry})
		l.err <- err
	}
	return l.Log.Newest(ctx, topic)
}

// Guards against a task that a superseded owner places and that its successor does not know.
func TestNoAppendOfAPredecessorAfterItsTasksAreRead(t *testing.T) {
	log := predecessor(t, &catalog.Ownership{Epoch: 1, Instance: "x", Released: true})
	late := encoded(t)(catalog.TasksEntry("placed", &workflow.Record{State: workflow.Failed}))
	l := &lateAppendLog{Log: log, entry: late, err: make(chan error, 9)}
	a := startInstance(t, l, "a")
	eventually(t, "a owns", a.isOwner)
	var fenced *eventlog.FencedError
	require.ErrorAs(t, <-l.err, &fenced)
	a.inspect(func(o *Owner) { assert.Equal(t, workflow.Running, o.core.jobs["placed"].state) })
}

// slowLoadLog delays the reading of the tasks.
type slowLoadLog struct{ eventlog.Log }

func (l slowLoadLog) Newest(ctx context.Context, topic string) (eventlog.Page, error) {
	if topic == "tasks" {
		time.Sleep(2 * claimSilence)
	}
	return l.Log.Newest(ctx, topic)
}

// Guards against claimants that supersede each other again and again, none of which can read all tasks in time.
func TestSlowLoadIsNoSilence(t *testing.T) {
	log := predecessor(t, &catalog.Ownership{Epoch: 1, Instance: "x", Released: true})
	a, b := startInstance(t, slowLoadLog{log}, "a"), startInstance(t, slowLoadLog{log}, "b")
	eventually(t, "an owner", func() bool { return a.isOwner() || b.isOwner() })
	assert.EqualValues(t, 2, a.catalog.Owner().Epoch)
	assert.EqualValues(t, 2, b.catalog.Owner().Epoch)
}

// Guards against a state that is shown and then taken back, or that is lost, because the owner ends between the append
// of the task record and that of the state.
func TestStateIsPublishedAfterItsTaskRecord(t *testing.T) {
	log := memlog.New()
	logA := &refusingLog{Log: log}
	a := startInstance(t, logA, "a")
	eventually(t, "a owns", a.isOwner)
	b := startInstance(t, log, "b")
	logA.refusedTopic.Store("tasks")
	appendEntries(t, log, "submissions", nil, encoded(t)(catalog.SubmissionEntry(&workflow.Submission{Job: "x",
		Steps: []workflow.Step{batchStep(1, time.Second)}})), catalog.CancelEntry("x"))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, workflow.Queued, a.published("x"), "published before its task record is stored")
	// From here on, a stores tasks and no states.
	var confirmed time.Duration
	logA.refusedTopic.Store("progress")
	time.Sleep(100 * time.Millisecond)
	a.inspect(func(o *Owner) { confirmed = o.lastConfirmed })
	stored := func() bool {
		p, err := log.Newest(context.Background(), "tasks")
		r := catalog.DecodeTasks(p.Entries, discardLogger()).Records["x"]
		return err == nil && r != nil && r.State == workflow.Cancelled
	}
	eventually(t, "the task record is stored", stored)
	time.Sleep(100 * time.Millisecond)
	a.inspect(func(o *Owner) {
		assert.Equal(t, confirmed, o.lastConfirmed, "only states show that the owner is alive")
	})
	assert.Equal(t, workflow.Queued, a.published("x"), "shown before it is published")
	a.stop()
	eventually(t, "b owns", b.isOwner)
	eventually(t, "b publishes the state", func() bool { return b.published("x") == workflow.Cancelled })
}

// Guards against a stop that leaves the last states to its successor.
func TestStoppingOwnerPublishesWhatItStored(t *testing.T) {
	log := memlog.New()
	a := startInstance(t, log, "a")
	eventually(t, "a owns", a.isOwner)
	a.inspect(func(o *Owner) { o.status.next += time.Second })
	appendEntries(t, log, "submissions", nil, encoded(t)(catalog.SubmissionEntry(&workflow.Submission{Job: "x",
		Steps: []workflow.Step{batchStep(1, time.Second)}})), catalog.CancelEntry("x"))
	unpublished := false
	eventually(t, "the task record is stored", func() bool {
		a.inspect(func(o *Owner) { unpublished = o.core.HasUnpublished() })
		return unpublished
	})
	a.stop()
	<-a.done
	successor := &testInstance{catalog: catalog.New(discardLogger())}
	submissions, err := log.Newest(context.Background(), "submissions")
	require.NoError(t, err)
	successor.catalog.ApplySubmissions(eventlog.Batch{Entries: submissions.Entries})
	progress, err := log.Newest(context.Background(), "progress")
	require.NoError(t, err)
	assert.True(t, successor.catalog.ApplyProgress(progress.Entries).Released)
	assert.Equal(t, workflow.Cancelled, successor.published("x"))
}

// Guards against a submission that runs again because its records were removed before it, and against records that stay
// because the owner ended between the removals.
func TestRecordsAreRemovedAfterTheirSubmission(t *testing.T) {
	ok := encoded(t)
	log := predecessor(t, &catalog.Ownership{Epoch: 1, Instance: "x", Released: true})
	appendEntries(t, log, "progress", nil, ok(catalog.StateEntry("left", workflow.Done)))
	appendEntries(t, log, "tasks", nil, ok(catalog.TasksEntry("left", &workflow.Record{State: workflow.Done})))
	keys := func(topic string) []string {
		p, err := log.Newest(context.Background(), topic)
		require.NoError(t, err)
		var out []string
		for _, e := range p.Entries {
			out = append(out, e.Key)
		}
		return out
	}
	l := &refusingLog{Log: log}
	a := startInstance(t, l, "a")
	eventually(t, "the state is published", func() bool { return a.published("done") == workflow.Done })
	l.refusedTopic.Store("tasks")
	a.inspect(func(o *Owner) { o.settings.Retention, o.lastRemoval = 0, o.lastRemoval-removalInterval })
	eventually(t, "the submission is removed", func() bool { return !slices.Contains(keys("submissions"), "done") })
	time.Sleep(200 * time.Millisecond)
	assert.Subset(t, keys("progress"), []string{"done", "left"}, "removed before its task record")
	l.refusedTopic.Store("")
	for _, topic := range []string{"tasks", "progress"} {
		eventually(t, "the records are removed", func() bool {
			left := keys(topic)
			return !slices.Contains(left, "done") && !slices.Contains(left, "left")
		})
		assert.Contains(t, keys(topic), "placed")
	}
}
