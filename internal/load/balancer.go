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
	// healthCheckInterval is the time between readiness checks of a gateway by the platform's balancer.
	healthCheckInterval = 250 * time.Millisecond
	healthCheckTimeout  = time.Second
	// readyTimeout limits the wait for the first ready gateway at the start of a run.
	readyTimeout = 15 * time.Second
)

// gateway is a gateway that requests are sent to.
type gateway struct {
	url     string
	ready   atomic.Bool
	tickets ticketPool
}

// balancer stands in for the platform's load balancer: it spreads calls over the gateways that are ready.
type balancer struct {
	client   *http.Client
	gateways []*gateway
	// mu guards rng.
	mu  sync.Mutex
	rng *rand.Rand
}

func newBalancer(urls []string, c *http.Client, seed uint64) *balancer {
	b := &balancer{client: c, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, u := range urls {
		b.gateways = append(b.gateways, &gateway{url: strings.TrimSuffix(u, "/")})
	}
	return b
}

// watch checks the readiness of all gateways periodically until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range b.gateways {
		wg.Go(func() {
			tick := time.NewTicker(healthCheckInterval)
			defer tick.Stop()
			for {
				g.ready.Store(b.checkReady(ctx, g))
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

// checkReady reports whether the gateway answers a readiness check with status 200.
func (b *balancer) checkReady(ctx context.Context, g *gateway) bool {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
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
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthResponseBytes))
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until a gateway is ready. It returns a *NoGatewayError if none is ready within readyTimeout.
func (b *balancer) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for b.pick(nil) == nil {
		if !pause(ctx, healthCheckInterval/5) {
			return &NoGatewayError{Gateways: len(b.gateways), Wait: readyTimeout}
		}
	}
	return nil
}

// pick returns a random ready gateway that is not in excluded, or nil if there is none.
func (b *balancer) pick(excluded []*gateway) *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	start := b.rng.IntN(len(b.gateways))
next:
	for i := range b.gateways {
		g := b.gateways[(start+i)%len(b.gateways)]
		if !g.ready.Load() {
			continue
		}
		for _, e := range excluded {
			if e == g {
				continue next
			}
		}
		return g
	}
	return nil
}

// pause waits for d. It reports whether the whole time passed before ctx ended.
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
