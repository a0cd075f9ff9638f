package config

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
)

var quotes = func() []byte {
	data, err := os.ReadFile("../../examples/quotes.yaml")
	if err != nil {
		panic(err)
	}
	return data
}()

// quotesWithQueueLimit returns a valid manifest that is identified by its queue limit.
func quotesWithQueueLimit(limit int) []byte {
	return []byte(strings.Replace(string(quotes), "routing: exact", fmt.Sprintf("queue_limit: %d", limit), 1))
}

// publication returns the record of a publication.
func publication(t require.TestingT, replaces uint64, text []byte) []byte {
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0, &contract.Publish{Replaces: replaces, Manifest: text})
	require.NoError(t, err)
	return data
}

// Guards against readers that activate different publications because they start at different offsets: operators
// publish concurrently, and retention removes the start of the stream while a publication of the chain is still
// retained.
func TestChainAgreesFromEveryOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		full := NewChain(1)
		chain := []uint64{0}
		heads := []uint64{0}
		var records [][]byte
		for offset := uint64(1); offset <= 25; offset++ {
			replaces := chain[max(0, len(chain)-1-rapid.IntRange(0, 3).Draw(t, "staleness"))]
			text := []byte("not a manifest")
			records = append(records, publication(t, replaces, text))
			if e := full.Apply(offset, records[offset-1]); e.Outcome == OutcomeSkipped {
				chain = append(chain, offset)
			} else {
				require.Equal(t, OutcomeConflict, e.Outcome)
			}
			heads = append(heads, full.Head())
		}
		base := rapid.Uint64Range(1, full.Head()).Draw(t, "oldest kept offset")
		fresh := NewChain(base)
		resumed, read := NewChain(1), rapid.Uint64Range(0, base-1).Draw(t, "read before")
		for offset := uint64(1); offset <= read; offset++ {
			resumed.Apply(offset, records[offset-1])
		}
		resumed.Restart(base)
		for offset := base; offset <= 25; offset++ {
			fresh.Apply(offset, records[offset-1])
			resumed.Apply(offset, records[offset-1])
			if heads[offset] >= base {
				require.Equal(t, heads[offset], fresh.Head(), "reader that starts at %d, after %d", base, offset)
				require.Equal(t, heads[offset], resumed.Head(), "reader that lost records, after %d", offset)
			}
		}
	})
}

// Guards against a duplicate publication, an unreadable record or an unparsable manifest that changes the version in
// force.
func TestChainOutcomes(t *testing.T) {
	c := NewChain(1)
	first := publication(t, 0, quotesWithQueueLimit(1))
	require.Equal(t, OutcomeAccepted, c.Apply(1, first).Outcome)
	require.Equal(t, OutcomeDuplicate, c.Apply(2, first).Outcome)
	require.Equal(t, OutcomeUnreadable, c.Apply(3, []byte("x")).Outcome)
	require.Equal(t, OutcomeConflict, c.Apply(4, publication(t, 0, quotesWithQueueLimit(2))).Outcome)
	require.Equal(t, OutcomeSkipped, c.Apply(5, publication(t, 1, []byte("deployment: ["))).Outcome)
	require.Equal(t, uint64(1), c.Version().Offset)
	require.Equal(t, OutcomeConflict, c.Apply(6, publication(t, 1, quotesWithQueueLimit(3))).Outcome)
	require.Equal(t, OutcomeAccepted, c.Apply(7, publication(t, 5, quotesWithQueueLimit(3))).Outcome)
	require.Equal(t, uint64(7), c.Version().Offset)
}

// startFollower returns a running follower, which is stopped at the end of the test.
func startFollower(t *testing.T, log *standin.Log, fetch Fetch, refresh time.Duration) *Follower {
	f := NewFollower(log, fetch, slog.New(slog.DiscardHandler))
	f.SetRepublishAfter(refresh)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return f
}

// offsetOf returns the version that is active at a follower, 0 if there is none.
func offsetOf(f *Follower) uint64 {
	if v := f.Current(); v != nil {
		return v.Offset
	}
	return 0
}

func eventually(t *testing.T, want func() bool, what string) {
	require.Eventually(t, want, 15*time.Second, 5*time.Millisecond, what)
}

// publish publishes a manifest with the given queue limit and returns its version.
func publish(t *testing.T, log *standin.Log, limit int) uint64 {
	offset, err := Publish(context.Background(), log,
		Proposal{Name: "test", Manifest: quotesWithQueueLimit(limit), At: time.Now()})
	require.NoError(t, err)
	return offset
}

