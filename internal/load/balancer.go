package load

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// healthInterval is how often the platform's balancer asks a gateway whether it is ready.
	healthInterval = 250 * time.Millisecond
	healthTimeout  = time.Second
	startWait      = 15 * time.Second
)

// gateway is one target.
type gateway struct {
	url     string
	ready   atomic.Bool
	tickets ticketPool
}

// balancer spreads calls over the gateways that are ready.
type balancer struct {
	client *http.Client
	all    []*gateway
	mu     sync.Mutex
	random *rand.Rand
}

func newBalancer(urls []string, c *http.Client, seed uint64) *balancer {
	b := &balancer{client: c, random: rand.New(rand.NewPCG(seed, 1))}
	for _, u := range urls {
		b.all = append(b.all, &gateway{url: strings.TrimSuffix(u, "/")})
	}
	return b
}

// watch follows the readiness of the gateways until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range b.all {
		wg.Go(func() {
			tick := time.NewTicker(healthInterval)
			defer tick.Stop()
			for {
				g.ready.Store(b.healthy(ctx, g))
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
			}
		})
	}
	wg.Wait()
}

func (b *balancer) healthy(ctx context.Context, g *gateway) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, g.url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxProblemBytes))
	return resp.StatusCode == http.StatusOK
}

// awaitReady returns *NoGatewayError if no gateway becomes ready in time.
func (b *balancer) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for b.pick(nil) == nil {
		if !pause(ctx, healthInterval/5) {
			return &NoGatewayError{Gateways: len(b.all), Wait: startWait}
		}
	}
	return nil
}

// pick returns a random ready gateway that is not in tried, or nil.
func (b *balancer) pick(tried []*gateway) *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.random.IntN(len(b.all))
next:
	for i := range b.all {
		g := b.all[(first+i)%len(b.all)]
		if !g.ready.Load() {
			continue
		}
		for _, t := range tried {
			if t == g {
				continue next
			}
		}
		return g
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
