// Command lab starts a small deployment of clementine-node with stand-ins of the store, the workers and the callers, and plays
// one case of the review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// maxTime bounds the time of a case.
const maxTime = 118 * time.Second

// world is a running deployment with its callers.
type world struct {
	f       *fleet
	d       *deployment
	c       *client
	q       map[string]*queue
	trouble bool
	seed    uint64
	version int
}

var queues = []*queue{
	{name: "r-quick", host: "quotes.example", prefix: "/quick/", service: "quotedesk", priority: 0, maxAttempts: 2},
	{name: "r-rebid", host: "quotes.example", prefix: "/rebid/", service: "quotedesk", priority: 2, maxAttempts: 4},
	{name: "r-watch", host: "quotes.example", prefix: "/watch/", service: "quotedesk", priority: 0, maxAttempts: 3},
}

// newWorld starts nodes and workers and waits until callers are served.
func newWorld(nodes, workers int, seed uint64, guards bool) *world {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	record, err := os.Create(path)
	check(err)
	time.AfterFunc(maxTime, func() {
		fmt.Fprintln(os.Stderr, "the case cannot run: it takes too long")
		// The nodes end with this process.
		os.Exit(2)
	})
	s := newStore()
	w := &world{f: newFleet(s, record, seed, guards), q: map[string]*queue{}, trouble: os.Getenv("TROUBLE") != "0", seed: seed}
	for _, q := range queues {
		w.q[q.name] = q
	}
	w.putConfig()
	for i := range workers {
		w.f.addWorker(fmt.Sprintf("i-%08x", 0x7f3a0000+i*7919), "quotedesk", zones[i%4], []string{"a", fmt.Sprintf("r%d-%d", i%4, i/8)}, 64000, 256000)
	}
	w.d = newDeployment(w.f, nodes, seed)
	w.c = newClient(w.d, seed)
	for range 150 {
		time.Sleep(100 * time.Millisecond)
		if w.d.owner() != nil {
			ready := 0
			for _, n := range w.d.nodes {
				if status, _ := w.c.call(n, "GET", queues[0], "", nil); status == 200 {
					ready++
				}
			}
			if ready == len(w.d.nodes) {
				time.Sleep(time.Second)
				w.f.note("all nodes serve; owner %s", w.d.owner().name)
				return w
			}
		}
	}
	fmt.Fprintln(os.Stderr, "the case cannot run: the nodes do not serve")
	w.d.stop()
	os.Exit(2)
	return nil
}

func (w *world) putConfig() {
	w.version += 3
	routes := []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.name, "host": q.host, "path_prefix": q.prefix, "kind": "unsafe",
			"timeout_ms": 3000, "slo_ms": 1000, "priority": q.priority, "service": q.service, "max_attempts": q.maxAttempts, "stretch": 2.0})
	}
	b, err := json.Marshal(map[string]any{"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": "quotedesk", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"enforces_capacity": w.f.guards, "spare": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	check(err)
	w.f.store.put("keyed.op", "config", b)
}

// end ends the processes and returns the exit code.
func (w *world) end() int {
	w.f.mu.Lock()
	w.f.judgeEnds()
	broken := w.f.broken
	w.f.stopped = true
	w.f.mu.Unlock()
	w.d.stop()
	if len(broken) > 0 {
		fmt.Printf("broken: %d times, first: %s\n", len(broken), broken[0])
		return 1
	}
	fmt.Println("the rules held")
	return 0
}

// cannotRun ends the processes of a case that could not be played.
func (w *world) cannotRun(why string) int {
	fmt.Fprintln(os.Stderr, "the case cannot run:", why)
	w.d.stop()
	return 2
}

// broke notes a broken rule.
func (w *world) broke(rule, format string, args ...any) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.f.breaks(rule, format, args...)
}

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]]())
}
