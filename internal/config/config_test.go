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

// quotesWith returns a valid manifest that differs from others by its queue limit.
func quotesWith(limit int) []byte {
	return []byte(strings.Replace(string(quotes), "routing: exact", fmt.Sprintf("queue_limit: %d", limit), 1))
}

func publication(t require.TestingT, replaces uint64, text []byte) []byte {
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0, &contract.Publish{Replaces: replaces, Manifest: text})
	require.NoError(t, err)
	return data
}

// Guards against two readers that put different publications in force, whatever their first offset: operators race, and
// retention drops the start of the stream while a publication of the chain is still kept.
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

// Guards against a copy of a publication, an unreadable record or an unparsable manifest that changes what is in force.
func TestChainOutcomes(t *testing.T) {
	c := NewChain(1)
	first := publication(t, 0, quotesWith(1))
	require.Equal(t, OutcomeAccepted, c.Apply(1, first).Outcome)
	require.Equal(t, OutcomeDuplicate, c.Apply(2, first).Outcome)
	require.Equal(t, OutcomeUnreadable, c.Apply(3, []byte("x")).Outcome)
	require.Equal(t, OutcomeConflict, c.Apply(4, publication(t, 0, quotesWith(2))).Outcome)
	require.Equal(t, OutcomeSkipped, c.Apply(5, publication(t, 1, []byte("deployment: ["))).Outcome)
	require.Equal(t, uint64(1), c.Version().Offset)
	require.Equal(t, OutcomeConflict, c.Apply(6, publication(t, 1, quotesWith(3))).Outcome)
	require.Equal(t, OutcomeAccepted, c.Apply(7, publication(t, 5, quotesWith(3))).Outcome)
	require.Equal(t, uint64(7), c.Version().Offset)
}

func start(t *testing.T, log *standin.Log, fetch Fetch, refresh time.Duration) *Follower {
	f := NewFollower(log, fetch, slog.New(slog.DiscardHandler))
	f.SetRefreshAfter(refresh)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return f
}

func offsetOf(f *Follower) uint64 {
	if v := f.Current(); v != nil {
		return v.Offset
	}
	return 0
}

func eventually(t *testing.T, want func() bool, what string) {
	require.Eventually(t, want, 15*time.Second, 5*time.Millisecond, what)
}

func publish(t *testing.T, log *standin.Log, limit int) uint64 {
	offset, err := Publish(context.Background(), log, Proposal{Name: "test", Manifest: quotesWith(limit), At: time.Now()})
	require.NoError(t, err)
	return offset
}

// Guards against racing operators that are both told that they won, and readers that disagree, while answers are lost.
func TestRacingPublishersAndLostAnswers(t *testing.T) {
	log := standin.NewLog(standin.Limits{}, 7)
	log.SetFaults(standin.LogFaults{LoseAnswers: 0.3, LoseCalls: 0.2})
	a, b := start(t, log, nil, 0), start(t, log, nil, 0)
	var wg sync.WaitGroup
	var mu sync.Mutex
	won := map[uint64]int{}
	for p := range 4 {
		wg.Go(func() {
			for i := range 10 {
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				offset, err := Publish(ctx, log, Proposal{Name: "race", Manifest: quotesWith(1 + p*100 + i), At: time.Now()})
				cancel()
				var conflict *ConflictError
				if err != nil {
					assert.ErrorAs(t, err, &conflict)
					continue
				}
				mu.Lock()
				won[offset] = 1 + p*100 + i
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
			require.Contains(t, string(e.Publication.Manifest), fmt.Sprintf("queue_limit: %d", won[e.Offset]))
		}
	}
	require.Len(t, won, accepted, "every winner was told, nobody else")
	require.NotZero(t, accepted)
	eventually(t, func() bool { return offsetOf(a) == h.Chain.Head() && offsetOf(b) == h.Chain.Head() }, "both readers agree")
}

// Guards against a process that starts during a log outage and never gets a manifest, or goes back when the log returns.
func TestFetchFromPeerDuringOutage(t *testing.T) {
	log := standin.NewLog(standin.Limits{}, 1)
	publish(t, log, 1)
	second := publish(t, log, 2)
	log.SetFaults(standin.LogFaults{Down: true})
	f := start(t, log, func(context.Context) (contract.ConfigFetchReply, error) {
		return contract.ConfigFetchReply{Version: second, Manifest: quotesWith(2)}, nil
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

// Guards against readers that retention has overtaken and against a version that retention drops altogether.
func TestRetention(t *testing.T) {
	log := standin.NewLog(standin.Limits{}, 1)
	old := start(t, log, nil, 0)
	first := publish(t, log, 1)
	eventually(t, func() bool { return offsetOf(old) == first }, "first version")
	refreshing := start(t, log, nil, time.Millisecond)
	eventually(t, func() bool { return offsetOf(refreshing) > first && offsetOf(old) == offsetOf(refreshing) }, "published again")
	log.Truncate(datacentre.ConfigStream, offsetOf(old))
	fresh := start(t, log, nil, 0)
	eventually(t, func() bool { return offsetOf(fresh) >= offsetOf(old) && offsetOf(fresh) > 0 }, "reader that starts behind offset 1")
	require.Equal(t, 1, fresh.Current().Manifest.Policies.QueueLimit)
}

// Guards against an operator who replaces a version that nobody can name any more, which new readers would accept and old ones refuse.
func TestPublishAfterEverythingWasDropped(t *testing.T) {
	log := standin.NewLog(standin.Limits{}, 1)
	running := start(t, log, nil, 0)
	first := publish(t, log, 1)
	eventually(t, func() bool { return offsetOf(running) == first }, "first version")
	log.Truncate(datacentre.ConfigStream, first+1)
	_, err := Publish(context.Background(), log, Proposal{Manifest: quotesWith(2)})
	var expired *ExpiredError
	require.ErrorAs(t, err, &expired)
	second, err := Publish(context.Background(), log, Proposal{Manifest: quotesWith(2), Replaces: &first})
	require.NoError(t, err)
	fresh := start(t, log, nil, 0)
	eventually(t, func() bool { return offsetOf(running) == second && offsetOf(fresh) == second }, "all readers")
	_, err = Publish(context.Background(), log, Proposal{Manifest: quotesWith(3), Replaces: &first})
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, second, conflict.InForce)
}
