package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// zonedWorkers are linkedWorkers in two data centres, with what they receive.
type zonedWorkers struct {
	*linkedWorkers
	startsMu sync.Mutex
	// starts holds when each data centre has received starts, renewals when leases.
	starts, renewals map[string][]time.Duration
}

func newZonedWorkers(n int) *zonedWorkers {
	return &zonedWorkers{linkedWorkers: newLinkedWorkers(n), starts: map[string][]time.Duration{}, renewals: map[string][]time.Duration{}}
}

func zoneOf(id string) string { return []string{"accra", "tema"}[id[len(id)-1]%2] }

func (z *zonedWorkers) decode(id string, _ []byte) (Member, error) {
	return Member{Incarnation: Incarnation{ID: id, StartedAt: 1}, Pool: testPool, Addr: id, DataCentre: zoneOf(id),
		Capacity: resource.Vector{MilliCores: 64000, MemoryMB: 256000}}, nil
}

func (z *zonedWorkers) note(to map[string][]time.Duration, id string) {
	z.startsMu.Lock()
	defer z.startsMu.Unlock()
	to[zoneOf(id)] = append(to[zoneOf(id)], clock.Now())
}

// Start implements Workers.
func (z *zonedWorkers) Start(ctx context.Context, m Member, c StartCall) (CallAnswer, error) {
	a, err := z.linkedWorkers.Start(ctx, m, c)
	if err == nil {
		z.note(z.starts, m.ID)
	}
	return a, err
}

// Renew implements Workers.
func (z *zonedWorkers) Renew(ctx context.Context, m Member, c LeaseCall) (LeaseAnswer, error) {
	if c.ExpiresAt > 0 {
		z.note(z.renewals, m.ID)
	}
	return z.linkedWorkers.Renew(ctx, m, c)
}

// after counts the times of a data centre from a time on.
func (z *zonedWorkers) after(of map[string][]time.Duration, zone string, since time.Duration) int {
	z.startsMu.Lock()
	defer z.startsMu.Unlock()
	n := 0
	for _, at := range of[zone] {
		if at >= since {
			n++
		}
	}
	return n
}

// closureTest is a set of instances with workers in the data centres accra and tema.
type closureTest struct {
	t       *testing.T
	log     *memlog.Log
	workers *zonedWorkers
	jobs    int
}

func newClosureTest(t *testing.T) *closureTest {
	c := &closureTest{t: t, log: memlog.New(), workers: newZonedWorkers(6)}
	for id := range c.workers.workers {
		appendEntries(t, c.log, "workers", nil, eventlog.Entry{Key: id, Value: []byte("{}")})
	}
	return c
}

func (c *closureTest) start(log eventlog.Log, name string) *testInstance {
	return startInstanceWith(c.t, log, name, c.workers, c.workers.decode)
}

// put writes or removes the key of a data centre and returns when the log has confirmed it.
func (c *closureTest) put(zone string, closed bool) time.Duration {
	e := eventlog.Entry{Key: zone}
	if closed {
		e.Value = []byte("{}")
	}
	appendEntries(c.t, c.log, closuresTopic, nil, e)
	return clock.Now()
}

// flood submits small long-running tasks for a while.
func (c *closureTest) flood(d time.Duration) {
	for end := clock.Now() + d; clock.Now() < end; time.Sleep(50 * time.Millisecond) {
		c.jobs++
		appendSubmission(c.t, c.log, workflow.JobID(fmt.Sprintf("%016x", c.jobs)),
			workflow.Step{Count: 2, Size: resource.Vector{MilliCores: 100, MemoryMB: 100}, LongRunning: true})
	}
}

// none asserts that a data centre has received no start since a time, and that the other one has.
func (c *closureTest) none(zone, other string, since time.Duration) {
	c.t.Helper()
	assert.Zero(c.t, c.workers.after(c.workers.starts, zone, since), "starts in a closed data centre")
	assert.NotZero(c.t, c.workers.after(c.workers.starts, other, since), "no start in the open one")
}

// notice is the time in which an undisturbed owner certainly acts on a record, on a busy machine.
const notice = time.Second

