// Package queue holds the configuration that callers depend on: the queues, the pools of workers that run their
// tasks, and the limits of requests.
package queue

import (
	"strings"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Queue accepts submissions for a host and a path prefix.
type Queue struct {
	Host, PathPrefix string
	Terms            workflow.Terms
}

// Pool holds the properties of a pool of workers.
type Pool struct {
	// RefusesOvercommit reports whether the workers refuse tasks that exceed their capacity.
	RefusesOvercommit bool
	Spare             bool
}

// Config is one version of the configuration.
type Config struct {
	Version int64
	Queues  []Queue
	Pools   map[string]Pool
	Limits  Limits
	byName  map[string]*Queue
	byHost  map[string][]*Queue
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// New returns a configuration with indexes by name and host.
func New(version int64, queues []Queue, pools map[string]Pool, l Limits) *Config {
	c := &Config{Version: version, Queues: queues, Pools: pools, Limits: l,
		byName: make(map[string]*Queue, len(queues)), byHost: map[string][]*Queue{}}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byName[q.Terms.Queue] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	return c
}

// Find returns the queue of the host with the longest prefix of the path, or nil.
func (c *Config) Find(host, path string) *Queue {
	var best *Queue
	for _, q := range c.byHost[host] {
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// HasPool reports whether a pool is configured. A configuration that names no pool allows all of them.
func (c *Config) HasPool(name string) bool {
	if c == nil || len(c.Pools) == 0 {
		return true
	}
	_, ok := c.Pools[name]
	return ok
}

// Named returns the queue with a name, or nil.
func (c *Config) Named(name string) *Queue { return c.byName[name] }

// Current holds the newest configuration that the process has read. Its version never decreases.
type Current struct{ config atomic.Pointer[Config] }

// Load returns the configuration in force, or nil before the first.
func (c *Current) Load() *Config { return c.config.Load() }

// Advance puts a configuration in force if it is newer, and reports whether it is.
func (c *Current) Advance(next *Config) bool {
	for {
		current := c.config.Load()
		if current != nil && next.Version <= current.Version {
			return false
		}
		if c.config.CompareAndSwap(current, next) {
			return true
		}
	}
}
