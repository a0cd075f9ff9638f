package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// noWorkers answers no call; the tests of ownership have no tasks.
type noWorkers struct{}

func (noWorkers) Start(context.Context, Member, StartCall) (CallAnswer, error) {
	return CallAnswer{}, &NoAnswerError{}
}
func (noWorkers) Stop(context.Context, Member, StopCall) (CallAnswer, error) {
	return CallAnswer{}, &NoAnswerError{}
}
func (noWorkers) Pace(context.Context, Member, PaceCall) (CallAnswer, error) {
	return CallAnswer{}, &NoAnswerError{}
}
func (noWorkers) Renew(context.Context, Member, LeaseCall) (LeaseAnswer, error) {
	return LeaseAnswer{}, &NoAnswerError{}
}

// testInstance is one process with its followers.
type testInstance struct {
	owner *Owner
	mu    sync.Mutex
	owns  bool
	stop  context.CancelFunc
	done  chan struct{}
}

func (i *testInstance) isOwner() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.owns
}

func startInstance(t *testing.T, log eventlog.Log, name string) *testInstance {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	i := &testInstance{stop: cancel, done: make(chan struct{})}
	cat := catalog.New(quiet())
	config := &queue.Current{}
	config.Advance(testConfig())
	pace := eventlog.PollIntervals{Wait: 200 * time.Millisecond, Pause: 5 * time.Millisecond}
	var progress *eventlog.Follower
	submissions := eventlog.NewFollower(log, "submissions", pace, quiet(), func(b eventlog.Batch) { i.owner.SubmissionsChanged(cat.ApplySubmissions(b)) })
	progress = eventlog.NewFollower(log, "progress", pace, quiet(), func(b eventlog.Batch) { i.owner.ProgressRead(b, cat.ApplyProgress(b.Entries)) })
	s := Settings{Instance: name, ProgressTopic: "progress", WorkersTopic: "workers", SubmissionsTopic: "submissions", Retention: time.Hour, Cores: 1000, Params: Params{Lease: 6 * time.Second, Isolation: 5 * time.Second}}
	i.owner = NewOwner(s, log, noWorkers{}, nil, func(id string, _ []byte) (Member, error) { return Member{Lifetime: Lifetime{ID: id}}, nil }, config, cat,
		Views{Submissions: submissions, Progress: progress}, func(owns bool) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.owns = owns
		}, quiet())
	go submissions.Run(ctx)
	go progress.Run(ctx)
	go func() {
		i.owner.Run(ctx)
		close(i.done)
	}()
	t.Cleanup(func() { cancel(); <-i.done })
	return i
}

func owners(all []*testInstance) int {
	n := 0
	for _, i := range all {
		if i.isOwner() {
			n++
		}
	}
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, 6*time.Second, 10*time.Millisecond, what)
}

// lagging shows what was written only after a while, so that several instances claim before they see each other's claims.
type lagging struct{ eventlog.Log }

func (l lagging) Read(ctx context.Context, topic string, from int64, wait time.Duration) (eventlog.Page, error) {
	p, err := l.Log.Read(ctx, topic, from, wait)
	time.Sleep(400 * time.Millisecond)
	return p, err
}

// Guards against two owners after several instances claim at the same moment, also when answers to the claims are lost.
func TestOneOfManyClaims(t *testing.T) {
	for _, faults := range []memlog.Faults{{}, {LoseAnswers: 2}} {
		log := memlog.New()
		log.SetFaults(faults)
		var all []*testInstance
		for _, name := range []string{"a", "b", "c", "d"} {
			all = append(all, startInstance(t, lagging{log}, name))
		}
		eventually(t, "an owner", func() bool { return owners(all) >= 1 })
		time.Sleep(time.Second)
		assert.Equal(t, 1, owners(all))
	}
}

// Guards against a wait for silence when an owner stops in a planned way.
func TestStoppingOwnerHandsOver(t *testing.T) {
	log := memlog.New()
	a := startInstance(t, log, "a")
	eventually(t, "a owns", a.isOwner)
	b := startInstance(t, log, "b")
	time.Sleep(500 * time.Millisecond)
	require.False(t, b.isOwner())
	start := time.Now()
	a.stop()
	eventually(t, "b owns", b.isOwner)
	assert.Less(t, time.Since(start), claimSilence)
}