// Guards against an owner that learns nothing of a closure while it runs, or that does not use a data centre again.
func TestOwnerActsOnClosures(t *testing.T) {
	t.Parallel()
	c := newClosureTest(t)
	a := c.start(c.log, "a")
	eventually(t, "a owns", a.isOwner)
	start := clock.Now()
	c.flood(time.Second)
	require.NotZero(t, c.workers.after(c.workers.starts, "tema", start))
	closed := c.put("tema", true)
	c.flood(2 * notice)
	c.none("tema", "accra", closed+notice)
	both := c.put("accra", true)
	c.flood(2 * notice)
	assert.Zero(t, c.workers.after(c.workers.starts, "accra", both+notice)+c.workers.after(c.workers.starts, "tema", both+notice))
	assert.NotZero(t, c.workers.after(c.workers.renewals, "tema", both+notice), "leases go on")
	opened := c.put("tema", false)
	c.flood(2 * notice)
	c.none("accra", "tema", opened)
}

// Guards against a successor that starts tasks in a data centre that was closed before its claim, whether or not the owner
// before it had read that, and after a restart of all instances.
func TestSuccessorKnowsTheClosures(t *testing.T) {
	// Each case returns the time from which no start is allowed.
	for name, play := range map[string]func(c *closureTest, a *testInstance, cut *refusingLog) time.Duration{
		"read by its predecessor": func(c *closureTest, a *testInstance, cut *refusingLog) time.Duration {
			b := c.start(c.log, "b")
			closed := c.put("tema", true)
			c.flood(notice)
			cut.refuseReads.Store(true)
			cut.refuseAppends.Store(true)
			c.flood(claimSilence)
			eventually(c.t, "b owns", b.isOwner)
			return closed + notice
		},
		"not read by its predecessor": func(c *closureTest, a *testInstance, cut *refusingLog) time.Duration {
			b := c.start(c.log, "b")
			time.Sleep(300 * time.Millisecond)
			cut.refuseReads.Store(true)
			cut.refuseAppends.Store(true)
			time.Sleep(250 * time.Millisecond)
			closed := c.put("tema", true)
			c.flood(claimSilence)
			eventually(c.t, "b owns", b.isOwner)
			return closed + maxViewAge + notice
		},
		"all instances restarted": func(c *closureTest, a *testInstance, _ *refusingLog) time.Duration {
			a.stop()
			<-a.done
			closed := c.put("tema", true)
			// These tasks are placed as soon as b owns.
			c.flood(500 * time.Millisecond)
			b := c.start(c.log, "b")
			eventually(c.t, "b owns", b.isOwner)
			return closed
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClosureTest(t)
			cut := &refusingLog{Log: c.log}
			a := c.start(cut, "a")
			eventually(t, "a owns", a.isOwner)
			c.flood(500 * time.Millisecond)
			since := play(c, a, cut)
			c.flood(3 * time.Second)
			c.none("tema", "accra", since)
		})
	}
}

// Guards against starts of an owner that cannot read the topic of the closed data centres: it must start nothing anywhere
// until it has read the keys as they are after its return, also if the log has forgotten the history, and go on renewing
// leases meanwhile.
func TestOwnerWithAnOldViewStartsNothing(t *testing.T) {
	for name, forget := range map[string]bool{"history kept": false, "history forgotten": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClosureTest(t)
			cut := &topicCut{Log: c.log, topic: closuresTopic}
			a := c.start(cut, "a")
			eventually(t, "a owns", a.isOwner)
			c.flood(time.Second)
			cut.cut.Store(true)
			closed := c.put("tema", true)
			c.flood(maxViewAge + 2*notice)
			assert.True(t, a.isOwner())
			for _, zone := range []string{"tema", "accra"} {
				assert.Zero(t, c.workers.after(c.workers.starts, zone, closed+maxViewAge+notice), zone)
				assert.NotZero(t, c.workers.after(c.workers.renewals, zone, closed+maxViewAge+notice), zone)
			}
			if forget {
				c.log.Trim(closuresTopic)
			}
			returned := clock.Now()
			cut.cut.Store(false)
			c.flood(2 * time.Second)
			c.none("tema", "accra", returned)
			assert.Zero(t, c.workers.countLapsed(), "attempts ended because their worker's lease expired")
		})
	}
}

// Guards against a claim before the first load of the closed data centres.
func TestNoClaimBeforeTheClosuresAreRead(t *testing.T) {
	t.Parallel()
	c := newClosureTest(t)
	cut := &topicCut{Log: c.log, topic: closuresTopic}
	cut.cut.Store(true)
	a := c.start(cut, "a")
	time.Sleep(2 * claimSilence)
	assert.False(t, a.isOwner())
	cut.cut.Store(false)
	eventually(t, "a owns", a.isOwner)
}
