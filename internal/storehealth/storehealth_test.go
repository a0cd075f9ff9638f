package storehealth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const ms = time.Millisecond

func call(o Operation, outcome Outcome, began, ended time.Duration) Call {
	return Call{Operation: o, Outcome: outcome, Began: began * ms, Ended: ended * ms}
}

func TestAssess(t *testing.T) {
	for _, c := range []struct {
		name    string
		calls   []Call
		now     time.Duration
		pending Pending
		want    State
		append  time.Duration
		one     bool
	}{
		{name: "nothing known"},
		{"fast append", []Call{call(Append, Done, 0, 15)}, 20, Pending{}, Usable, 15, false},
		{"slow append", []Call{call(Append, Done, 0, 264)}, 300, Pending{}, Slow, 264, true},
		{"one append behind others", []Call{call(Append, Done, 0, 1500)}, 1500, Pending{}, Slow, 500, true},
		{"the next one", []Call{call(Append, Done, 0, 1500), call(Append, Done, 1500, 1764)}, 1800, Pending{}, Slow, 264, true},
		{"all appends are slow", []Call{call(Append, Done, 0, 1000), call(Append, Done, 1000, 2000)}, 2000, Pending{}, Slow, 1000, true},
		{"first slow one", []Call{call(Append, Done, 0, 15), call(Append, Done, 100, 364)}, 400, Pending{}, Slow, 60, true},
		{"slow append long ago", []Call{call(Append, Done, 0, 264)}, 3000, Pending{}, Usable, 0, false},
		{"fast after slow", []Call{call(Append, Done, 0, 264), call(Append, Done, 270, 285)}, 300, Pending{}, Usable, 15, false},
		{"append without an answer yet", nil, 200, Pending{Append: 100 * ms, Overdue: 100 * ms}, Slow, 100, true},
		{"its answer may be lost", []Call{call(Read, Done, 0, 900)}, 1000, Pending{Append: 900 * ms, Overdue: 900 * ms}, Slow, 400, true},
		{"no call is answered", []Call{call(Read, Done, 0, 100)}, 1000, Pending{Overdue: 800 * ms}, Silent, 0, true},
		{"the answer to a read is not due", []Call{call(Read, Done, 0, 100)}, 1000,
			Pending{Append: 800 * ms, Overdue: 800 * ms, Reading: true, ReadOverdue: 330 * ms}, Slow, 400, true},
		{"the answer to a read is late", []Call{call(Read, Done, 0, 100)}, 1000,
			Pending{Overdue: 800 * ms, Reading: true, ReadOverdue: 400 * ms}, Silent, 0, true},
		{"two appends without an answer in the queue of a log that answers reads", []Call{call(Read, Done, 0, 300),
			call(Append, NoAnswer, 100, 1100), call(Append, NoAnswer, 120, 1120)}, 1130, Pending{}, Slow, 1000, true},
		{"two appends and no read were answered", []Call{call(Read, Done, 0, 100),
			call(Append, NoAnswer, 100, 1100), call(Append, NoAnswer, 120, 1120)}, 1130, Pending{}, Silent, 1000, true},
		{"one lost answer", []Call{call(Append, Reset, 0, 10)}, 20, Pending{}, Usable, 0, true},
		{"lost answers and reads", []Call{call(Append, Reset, 0, 10), call(Read, Done, 0, 20), call(Append, Reset, 20, 30)}, 40, Pending{}, Usable, 0, true},
		{"two appends reset", []Call{call(Append, Reset, 0, 10), call(Append, Reset, 70, 80)}, 90, Pending{}, Resetting, 0, true},
		{"an append got no answer", []Call{call(Append, NoAnswer, 0, 1000), call(Read, Done, 900, 1001)}, 1010, Pending{}, Slow, 1000, true},
		{"two reads reset", []Call{call(Append, Done, 0, 10), call(Read, Reset, 0, 20), call(Read, Reset, 20, 25)}, 30, Pending{}, Resetting, 10, true},
		{"reset long ago: probe", []Call{call(Read, Reset, 0, 10), call(Read, Reset, 10, 20)}, 600, Pending{}, Usable, 0, false},
		{"reset long ago, the next read is in progress", []Call{call(Read, Reset, 0, 10), call(Read, Reset, 10, 20)}, 600,
			Pending{Reading: true}, Resetting, 0, true},
		{"read after resets", []Call{call(Read, Reset, 0, 10), call(Read, Reset, 10, 20), call(Read, Done, 70, 80)}, 90, Pending{}, Usable, 0, false},
		{"an earlier read is still answered", []Call{call(Read, Reset, 50, 55), call(Read, Reset, 55, 60), call(Read, Done, 0, 70)}, 90,
			Pending{}, Resetting, 0, true},
		{"a read got no answer", []Call{call(Read, NoAnswer, 0, 1600)}, 1700, Pending{}, Silent, 0, true},
		{"append refused", []Call{call(Append, Refused, 0, 10)}, 20, Pending{}, Refusing, 0, true},
		{"append refused, reads work", []Call{call(Append, Refused, 0, 10), call(Read, Done, 0, 20)}, 30, Pending{}, Refusing, 0, true},
	} {
		var e Estimator
		for _, x := range c.calls {
			e.Observe(x)
		}
		assert.False(t, e.Assess(c.now*ms, c.pending).Doubtful, c.name)
		assert.Equal(t, Assessment{State: c.want, Append: c.append * ms, OneAtATime: c.one}, e.Assess(c.now*ms, c.pending), c.name)
	}
}

