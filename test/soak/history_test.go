package soak

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/shard"
)

// ticketState is the state of one request in the model: not executed, or executed. The body is the answer that a caller
// received, empty if none has.
type ticketState struct {
	executed bool
	body     string
}

// executions is the output of the last operation of each history: how often the workers executed the request.
type executions int

// ticketModel is the guarantee for requests with a ticket: a request is executed at most once, all callers that get its
// answer get the same one, and an executed request is not reported as not run. A call with an unknown outcome may or
// may not have executed it.
var ticketModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{ticketState{}} },
	Step: func(state, _, output any) []any {
		s := state.(ticketState)
		if n, ok := output.(executions); ok {
			if (n == 1) == s.executed && n <= 1 {
				return []any{s}
			}
			return nil
		}
		switch op := output.(operation); op.outcome {
		case outcomeWhole:
			if !s.executed || s.body == "" || s.body == op.body {
				return []any{ticketState{executed: true, body: op.body}}
			}
			return nil
		case outcomeNotRun:
			if s.executed {
				return nil
			}
			return []any{s}
		}
		return []any{s, ticketState{executed: true, body: s.body}}
	},
}

// checkRequests compares the outcomes that callers received with the executions that the workers recorded, and requires
// that more than a quarter of the calls got a whole answer. A request without a ticket has one call only.
func (cs *callers) checkRequests(t *testing.T) {
	histories := map[string][]operation{}
	for _, op := range cs.ops {
		histories[op.id] = append(histories[op.id], op)
	}
	model := ticketModel.ToModel()
	counts := map[outcome]int{}
	for id, ops := range histories {
		n := cs.c.ledger.Executed([]string{id})[id]
		for _, op := range ops {
			counts[op.outcome]++
		}
		if ops[0].ticket == "" {
			require.False(t, ops[0].outcome == outcomeNotRun && n > 0, "%+v was executed", ops[0])
			require.False(t, ops[0].outcome == outcomeWhole && n == 0, "%+v was not executed", ops[0])
			continue
		}
		require.LessOrEqual(t, n, 1, "%s was executed %d times: %+v", id, n, ops)
		require.True(t, porcupine.CheckOperations(model, porcupineOperations(ops, n)), "executed %d times: %+v", n, ops)
	}
	require.Greater(t, counts[outcomeWhole], len(cs.ops)/4, "%v", counts)
	t.Logf("requests: %v", counts)
}

// porcupineOperations returns the history of one request, with the number of executions as its last operation. An
// operation with an unknown outcome may take effect until the last answer of the history.
func porcupineOperations(ops []operation, executed int) []porcupine.Operation {
	last := time.Time{}
	for _, op := range ops {
		if op.answered.After(last) {
			last = op.answered
		}
	}
	end := last.UnixNano() + 1
	out := make([]porcupine.Operation, 0, len(ops)+1)
	for i, op := range ops {
		o := porcupine.Operation{ClientId: i, Call: op.call.UnixNano(), Return: op.answered.UnixNano(), Output: op}
		if op.outcome != outcomeWhole && op.outcome != outcomeNotRun {
			o.Return = end
		}
		out = append(out, o)
	}
	return append(out,
		porcupine.Operation{ClientId: len(ops), Call: end + 1, Return: end + 2, Output: executions(executed)})
}

// jobCounts are the numbers of a job's tasks by their final state, summed over all shards.
type jobCounts struct{ done, failed, cancelled int }

// replayJobs replays every shard's stream from its start and returns the counts of each job.
func (c *cluster) replayJobs() map[string]jobCounts {
	out := map[string]jobCounts{}
	for _, name := range []string{"bne-0", "bne-1", "ips-0"} {
		state := attempt.New(name)
		r := shard.NewReplayer(name, state, 1)
		for {
			page, err := c.log.Read(c.t.Context(), datacentre.ShardStream(name), r.Next(), 1000, 0)
			require.NoError(c.t, err)
			c.apply(r, page)
			if r.Next() >= page.End {
				break
			}
		}
		for _, j := range state.JobStates("") {
			e := out[j.Job]
			out[j.Job] = jobCounts{e.done + j.Done, e.failed + j.Failed, e.cancelled + j.Cancelled}
		}
	}
	return out
}

// apply applies the records of a page to a replayer.
func (c *cluster) apply(r *shard.Replayer, page platform.Page) {
	for i, data := range page.Records {
		_, err := r.Apply(page.First+uint64(i), data)
		require.NoError(c.t, err)
	}
}

// unfinishedJobs returns the accepted jobs whose tasks have not all ended.
func (cs *callers) unfinishedJobs() (open []string) {
	got := cs.c.replayJobs()
	for _, j := range cs.jobs {
		e := got[j.id]
		if j.accepted && e.done+e.failed+e.cancelled < j.tasks {
			open = append(open, j.id)
		}
	}
	return open
}

// checkJobs requires that every task of an accepted job is done or was cancelled at a caller's request, that a job
// whose submissions were all refused has no tasks, and that the workers completed no more tasks than the job has.
func (cs *callers) checkJobs(t *testing.T) {
	got := cs.c.replayJobs()
	accepted, cancelled := 0, 0
	for _, j := range cs.jobs {
		e := got[j.id]
		if j.accepted {
			accepted++
			cancelled += e.cancelled
			require.Equal(t, j.tasks, e.done+e.cancelled, "%+v %+v", *j, e)
			require.True(t, j.cancelled || e.cancelled == 0, "%+v %+v", *j, e)
		} else if !j.maybeAccepted {
			require.Zero(t, e, "%+v was not accepted", *j)
		}
		require.LessOrEqual(t, cs.c.ledger.Done([]string{j.id})[j.id], j.tasks)
	}
	t.Logf("jobs: %d submitted, %d accepted, %d tasks cancelled", len(cs.jobs), accepted, cancelled)
}
