package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

var testTime = time.Unix(1700000000, 0)

func ref(job string, index, attempt int) upstream.TaskRef {
	return upstream.TaskRef{Job: job, Index: index, Attempt: attempt}
}

func submit(job string, n int) *contract.Submit {
	return &contract.Submit{Job: job, Kind: "k", Tasks: n}
}

func place(r upstream.TaskRef, checkpoint string) *contract.Place {
	return &contract.Place{TaskRef: r, Worker: "w", Incarnation: "b", Checkpoint: checkpoint, At: testTime}
}

func closeAttempt(r upstream.TaskRef, o upstream.Outcome, checkpoint string) *contract.Close {
	return &contract.Close{TaskRef: r, Outcome: o, Checkpoint: checkpoint, At: testTime, Cost: 5, RunTime: time.Second}
}

// Guards against wrong phases and totals after every kind of end. Each case applies its records in order and checks the
// result of the last one.
func TestApply(t *testing.T) {
	one := ref("a~j", 0, 1)
	tests := map[string]struct {
		records []contract.Body
		want    Reason
		state   contract.JobState
	}{
		"submitted": {[]contract.Body{submit("a~j", 2)}, "", contract.JobState{Tasks: 2, Pending: 2}},
		"submitted twice": {[]contract.Body{submit("a~j", 1), submit("a~j", 2)}, ReasonKnownJob,
			contract.JobState{Tasks: 1, Pending: 1}},
		"placed": {[]contract.Body{submit("a~j", 2), place(one, "")}, "",
			contract.JobState{Tasks: 2, Pending: 1, Running: 1, Attempts: 1}},
		"unknown job": {[]contract.Body{submit("a~j", 1), place(ref("a~x", 0, 1), "")}, ReasonUnknownJob,
			contract.JobState{Tasks: 1, Pending: 1}},
		"unknown task": {[]contract.Body{submit("a~j", 1), place(ref("a~j", 3, 1), "")}, ReasonUnknownTask,
			contract.JobState{Tasks: 1, Pending: 1}},
		"skipped attempt": {[]contract.Body{submit("a~j", 1), place(ref("a~j", 0, 2), "")}, ReasonAttempt,
			contract.JobState{Tasks: 1, Pending: 1}},
		"same place again": {[]contract.Body{submit("a~j", 1), place(one, ""), place(one, "")}, ReasonNotPending,
			contract.JobState{Tasks: 1, Running: 1, Attempts: 1}},
		"done": {[]contract.Body{submit("a~j", 1), place(one, ""), closeAttempt(one, "done", "")}, "",
			contract.JobState{Tasks: 1, Done: 1, Attempts: 1, Cost: 5, Ended: testTime}},
		"closed twice": {[]contract.Body{submit("a~j", 2), place(one, ""), closeAttempt(one, "done", ""),
			closeAttempt(one, "lost", "")}, ReasonNotOpen,
			contract.JobState{Tasks: 2, Pending: 1, Done: 1, Attempts: 1, Cost: 5}},
		"withdrawn before the start": {[]contract.Body{submit("a~j", 1), place(one, ""),
			&contract.Close{TaskRef: one, Outcome: "evicted", At: testTime}},
			"", contract.JobState{Tasks: 1, Pending: 1}},
		"resume withdrawn before the start": {[]contract.Body{submit("a~j", 1), place(one, ""),
			closeAttempt(one, "evicted", "c1"), place(ref("a~j", 0, 2), "c1"),
			&contract.Close{TaskRef: ref("a~j", 0, 2), Outcome: "evicted", Checkpoint: "c1", At: testTime},
			place(ref("a~j", 0, 3), "c1")},
			"", contract.JobState{Tasks: 1, Running: 1, Attempts: 2, Evicted: 1, Resumed: 1, Cost: 5}},
		"evicted and resumed": {[]contract.Body{submit("a~j", 1), place(one, ""), closeAttempt(one, "evicted", "c1"),
			place(ref("a~j", 0, 2), "c1")},
			"", contract.JobState{Tasks: 1, Running: 1, Attempts: 2, Evicted: 1, Resumed: 1, Cost: 5}},
		"older attempt closed while the next is open": {[]contract.Body{submit("a~j", 1), place(one, ""),
			closeAttempt(one, "evicted", ""), place(ref("a~j", 0, 2), ""),
			closeAttempt(one, "lost", "")}, ReasonNotOpen,
			contract.JobState{Tasks: 1, Running: 1, Attempts: 2, Evicted: 1, Cost: 5}},
		"failed with no attempts left": {[]contract.Body{submit("a~j", 1), place(one, ""),
			&contract.Close{TaskRef: one, Outcome: "failed", Final: true, At: testTime}},
			"", contract.JobState{Tasks: 1, Failed: 1, Attempts: 1, Ended: testTime}},
		"cancelled while pending": {[]contract.Body{submit("a~j", 2), &contract.Cancel{Job: "a~j", At: testTime}}, "",
			contract.JobState{Tasks: 2, Cancelled: 2, Ended: testTime}},
		"cancelled before the place": {[]contract.Body{submit("a~j", 2), place(one, ""), &contract.Cancel{Job: "a~j"},
			place(ref("a~j", 1, 1), "")}, ReasonNotPending,
			contract.JobState{Tasks: 2, Running: 1, Cancelled: 1, Attempts: 1}},
		"cancelled while running": {[]contract.Body{submit("a~j", 1), place(one, ""), &contract.Cancel{Job: "a~j"},
			closeAttempt(one, "evicted", "c1")}, "",
			contract.JobState{Tasks: 1, Cancelled: 1, Attempts: 1, Evicted: 1, Cost: 5, Ended: testTime}},
		"done before the cancel arrived": {[]contract.Body{submit("a~j", 1), place(one, ""),
			&contract.Cancel{Job: "a~j"}, closeAttempt(one, "done", "")}, "",
			contract.JobState{Tasks: 1, Done: 1, Attempts: 1, Cost: 5, Ended: testTime}},
		"transferred away": {[]contract.Body{submit("a~j", 2),
			&contract.TransferOut{Job: "a~j", To: "b", Tasks: []contract.Transferred{{Index: 1}}}}, "",
			contract.JobState{Tasks: 2, Pending: 1, Transferred: 1}},
		"transfer that names a placed task": {[]contract.Body{submit("a~j", 2), place(one, ""),
			&contract.TransferOut{Job: "a~j", Tasks: []contract.Transferred{{Index: 1}, {Index: 0}}}}, ReasonNotPending,
			contract.JobState{Tasks: 2, Pending: 1, Running: 1, Attempts: 1}},
		"no tasks": {[]contract.Body{submit("a~j", 1), submit("a~k", 0)}, ReasonMalformed,
			contract.JobState{Tasks: 1, Pending: 1}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, last := New("a"), error(nil)
			for i, b := range c.records {
				last = s.Apply(uint64(i+2), 1, b)
			}
			if c.want != "" {
				var ig *IgnoredError
				require.ErrorAs(t, last, &ig)
				require.Equal(t, c.want, ig.Reason)
			} else {
				require.NoError(t, last)
			}
			c.state.Job, c.state.Kind, c.state.Shard = "a~j", "k", "a"
			require.Equal(t, []contract.JobState{c.state}, s.JobStates("a~j"))
			require.Equal(t, c.state.Pending, s.PendingCount())
			require.Equal(t, c.state.Running, s.PlacedCount())
			data, err := s.Encode()
			require.NoError(t, err)
			again := New("a")
			require.NoError(t, again.Decode(data))
			require.Equal(t, fmt.Sprint(s.JobStates("")), fmt.Sprint(again.JobStates("")))
			require.Equal(t, s.PlacedCount(), again.PlacedCount())
			require.Equal(t, s.PendingCount(), again.PendingCount())
		})
	}
}