// Guards against an instance that sends nothing although only the queue of the log is full, and against one that sends to
// a log that refuses everything.
func TestRefusals(t *testing.T) {
	var e Estimator
	e.Observe(call(Append, Refused, 0, 10))
	assert.False(t, e.Assess(20*ms, Pending{}).Unreachable())
	e.Observe(call(Read, Refused, 0, 30))
	e.Observe(call(Read, Refused, 30, 35))
	assert.True(t, e.Assess(40*ms, Pending{}).Unreachable())
	e.Observe(call(Read, Done, 50, 60))
	assert.False(t, e.Assess(70*ms, Pending{}).Unreachable())
}

// Guards against an instance that keeps passing entries to others after the log is fast again, or that is not told of a
// slow log before its own append has shown it.
func TestHint(t *testing.T) {
	var e Estimator
	e.Hint(0, 264*ms)
	assert.Equal(t, Slow, e.Assess(500*ms, Pending{}).State)
	assert.Equal(t, Usable, e.Assess(2100*ms, Pending{}).State, "the hint was not renewed")
	e.Observe(call(Append, Done, 2100, 2364))
	e.Hint(2400*ms, 15*ms)
	assert.Equal(t, Usable, e.Assess(2400*ms, Pending{}).State)
}

// Guards against refusals because of one failed read, or of several that share a connection, and against appends that are sent
// before the next read has shown that the log is away.
func TestOneFailedRead(t *testing.T) {
	for _, outcome := range []Outcome{Reset, Refused, NoAnswer} {
		var e Estimator
		e.Observe(call(Append, Done, 0, 15))
		e.Observe(call(Read, outcome, 10, 100))
		e.Observe(call(Read, outcome, 20, 101))
		a := e.Assess(102*ms, Pending{Reading: true})
		assert.False(t, a.Unreachable())
		assert.True(t, a.Doubtful, "the next read tells more")
		assert.False(t, e.Assess(200*ms, Pending{Reading: true}).Doubtful, "it has told nothing")
		e.Observe(call(Append, Reset, 102, 110))
		assert.False(t, e.Assess(112*ms, Pending{}).Unreachable(), "the answers to an append and a read may be lost")
		answered := e
		answered.Observe(call(Read, Done, 101, 115))
		assert.False(t, answered.Assess(120*ms, Pending{}).Doubtful)
		e.Observe(call(Read, outcome, 101, 115))
		assert.True(t, e.Assess(120*ms, Pending{}).Unreachable())
	}
}

// Guards against refusals because the rate of reads is limited, and against a log that counts as silent although it answers.
func TestLimitedReads(t *testing.T) {
	var e Estimator
	for i := range time.Duration(20) {
		e.Observe(call(Read, Limited, 100*i, 100*i+10))
	}
	assert.Equal(t, Usable, e.Assess(2000*ms, Pending{Overdue: 800 * ms}).State)
}
