package clients

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
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
)

// serveStore serves a log in the format of the platform's store.
func serveStore(t *testing.T, log *memlog.Log) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		number := func(name string) int64 { n, _ := strconv.ParseInt(q.Get(name), 10, 64); return n }
		switch r.URL.Path {
		case "/api/log-append":
			b, _ := io.ReadAll(r.Body)
			var p *eventlog.Producer
			if q.Has("producer") {
				p = &eventlog.Producer{Name: q.Get("producer"), Epoch: number("epoch"), Sequence: number("seq")}
			}
			offset, err := log.Append(r.Context(), q.Get("topic"), p, decodeRecords(b))
			if err != nil {
				w.WriteHeader(http.StatusConflict)
				return
			}
			_, _ = fmt.Fprintf(w, `{"offset":%d}`, offset)
		case "/api/log-read":
			p, err := log.Read(r.Context(), q.Get("topic"), number("from"),
				time.Duration(number("wait_ms"))*time.Millisecond)
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write(encodePage(p))
		case "/api/log-newest":
			p, _ := log.Newest(r.Context(), q.Get("topic"))
			items := []map[string]any{}
			for _, e := range p.Entries {
				items = append(items, map[string]any{"key": e.Key, "offset": e.Offset,
					"value": base64.StdEncoding.EncodeToString(e.Value)})
			}
			_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "end": p.End})
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// encodePage returns the end of the log, a number that is not used, and each record with its length.
func encodePage(p eventlog.Page) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(p.End))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, e := range p.Entries {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(e.Key)+len(e.Value)))
		b = append(append(append(b, byte(len(e.Key))), e.Key...), e.Value...)
	}
	return b
}

func decodeRecords(b []byte) []eventlog.Entry {
	var out []eventlog.Entry
	for len(b) > 4 {
		n := binary.BigEndian.Uint32(b)
		record := b[4 : 4+n]
		key := 1 + int(record[0])
		e := eventlog.Entry{Key: string(record[1:key])}
		if key < len(record) {
			e.Value = append([]byte(nil), record[key:]...)
		}
		out, b = append(out, e), b[4+n:]
	}
	return out
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
