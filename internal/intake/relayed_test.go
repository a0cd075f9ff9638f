package intake

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/relay"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// fakeAppender counts its calls and returns err.
type fakeAppender struct {
	err   error
	calls int
}

func (a *fakeAppender) Append(context.Context, eventlog.Entry) error {
	a.calls++
	return a.err
}

// fakePeers answers for each instance.
type fakePeers struct {
	errs   map[string]error
	states map[workflow.JobID]relay.State
	called []string
}

func (p *fakePeers) Append(_ context.Context, to catalog.Endpoint, _ eventlog.Entry) error {
	p.called = append(p.called, to.Instance)
	return p.errs[to.Instance]
}

func (p *fakePeers) State(_ context.Context, to catalog.Endpoint, id workflow.JobID) (relay.State, error) {
	p.called = append(p.called, to.Instance)
	return p.states[id], p.errs[to.Instance]
}

// agedView is a view of a certain age.
type agedView time.Duration

func (v agedView) AsOf() (time.Duration, bool) { return clock.Now() - time.Duration(v), true }

// newPeers returns the peers of instance "self", which knows itself, the owner and "other".
func newPeers(t *testing.T, client PeerClient, age time.Duration) *Peers {
	l := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := catalog.New(l)
	var entries []eventlog.Entry
	for i, name := range []string{"self", "owner", "other"} {
		e, err := catalog.EndpointEntry(&catalog.Endpoint{Instance: name, Addr: "127.0.0.1:1"})
		require.NoError(t, err)
		e.Offset = int64(i)
		entries = append(entries, e)
	}
	c.ApplySubmissions(eventlog.Batch{Entries: entries})
	e, err := catalog.OwnerEntry(&catalog.Ownership{Epoch: 1, Instance: "owner"})
	require.NoError(t, err)
	c.ApplyProgress([]eventlog.Entry{e})
	return NewPeers("self", client, c, agedView(age), l, prometheus.NewRegistry())
}

func TestRelayedAppend(t *testing.T) {
	refusedByLog, unknownToLog := &eventlog.RefusedError{Op: "append"}, &eventlog.UnknownError{Op: "append", Err: io.EOF}
	refused, noAnswer := &relay.RefusedError{Peer: "owner"}, &relay.NoAnswerError{Peer: "owner", Err: io.EOF}
	const fresh, stale = 100 * time.Millisecond, 3 * time.Second
	for _, c := range []struct {
		name  string
		age   time.Duration
		local error
		peers map[string]error
		want  error
		// called are the peers in order, localCalls the calls to the own log.
		called     []string
		localCalls int
	}{
		{"the log answers", fresh, nil, nil, nil, nil, 1},
		{"the log refuses, the owner stores", fresh, refusedByLog, nil, nil, []string{"owner"}, 1},
		{"the log does not answer, the owner stores", fresh, unknownToLog, nil, nil, []string{"owner"}, 1},
		{"the owner refuses, another instance stores", fresh, refusedByLog, map[string]error{"owner": refused}, nil,
			[]string{"owner", "other"}, 1},
		{"all refuse", fresh, refusedByLog, map[string]error{"owner": refused, "other": refused}, refusedByLog,
			[]string{"owner", "other"}, 1},
		{"a peer may have stored it", fresh, refusedByLog, map[string]error{"owner": noAnswer, "other": refused},
			&eventlog.UnknownError{}, []string{"owner", "other"}, 1},
		{"the own log may have stored it", fresh, unknownToLog, map[string]error{"owner": refused, "other": refused},
			&eventlog.UnknownError{}, []string{"owner", "other"}, 1},
		{"a log that is known to be away is not waited for", stale, unknownToLog, nil, nil, []string{"owner"}, 0},
		{"the log is back before the view is", stale, nil, map[string]error{"owner": refused, "other": refused}, nil,
			[]string{"owner", "other"}, 1},
		{"a peer may have stored it while the log is away", stale, refusedByLog,
			map[string]error{"owner": noAnswer, "other": refused}, &eventlog.UnknownError{}, []string{"owner", "other"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			local, client := &fakeAppender{err: c.local}, &fakePeers{errs: c.peers}
			a := &RelayedAppender{Local: local, Peers: newPeers(t, client, c.age)}
			err := a.Append(context.Background(), eventlog.Entry{Key: "x"})
			assert.IsType(t, c.want, err)
			assert.Equal(t, c.called, client.called)
			assert.Equal(t, c.localCalls, local.calls)
		})
	}
}

// While the log cannot be reached, the own view shows states that are over as running.
func TestStateIsAskedOfPeersWhileTheLogIsAway(t *testing.T) {
	client := &fakePeers{states: map[workflow.JobID]relay.State{"a": {State: workflow.Done, Known: true}}}
	api := newAPI(false)
	api.UsePeers(newPeers(t, client, 3*time.Second))
	s, err := api.State(context.Background(), "a")
	require.NoError(t, err)
	assert.Equal(t, workflow.Done, s)
	var missing *NotFoundError
	_, err = api.State(context.Background(), "b")
	assert.ErrorAs(t, err, &missing)

	client.errs = map[string]error{"owner": &relay.UnreachableError{Peer: "owner", Err: io.EOF},
		"other": &relay.UnreachableError{Peer: "other", Err: io.EOF}}
	api.submissionsFreshness = agedView(3 * time.Second)
	var stale *StaleError
	_, err = api.State(context.Background(), "b")
	assert.ErrorAs(t, err, &stale, "nobody knows")
}

// A peer stores only entries that a caller could have sent.
func TestPeerHandlerChecksEntries(t *testing.T) {
	local := &fakeAppender{}
	h := NewPeerHandler(local, newAPI(false), nil)
	good, err := catalog.SubmissionEntry(newSubmission())
	require.NoError(t, err)
	empty, err := catalog.SubmissionEntry(&workflow.Submission{Job: "5c0e7a21d94b36f8"})
	require.NoError(t, err)
	endpoint, err := catalog.EndpointEntry(&catalog.Endpoint{Instance: "x"})
	require.NoError(t, err)
	require.NoError(t, h.Append(context.Background(), good))
	require.NoError(t, h.Append(context.Background(), catalog.CancelEntry("5c0e7a21d94b36f8")))
	for name, bad := range map[string]eventlog.Entry{
		"not a submission": {Key: "5c0e7a21d94b36f8", Value: []byte("x")},
		"removal":          {Key: "5c0e7a21d94b36f8"}, "other key": {Key: "owner", Value: good.Value},
		"other id": {Key: "0000000000000001", Value: good.Value}, "no steps": empty, "endpoint": endpoint,
		"cancellation without id": {Key: "cancel/", Value: []byte{1}}} {
		var invalid *relay.InvalidError
		assert.ErrorAs(t, h.Append(context.Background(), bad), &invalid, name)
	}
	assert.Equal(t, 2, local.calls)
}

// The states of a peer whose own view is old are not passed on.
func TestPeerHandlerWithOldView(t *testing.T) {
	api := newAPI(false)
	h := NewPeerHandler(&fakeAppender{}, api, nil)
	s, ok := h.State(context.Background(), "5c0e7a21d94b36f8")
	assert.True(t, ok)
	assert.False(t, s.Known)
	api.submissionsFreshness = agedView(2 * time.Second)
	_, ok = h.State(context.Background(), "5c0e7a21d94b36f8")
	assert.False(t, ok)
}
