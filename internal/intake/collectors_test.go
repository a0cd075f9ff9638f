package intake

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/relay"
	"clementinewalk.example/clementinewalk/internal/storehealth"
)

// fakeCollectors answers each call with the same result.
type fakeCollectors struct {
	append time.Duration
	err    error
	calls  int
}

func (c *fakeCollectors) Collect(context.Context, catalog.Endpoint, eventlog.Entry) (time.Duration, error) {
	c.calls++
	return c.append, c.err
}

func (c *fakeCollectors) Report(context.Context, catalog.Endpoint, string, time.Duration) error {
	return nil
}

func (c *fakeCollectors) Hint(context.Context, catalog.Endpoint, time.Duration) error { return nil }

func (c *fakeCollectors) Unknown(context.Context, catalog.Endpoint, []string, bool) error { return nil }

// newCollectors returns the collectors of "self" while the log is slow.
func newCollectors(client CollectorClient, p *Peers) *Collectors {
	l, r := slog.New(slog.DiscardHandler), prometheus.NewRegistry()
	log := eventlog.NewMonitor(nil, "submissions", l, r)
	log.Hint(264 * time.Millisecond)
	return NewCollectors("self", client, p.catalog, log, l, r)
}

// Guards against a refusal of an entry that a peer may have stored, because the own log has refused it and so does the
// collector, and against counting an entry as refused that may have been stored.
func TestEntryThatAPeerMayHaveStoredIsNotRefused(t *testing.T) {
	for name, local := range map[string]error{"refused by the log": &eventlog.RefusedError{Op: "append", Status: 503},
		"not sent": &eventlog.UnsentError{}} {
		t.Run(name, func(t *testing.T) {
			noAnswer := &relay.NoAnswerError{Peer: "owner", Err: io.EOF}
			peers := newPeers(t, &fakePeers{errs: map[string]error{"owner": noAnswer, "other": noAnswer}}, 3*time.Second)
			client := &fakeCollectors{err: &relay.RefusedError{Peer: "other", NoTime: true}}
			c := newCollectors(client, peers)
			a := &RelayedAppender{Local: &fakeAppender{err: local}, Peers: peers, Collectors: c}
			var unknown *eventlog.UnknownError
			assert.ErrorAs(t, a.Append(context.Background(), eventlog.Entry{Key: "x"}), &unknown)
			assert.Zero(t, client.calls)
			assert.Zero(t, testutil.ToFloat64(c.entries.WithLabelValues("refused")))
		})
	}
}

// Guards against an instance that appends by itself while the log is slow, because a collector that cannot reach the log
// has told the time of an append from before.
func TestTimeOfARefusingCollectorEndsNoExpectation(t *testing.T) {
	peers := newPeers(t, &fakePeers{}, 0)
	client := &fakeCollectors{append: 12 * time.Millisecond, err: &relay.RefusedError{Peer: "other"}}
	c := newCollectors(client, peers)
	ctx := context.Background()
	assert.NoError(t, c.append(ctx, eventlog.Entry{Key: "x"}, &fakeAppender{}), "this instance is the second collector")
	assert.Equal(t, storehealth.Slow, c.log.Health().State)
	client.err = nil
	assert.Contains(t, c.suspended, "other", "it is left out after the refusal")
	clear(c.suspended)
	assert.NoError(t, c.append(ctx, eventlog.Entry{Key: "x"}, &fakeAppender{}))
	assert.Equal(t, storehealth.Usable, c.log.Health().State, "the append was fast")
}

// Guards against reports that fill the memory, and against hints that end the expectation of a slow append: both may come
// from any client.
func TestForgedReportsAndHints(t *testing.T) {
	c := newCollectors(&fakeCollectors{}, newPeers(t, &fakePeers{}, 0))
	h := NewPeerHandler(&fakeAppender{}, newAPI(false), c)
	for i := range 1000 {
		h.Report(fmt.Sprint(i), time.Second)
	}
	h.Report(strings.Repeat("x", 100<<10), time.Second)
	c.mu.Lock()
	assert.LessOrEqual(t, len(c.reports), maxReports)
	for name := range c.reports {
		assert.LessOrEqual(t, len(name), maxNameBytes)
	}
	c.mu.Unlock()
	h.Hint(0)
	assert.Equal(t, storehealth.Slow, c.log.Health().State)
}
