package intake

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/relay"
)

const (
	// noticeInterval is the least time between two notices of an instance; keys that are added meanwhile go with the next.
	noticeInterval = 50 * time.Millisecond
	// maxNoticeKeys limits the keys of one notice, maxNoticesQueued those that wait.
	maxNoticeKeys    = 64
	maxNoticesQueued = 1024
)

// noticeQueue sends keys in batches.
type noticeQueue struct {
	send    func(keys []string)
	mu      sync.Mutex
	keys    []string
	sending bool
}

// add queues keys and returns at once. It drops those that exceed the limit.
func (q *noticeQueue) add(keys ...string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.keys = append(q.keys, keys[:min(len(keys), maxNoticesQueued-len(q.keys))]...)
	if !q.sending && len(q.keys) > 0 {
		q.sending = true
		go q.run()
	}
}

func (q *noticeQueue) run() {
	for {
		q.mu.Lock()
		n := min(len(q.keys), maxNoticeKeys)
		keys := q.keys[:n:n]
		q.keys = q.keys[n:]
		q.sending = n > 0
		q.mu.Unlock()
		if n == 0 {
			return
		}
		q.send(keys)
		time.Sleep(noticeInterval)
	}
}

// tellCollector tells a collector the keys of entries whose outcome is unknown. It tells all other instances.
func (c *Collectors) tellCollector(keys []string) {
	for _, to := range c.choose() {
		if to.Instance == c.instance {
			c.forwarded.add(keys...)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		err := c.client.Unknown(ctx, to, keys, true)
		cancel()
		var refused *relay.RefusedError
		if err == nil || errors.As(err, &refused) {
			return
		}
	}
}

// tellAll tells all other instances the keys of entries whose outcome is unknown.
func (c *Collectors) tellAll(keys []string) {
	c.callAll(func(ctx context.Context, to catalog.Endpoint) error { return c.client.Unknown(ctx, to, keys, false) })
	c.logger.Info("told all instances of unknown outcomes", "keys", keys)
}