// violatedInvariant returns the name of the invariant that f violates, or the empty name.
func violatedInvariant(t *testing.T, f func()) invariant.Name {
	t.Helper()
	var name invariant.Name
	func() {
		defer func() {
			if v, ok := recover().(*invariant.ViolationError); ok {
				name = v.Name
			}
		}()
		f()
	}()
	return name
}

// Guards against assertions that no longer detect a second open attempt or a resume from an older checkpoint.
func TestInvariants(t *testing.T) {
	s := New("a")
	require.NoError(t, s.Apply(2, 1, submit("a~j", 1)))
	require.NoError(t, s.Apply(3, 1, place(ref("a~j", 0, 1), "")))
	require.Equal(t, invariant.SingleAttempt,
		violatedInvariant(t, func() { _ = s.Apply(4, 1, place(ref("a~j", 0, 2), "")) }))
	require.NoError(t, s.Apply(5, 1, closeAttempt(ref("a~j", 0, 1), "evicted", "c1")))
	require.Equal(t, invariant.ResumeOnce,
		violatedInvariant(t, func() { _ = s.Apply(6, 1, place(ref("a~j", 0, 2), "")) }))
}

// Guards against services that are not restarted after they end, and against attempt numbers that a worker has already
// started.
func TestServices(t *testing.T) {
	s := New("a")
	sub := &contract.Submit{Job: "a~service-w", Kind: "w", Tasks: 2, Service: true}
	require.NoError(t, s.Apply(2, 1, sub))
	one := ref(sub.Job, 1, 1)
	require.NoError(t, s.Apply(3, 1, place(one, "")))
	require.NoError(t, s.Apply(4, 1, closeAttempt(one, "done", "c")))
	require.Equal(t, 2, s.PendingCount())
	smaller := *sub
	smaller.Tasks = 1
	two := ref(sub.Job, 1, 2)
	require.NoError(t, s.Apply(5, 1, place(two, "")))
	require.NoError(t, s.Apply(6, 1, &smaller))
	require.True(t, ShouldStop(s.Job(sub.Job), s.Job(sub.Job).Task(1)))
	require.NoError(t, s.Apply(7, 1, closeAttempt(two, "cancelled", "")))
	require.NoError(t, s.Apply(8, 1, &contract.Cancel{Job: sub.Job}))
	require.Equal(t, 0, s.PendingCount())
	require.NoError(t, s.Apply(9, 1, sub))
	require.Equal(t, 2, s.PendingCount())
	require.Equal(t, 2, s.Job(sub.Job).Task(1).Attempt)
}

