package node

import (
	"io"
	"log/slog"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/eventlog"
)

// decodeTestClosure takes the keys with a prefix as data centres, and the value "?" as unreadable.
func decodeTestClosure(e eventlog.Entry) (evacuation.Record, bool) {
	name, ok := strings.CutPrefix(e.Key, "closed/")
	r := evacuation.Record{DataCentre: name, Content: evacuation.Closed, Offset: e.Offset}
	switch string(e.Value) {
	case "":
		r.Content = evacuation.Open
	case "?":
		r.Content = evacuation.Unreadable
	}
	return r, ok
}

// Guards against metrics that do not show which data centres are closed, and against other entries of the topic that count
// as closures.
func TestClosures(t *testing.T) {
	registry := prometheus.NewRegistry()
	c := newClosures(decodeTestClosure, slog.New(slog.NewTextHandler(io.Discard, nil)), registry)
	entry := func(key, value string, offset int64) eventlog.Entry {
		return eventlog.Entry{Key: key, Value: []byte(value), Offset: offset}
	}
	apply := func(b eventlog.Batch, want evacuation.Set, unreadable int) {
		t.Helper()
		assert.Equal(t, want, c.apply(b))
		assert.Equal(t, len(want), testutil.CollectAndCount(c.closed))
		for name := range want {
			assert.InDelta(t, 1, testutil.ToFloat64(c.closed.WithLabelValues(name)), 0)
		}
		assert.InDelta(t, unreadable, testutil.ToFloat64(c.unreadable), 0)
	}
	apply(eventlog.Batch{Reset: true, Entries: []eventlog.Entry{entry("config", "x", 1), entry("closed/tema", "x", 2)}},
		evacuation.Set{"tema": {}}, 0)
	apply(eventlog.Batch{Entries: []eventlog.Entry{entry("closed/accra", "x", 3), entry("closed/tema", "?", 4)}},
		evacuation.Set{"tema": {}, "accra": {}}, 1)
	apply(eventlog.Batch{Entries: []eventlog.Entry{entry("closed/tema", "", 5)}}, evacuation.Set{"accra": {}}, 1)
	apply(eventlog.Batch{}, evacuation.Set{"accra": {}}, 1)
	apply(eventlog.Batch{Reset: true, Next: 9, Entries: []eventlog.Entry{entry("config", "x", 1)}}, evacuation.Set{}, 1)
}