// Guards against an owner that goes on after a later claim, and against its late append being taken for a state.
func TestFencedOwnerStepsDown(t *testing.T) {
	log := memlog.New()
	a := startInstance(t, log, "a")
	eventually(t, "a owns", a.isOwner)
	e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: 9, Instance: "z"})
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "progress", &eventlog.Producer{Name: producer, Epoch: 9, Sequence: 1}, []eventlog.Entry{e})
	require.NoError(t, err)
	eventually(t, "a steps down", func() bool { return !a.isOwner() })
	_, err = log.Append(context.Background(), "progress", &eventlog.Producer{Name: producer, Epoch: 1, Sequence: 99}, []eventlog.Entry{e})
	var fenced *eventlog.FencedError
	require.ErrorAs(t, err, &fenced)
	// The claimant is never heard of again, so a claims anew.
	eventually(t, "a owns again", a.isOwner)
}

// gate is one instance's way to the log.
type gate struct {
	eventlog.Log
	// noAppends and noReads refuse calls.
	noAppends, noReads atomic.Bool
}

func (g *gate) Append(ctx context.Context, topic string, p *eventlog.Producer, entries []eventlog.Entry) (int64, error) {
	if g.noAppends.Load() {
		return 0, &eventlog.RefusedError{Op: "append", Status: 503}
	}
	return g.Log.Append(ctx, topic, p, entries)
}

func (g *gate) Read(ctx context.Context, topic string, from int64, wait time.Duration) (eventlog.Page, error) {
	if g.noReads.Load() {
		return eventlog.Page{}, &eventlog.RefusedError{Op: "read", Status: 503}
	}
	return g.Log.Read(ctx, topic, from, wait)
}

// Guards against an owner that writes nothing because an append of its earlier ownership never came back.
func TestOwnerForTheSecondTimeWrites(t *testing.T) {
	log := memlog.New()
	gateA, gateB := &gate{Log: log}, &gate{Log: log}
	a := startInstance(t, gateA, "a")
	eventually(t, "a owns", a.isOwner)
	b := startInstance(t, gateB, "b")
	time.Sleep(300 * time.Millisecond)
	gateA.noAppends.Store(true)
	eventually(t, "b owns", b.isOwner)
	// a reads the later claim while its own append is still refused.
	eventually(t, "a steps down", func() bool { return !a.isOwner() })
	gateA.noAppends.Store(false)
	gateB.noAppends.Store(true)
	gateB.noReads.Store(true)
	eventually(t, "a owns again", a.isOwner)
	before := log.Appends()
	time.Sleep(3 * heartbeat)
	assert.Greater(t, log.Appends(), before+1)
}

// Guards against a claim while the log cannot be read, when the owner's silence means nothing.
func TestOutageOfTheLogIsNoSilence(t *testing.T) {
	log := memlog.New()
	a := startInstance(t, log, "a")
	eventually(t, "a owns", a.isOwner)
	b := startInstance(t, log, "b")
	time.Sleep(300 * time.Millisecond)
	log.SetFaults(memlog.Faults{Down: true})
	time.Sleep(claimSilence + 500*time.Millisecond)
	log.SetFaults(memlog.Faults{})
	time.Sleep(700 * time.Millisecond)
	assert.True(t, a.isOwner())
	assert.False(t, b.isOwner())
}

// Guards against a new owner that has records without their submissions and takes running tasks for strays.
func TestNoClaimBeforeAllSubmissionsAreRead(t *testing.T) {
	log := memlog.New()
	e, err := catalog.ProgressEntry("0000000000000001", &workflow.Record{State: workflow.Running})
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "progress", nil, []eventlog.Entry{e})
	require.NoError(t, err)
	a := startInstance(t, log, "a")
	time.Sleep(time.Second)
	require.False(t, a.isOwner())
	s, err := catalog.SubmissionEntry(&workflow.Submission{Job: "0000000000000001", Steps: []workflow.Step{batch(1, time.Second)}})
	require.NoError(t, err)
	_, err = log.Append(context.Background(), "submissions", nil, []eventlog.Entry{s})
	require.NoError(t, err)
	eventually(t, "a owns", a.isOwner)
}
