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

// ticketState is the state of one request in the model: unused, or executed with the answer that callers were given, if any.
type ticketState struct {
	executed bool
	body     string
}

// observed is the last operation of each history: how often workers executed the request.
type observed int

// ticketModel is the promise to callers: an executed request has one answer and was never reported as not run.
var ticketModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{ticketState{}} },
	Step: func(state, _, output any) []any {
		s := state.(ticketState)
		if n, ok := output.(observed); ok {
			if (n == 1) == s.executed && n <= 1 {
				return []any{s}
			}
			return nil
		}
		switch op := output.(operation); op.outcome {
		case whole:
			if !s.executed || s.body == "" || s.body == op.body {
				return []any{ticketState{executed: true, body: op.body}}
			}
			return nil
		case notRun:
			if s.executed {
				return nil
			}
			return []any{s}
		}
		return []any{s, ticketState{executed: true, body: s.body}}
	},
}

// checkRequests compares the answers with what the workers executed.
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
			require.False(t, ops[0].outcome == notRun && n > 0, "%+v was executed", ops[0])
			require.False(t, ops[0].outcome == whole && n == 0, "%+v was not executed", ops[0])
			continue
		}
		require.LessOrEqual(t, n, 1, "%s was executed %d times: %+v", id, n, ops)
		require.True(t, porcupine.CheckOperations(model, linearizable(ops, n)), "executed %d times: %+v", n, ops)
	}
	require.Greater(t, counts[whole], len(cs.ops)/4, "%v", counts)
	t.Logf("requests: %v", counts)
}

// linearizable gives an operation with an unknown outcome until the end of the run to take effect.
func linearizable(ops []operation, n int) []porcupine.Operation {
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
		if op.outcome != whole && op.outcome != notRun {
			o.Return = end
		}
		out = append(out, o)
	}
	return append(out, porcupine.Operation{ClientId: len(ops), Call: end + 1, Return: end + 2, Output: observed(n)})
}

// ends are the sums of a job's tasks over all shards.
type ends struct{ done, failed, cancelled int }

// replay reads every shard's stream from its start and returns the ends of each job.
func (c *cluster) replay() map[string]ends {
	out := map[string]ends{}
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
			out[j.Job] = ends{e.done + j.Done, e.failed + j.Failed, e.cancelled + j.Cancelled}
		}
	}
	return out
}

func (c *cluster) apply(r *shard.Replayer, page platform.Page) {
	for i, data := range page.Records {
		_, err := r.Apply(page.First+uint64(i), data)
		require.NoError(c.t, err)
	}
}

// openJobs returns the accepted jobs whose tasks have not all ended.
func (cs *callers) openJobs() (open []string) {
	got := cs.c.replay()
	for _, j := range cs.jobs {
		e := got[j.id]
		if j.accepted && e.done+e.failed+e.cancelled < j.tasks {
			open = append(open, j.id)
		}
	}
	return open
}

func (cs *callers) checkJobs(t *testing.T) {
	got := cs.c.replay()
	accepted, cancelled := 0, 0
	for _, j := range cs.jobs {
		e := got[j.id]
		if j.accepted {
			accepted++
			cancelled += e.cancelled
			require.Equal(t, j.tasks, e.done+e.cancelled, "%+v %+v", *j, e)
			require.True(t, j.cancelled || e.cancelled == 0, "%+v %+v", *j, e)
		} else if !j.maybeAlive {
			require.Zero(t, e, "%+v was not accepted", *j)
		}
		require.LessOrEqual(t, cs.c.ledger.Done([]string{j.id})[j.id], j.tasks)
	}
	t.Logf("jobs: %d offered, %d accepted, %d tasks cancelled", len(cs.jobs), accepted, cancelled)
}
