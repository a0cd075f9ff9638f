// Package queue holds the configuration that callers see: which queues exist, which workers run their tasks and what they promise.
package queue

import (
	"strings"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Queue accepts submissions under a host and a path prefix.
type Queue struct {
	Host, PathPrefix string
	Terms            workflow.Terms
}

// Service is a pool of workers.
type Service struct {
	// RefusesOvercommit tells that its workers refuse what does not fit.
	RefusesOvercommit bool
	Spare             bool
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
	byName   map[string]*Queue
	byHost   map[string][]*Queue
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// New returns a configuration with its indexes.
func New(version int64, queues []Queue, services map[string]Service, l Limits) *Config {
	c := &Config{Version: version, Queues: queues, Services: services, Limits: l,
		byName: make(map[string]*Queue, len(queues)), byHost: map[string][]*Queue{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Terms.Queue] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	return c
}

// Find returns the queue with the longest prefix of the path, or nil.
func (c *Config) Find(host, path string) *Queue {
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// Named returns the queue with a name, or nil.
func (c *Config) Named(name string) *Queue { return c.byName[name] }

// Current is the newest configuration that a process has seen. It never goes back.
type Current struct{ p atomic.Pointer[Config] }

// Load returns the configuration, nil before the first.
func (c *Current) Load() *Config { return c.p.Load() }

// Advance takes a configuration over and reports whether it is newer than the one in force.
func (c *Current) Advance(n *Config) bool {
	for {
		old := c.p.Load()
		if old != nil && n.Version <= old.Version {
			return false
		}
		if c.p.CompareAndSwap(old, n) {
			return true
		}
	}
}
