package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// oneAnswers answers lease calls to the worker "answers", which runs an attempt. All other calls have no answer.
type oneAnswers struct {
	noWorkers
	running Running
}

func (w oneAnswers) Renew(_ context.Context, m Member, c LeaseCall) (LeaseAnswer, error) {
	if m.ID != "answers" {
		return LeaseAnswer{}, &NoAnswerError{}
	}
	time.Sleep(c.Wait / 10)
	return LeaseAnswer{StartedAt: 6, Clock: time.Minute, Running: []Running{w.running}}, nil
}

func decodeIncarnation(id string, _ []byte) (Member, error) {
	return Member{Incarnation: Incarnation{ID: id, StartedAt: 6}, Pool: "pool", Addr: id}, nil
}

// Guards against services that stay away for the isolation limit and a lease: an owner is killed, its successor ends
// soon after, and the workers are lost in between. The third owner waits for the leases of the second one only, except on
// workers that have not answered it.
func TestSeriesOfOwnersDoesNotLengthenLeases(t *testing.T) {
	const job = "0000000000000001"
	ok := encoded(t)
	log := memlog.New()
	appendEntries(t, log, "submissions", nil, ok(catalog.SubmissionEntry(&workflow.Submission{Job: job,
		Steps: []workflow.Step{serviceStep(2)}})))
	first := &eventlog.Producer{Name: producerName, Epoch: 1, Sequence: 1}
	appendEntries(t, log, "tasks", first, ok(catalog.TasksEntry(job, &workflow.Record{State: workflow.Running,
		Tasks: [][][]workflow.TaskRecord{{{{Phase: workflow.Placed, Run: 3, Worker: "answers", WorkerStartedAt: 6},
			{Phase: workflow.Placed, Run: 4, Worker: "cut-off", WorkerStartedAt: 6}}}}})))
	appendEntries(t, log, "progress", first, ok(catalog.StateEntry(job, workflow.Running)),
		ok(catalog.OwnerEntry(&catalog.Ownership{Epoch: 1, Instance: "x"})))
	appendEntries(t, log, "workers", nil, eventlog.Entry{Key: "answers", Value: []byte("{}")},
		eventlog.Entry{Key: "cut-off", Value: []byte("{}")})
	workers := oneAnswers{running: Running{Attempt: Attempt{Task: workflow.TaskID{Job: job}, Run: 3}}}

	second := startInstanceWith(t, log, "second", workers, decodeIncarnation)
	eventually(t, "the second owns", second.isOwner)
	second.inspect(func(o *Owner) { assert.False(t, o.predecessorsEnded) })
	unfenced := []catalog.Incarnation{{ID: "cut-off", StartedAt: 6}}
	eventually(t, "the epoch is settled but for one worker", func() bool {
		page, err := log.Newest(context.Background(), "tasks")
		require.NoError(t, err)
		stored, settled := catalog.DecodeTasks(page.Entries, discardLogger()).Settled(2)
		return settled && assert.ObjectsAreEqual(unfenced, stored)
	})
	second.stop()
	<-second.done

	third := startInstanceWith(t, log, "third", workers, decodeIncarnation)
	eventually(t, "the third owns", third.isOwner)
	third.inspect(func(o *Owner) {
		tasks := o.core.jobs[job].rounds[0].steps[0].tasks
		lease := withDrift(o.settings.Lease)
		// This owner may have renewed the lease of the worker that answers.
		answers := tasks[0].worker
		assert.Equal(t, max(o.predecessorRead+lease, answers.leaseEnd), answers.leaseEnd)
		assert.LessOrEqual(t, answers.leaseEnd, max(o.predecessorRead, clock.Now())+lease)
		assert.Equal(t, o.predecessorRead+withDrift(o.settings.Isolation)+lease, tasks[1].worker.leaseEnd)
	})
}

func TestSettlement(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.submit("0000000000000001", serviceStep(4))
	sim.run(time.Second)
	sim.workers["a"].disconnected = true
	sim.takeOver()
	s := settlement{earlierUntil: sim.now + 5*time.Second, next: sim.now + settleDelay}
	_, due := s.update(sim.now, sim.core)
	assert.False(t, due, "no worker has answered yet")
	sim.run(settleDelay)
	record, due := s.update(sim.now, sim.core)
	require.True(t, due)
	assert.Equal(t, []catalog.Incarnation{{ID: "a", StartedAt: sim.workers["a"].startedAt}}, record.Unfenced)
	sim.run(settleInterval)
	_, due = s.update(sim.now, sim.core)
	assert.False(t, due, "nothing has changed")
	sim.workers["a"].disconnected = false
	sim.run(2 * time.Second)
	record, due = s.update(sim.now, sim.core)
	require.True(t, due)
	assert.Empty(t, record.Unfenced)
	_, due = s.update(sim.now+time.Minute, sim.core)
	assert.False(t, due, "all workers refuse earlier owners")
	// Without an answer of its worker, the epoch is settled once no earlier owner can act.
	silent := settlement{earlierUntil: sim.now}
	record, due = silent.update(sim.now, sim.core)
	assert.True(t, due)
	assert.Empty(t, record.Unfenced)
}