// Guards against tasks that get lost or run twice when the tasks of a job arrive in several transfers, or in the same
// one twice.
func TestTransferIn(t *testing.T) {
	s := New("b")
	in := func(indexes ...int) *contract.TransferIn {
		out := &contract.TransferIn{Submit: *submit("a~j", 9), From: "a"}
		for _, i := range indexes {
			out.Tasks = append(out.Tasks, contract.Transferred{Index: i, Attempts: 3})
		}
		return out
	}
	require.NoError(t, s.Apply(1, 0, in(5)))
	require.NoError(t, s.Apply(2, 0, in(5)))
	require.Equal(t, 1, s.PendingCount())
	require.NoError(t, s.Apply(3, 1, place(ref("a~j", 5, 4), "")))
	require.NoError(t, s.Apply(4, 1, closeAttempt(ref("a~j", 5, 4), "done", "")))
	require.Nil(t, s.Job("a~j"))
	require.NoError(t, s.Apply(5, 0, in(5)))
	require.Equal(t, 0, s.PendingCount())
	require.NoError(t, s.Apply(6, 0, in(2, 5)))
	require.Equal(t, 1, s.PendingCount())
	require.Equal(t, 1, s.JobStates("a~j")[0].Done)
	require.Len(t, s.JobStates("a~j"), 1)
}

// Guards against memory use that grows with the number of finished jobs.
func TestFinishedJobsAreBounded(t *testing.T) {
	s := New("a")
	for i := range 2 * maxFinishedJobs {
		id := fmt.Sprint("a~", i)
		require.NoError(t, s.Apply(uint64(i+2), 1, submit(id, 1)))
		require.NoError(t, s.Apply(uint64(i+2), 1, &contract.Cancel{Job: id}))
	}
	require.Len(t, s.finished, maxFinishedJobs)
	require.Empty(t, s.jobs)
	require.Empty(t, s.jobOrder)
}
