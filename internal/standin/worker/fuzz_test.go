package worker

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Guards against a name that parses to a checkpoint other than the one that it was made from.
func FuzzParseCheckpoint(f *testing.F) {
	f.Add(Checkpoint{TaskRef: upstream.TaskRef{Job: "a/b", Index: 3, Attempt: 2}, Number: 4, Done: time.Second}.Name())
	f.Add("")
	f.Add("ck/x/99999999999999999999/1/1/1")
	f.Fuzz(func(t *testing.T, name string) {
		c, err := ParseCheckpoint(name)
		if err != nil || name == "" {
			return
		}
		again, err := ParseCheckpoint(c.Name())
		require.NoError(t, err)
		require.Equal(t, c, again)
		require.GreaterOrEqual(t, c.Done, time.Duration(0))
	})
}

// Guards against malformed control calls that make the worker panic or start a task without a lease.
func FuzzControl(f *testing.F) {
	for _, path := range []string{upstream.PathLease, upstream.PathStart, upstream.PathStop, upstream.PathThrottle,
		upstream.PathCheckpoint} {
		f.Add(path, `{"shard":"s","epoch":1,"job":"j","attempt":1,"ttl":-1,"fraction":2,"outcome":"done"}`)
	}
	l := NewLedger(slog.New(slog.DiscardHandler))
	f.Fuzz(func(t *testing.T, path, body string) {
		w := New(Config{ID: "w", Slots: 1, Capacity: resource.Vector{MilliCores: 10}}, l, slog.New(slog.DiscardHandler))
		defer w.Close()
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
		r.URL.Path = path
		w.ServeHTTP(httptest.NewRecorder(), r)
		tasks, busy := w.Load()
		require.Zero(t, tasks+busy)
	})
}

// Guards against a site whose count of workers or ports are out of range.
func FuzzParseSite(f *testing.F) {
	f.Add("brisbane=17@127.10.0.1:9000")
	f.Add("a=2000@[::1]:65535")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSite(text)
		if err != nil {
			return
		}
		require.LessOrEqual(t, int(s.First.Port())+s.Workers, 1<<16)
		require.Len(t, s.Configs(Config{}, 8), s.Workers)
	})
}