// Guards against two concurrent publishers that both get a success for the same predecessor, and against readers that
// disagree, while the log loses calls and answers.
func TestRacingPublishersAndLostAnswers(t *testing.T) {
	log := standin.NewLog(standin.Limits{}, 7)
	log.SetFaults(standin.LogFaults{LostAnswerProbability: 0.3, LostCallProbability: 0.2})
	a, b := startFollower(t, log, nil, 0), startFollower(t, log, nil, 0)
	var wg sync.WaitGroup
	var mu sync.Mutex
	confirmed := map[uint64]int{}
	for p := range 4 {
		wg.Go(func() {
			for i := range 10 {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				offset, err := Publish(ctx, log,
					Proposal{Name: "race", Manifest: quotesWithQueueLimit(1 + p*100 + i), At: time.Now()})
				cancel()
				var conflict *ConflictError
				if err != nil {
					assert.ErrorAs(t, err, &conflict)
					continue
				}
				mu.Lock()
				confirmed[offset] = 1 + p*100 + i
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	h, err := ReadHistory(context.Background(), log)
	require.NoError(t, err)
	accepted := 0
	for _, e := range h.Entries {
		if e.Outcome == OutcomeAccepted {
			accepted++
			require.Contains(t, string(e.Publication.Manifest), fmt.Sprintf("queue_limit: %d", confirmed[e.Offset]))
		}
	}
	require.Len(t, confirmed, accepted, "Publish succeeds exactly for the accepted publications")
	require.NotZero(t, accepted)
	eventually(t, func() bool { return offsetOf(a) == h.Chain.Head() && offsetOf(b) == h.Chain.Head() },
		"both readers agree")
}

// Guards against a process that gets no manifest when it starts during an outage of the log, or that puts an older
// active version after the outage.
func TestFetchFromPeerDuringOutage(t *testing.T) {
	log := standin.NewLog(standin.Limits{}, 1)
	publish(t, log, 1)
	second := publish(t, log, 2)
	log.SetFaults(standin.LogFaults{Down: true})
	f := startFollower(t, log, func(context.Context) (contract.ConfigFetchReply, error) {
		return contract.ConfigFetchReply{Offset: second, Manifest: quotesWithQueueLimit(2)}, nil
	}, 0)
	eventually(t, func() bool { return offsetOf(f) == second }, "version of the peer")
	changed := f.Changed()
	log.SetFaults(standin.LogFaults{})
	third := publish(t, log, 3)
	<-changed
	require.Equal(t, third, offsetOf(f))
	registry := prometheus.NewRegistry()
	require.NoError(t, f.Register(registry))
	metrics, err := registry.Gather()
	require.NoError(t, err)
	require.Equal(t, float64(third), metrics[0].GetMetric()[0].GetGauge().GetValue())
}

// Guards against readers that stop when retention drops records before they are read, and against retention that drops
// the active version.
func TestRetention(t *testing.T) {
	log := standin.NewLog(standin.Limits{}, 1)
	old := startFollower(t, log, nil, 0)
	first := publish(t, log, 1)
	eventually(t, func() bool { return offsetOf(old) == first }, "first version")
	refreshing := startFollower(t, log, nil, time.Millisecond)
	eventually(t, func() bool { return offsetOf(refreshing) > first && offsetOf(old) == offsetOf(refreshing) },
		"version published again")
	log.Truncate(datacentre.ConfigStream, offsetOf(old))
	fresh := startFollower(t, log, nil, 0)
	eventually(t, func() bool { return offsetOf(fresh) >= offsetOf(old) && offsetOf(fresh) > 0 },
		"reader that starts after offset 1")
	require.Equal(t, 1, fresh.Current().Manifest.Policies.QueueLimit)
}

// Guards against a publication after retention dropped all others: without a predecessor named by the operator, new
// readers would accept it and running ones refuse it.
func TestPublishAfterEverythingWasDropped(t *testing.T) {
	log := standin.NewLog(standin.Limits{}, 1)
	running := startFollower(t, log, nil, 0)
	first := publish(t, log, 1)
	eventually(t, func() bool { return offsetOf(running) == first }, "first version")
	log.Truncate(datacentre.ConfigStream, first+1)
	_, err := Publish(context.Background(), log, Proposal{Manifest: quotesWithQueueLimit(2)})
	var expired *ExpiredError
	require.ErrorAs(t, err, &expired)
	second, err := Publish(context.Background(), log, Proposal{Manifest: quotesWithQueueLimit(2), Replaces: &first})
	require.NoError(t, err)
	fresh := startFollower(t, log, nil, 0)
	eventually(t, func() bool { return offsetOf(running) == second && offsetOf(fresh) == second }, "all readers")
	_, err = Publish(context.Background(), log, Proposal{Manifest: quotesWithQueueLimit(3), Replaces: &first})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, second, conflict.InForce)
}
