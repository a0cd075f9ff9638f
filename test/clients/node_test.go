package clients

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
	"clementinewalk.example/clementinewalk/platform"
	"clementinewalk.example/clementinewalk/platform/storetest"
)

// serveStore serves a log in the format of the platform's store.
func serveStore(t *testing.T, log *memlog.Log) string {
	s := httptest.NewServer(storetest.NewHandler(log, 0))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// node is a process of clementine-node with the addresses of its ports.
type node struct {
	*server
	callers, ready, metrics string
	// relay is the published endpoint for calls of other instances.
	relay catalog.Endpoint
}

// startNode starts clementine-node against a stand-in of the store and waits until it is ready and has published its
// relay.
func startNode(t *testing.T, programs string) *node {
	log := memlog.New()
	config, err := json.Marshal(map[string]any{"version": 1,
		"services": []any{map[string]any{"name": "s", "enforces_capacity": true}},
		"routes": []any{map[string]any{"name": "q", "host": "h", "path_prefix": "/q/", "service": "s",
			"max_attempts": 3, "stretch": 2, "slo_ms": 1000}}})
	require.NoError(t, err)
	_, err = log.Append(t.Context(), platform.TopicConfig, nil,
		[]eventlog.Entry{{Key: platform.ConfigKey, Value: config}})
	require.NoError(t, err)
	n := &node{callers: freeAddr(t), ready: freeAddr(t), metrics: freeAddr(t)}
	port := func(addr string) int { return int(netip.MustParseAddrPort(addr).Port()) }
	internal := port(freeAddr(t))
	settings, err := json.Marshal(map[string]any{"node": "n1", "zone": "z",
		"listen":              map[string]string{"front": n.callers, "ready": n.ready},
		"internal_port_range": []int{internal, internal},
		"limits":              map[string]any{"memory_mb": memoryMB, "max_fds": maxDescriptors, "cpu_share": 1, "cores": 1},
		"platform":            map[string]any{"address": serveStore(t, log)}})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "boot.json")
	require.NoError(t, os.WriteFile(path, settings, 0o600))
	n.server = startProcess(t, "clementine-node", []string{platform.SettingsVariable + "=" + path,
		"CLEMENTINE_NODE_METRICS_PORT=" + strconv.Itoa(port(n.metrics))}, filepath.Join(programs, "clementine-node"))
	require.Eventually(t, func() bool { return statusOf(http.MethodGet, n.ready, "h", "/api/ready", "") == http.StatusOK },
		startLimit, 50*time.Millisecond, "the node is not ready")
	require.Eventually(t, func() bool {
		p, err := log.Newest(t.Context(), platform.TopicSubmissions)
		require.NoError(t, err)
		c := catalog.New(discard)
		c.ApplySubmissions(eventlog.Batch{Entries: p.Entries})
		for _, e := range c.Peers("other", 1) {
			n.relay = e
		}
		return n.relay.Addr != ""
	}, startLimit, 50*time.Millisecond, "the relay is not published")
	return n
}
