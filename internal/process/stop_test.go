package process

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startDrainingServer starts a server and returns its URL, a function that begins its shutdown and returns the current
// time, and the channel with the result of ServeUntilDrained.
func startDrainingServer(t *testing.T, d Drain) (url string, stop func() time.Time, serveResult chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}), time.Second)
	serveResult = make(chan error, 1)
	go func() { serveResult <- ServeUntilDrained(ctx, s, ln, d) }()
	return "http://" + ln.Addr().String(), func() time.Time { cancel(); return time.Now() }, serveResult
}

// Guards against requests that fail because a draining server closes connections that callers still use.
func TestDrainingServerAnswersWhileRequestsCome(t *testing.T) {
	url, stop, serveResult := startDrainingServer(t,
		Drain{MinDrain: 100 * time.Millisecond, QuietPeriod: 150 * time.Millisecond, MaxDrain: 5 * time.Second,
			ShutdownTimeout: time.Second})
	client := &http.Client{Transport: &http.Transport{}}
	get := func() bool {
		r, err := client.Get(url)
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
		return r.Close
	}
	assert.False(t, get(), "connections are kept before the stop")
	stop()
	time.Sleep(10 * time.Millisecond)
	for until := time.Now().Add(600 * time.Millisecond); time.Now().Before(until); time.Sleep(30 * time.Millisecond) {
		assert.True(t, get(), "answers during the stop close their connection")
	}
	select {
	case err := <-serveResult:
		require.NoError(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("the server did not stop after a time without requests")
	}
}

// Guards against a shutdown that exceeds its time limit while requests keep arriving, so that the process is killed.
func TestDrainingServerEndsInTime(t *testing.T) {
	url, stop, serveResult := startDrainingServer(t,
		Drain{MinDrain: 50 * time.Millisecond, QuietPeriod: time.Second, MaxDrain: 300 * time.Millisecond,
			ShutdownTimeout: time.Second})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			r, err := http.Get(url)
			if err != nil {
				return
			}
			_ = r.Body.Close()
		}
	}()
	time.Sleep(50 * time.Millisecond)
	began := stop()
	require.NoError(t, <-serveResult)
	assert.Less(t, time.Since(began), 900*time.Millisecond)
	<-done
}
