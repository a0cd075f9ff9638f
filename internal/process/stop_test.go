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

func drainServer(t *testing.T, d Drain) (url string, stop func() time.Time, served chan error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }), time.Second)
	served = make(chan error, 1)
	go func() { served <- ServeDraining(ctx, s, ln, d) }()
	return "http://" + ln.Addr().String(), func() time.Time { cancel(); return time.Now() }, served
}

// Guards against requests that are cut off because connections are closed while callers still use them.
func TestDrainingServerAnswersWhileRequestsCome(t *testing.T) {
	url, stop, served := drainServer(t, Drain{Lead: 100 * time.Millisecond, Quiet: 150 * time.Millisecond, Limit: 5 * time.Second, Finish: time.Second})
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
	case err := <-served:
		require.NoError(t, err)
	case <-time.After(2 * time.Second):
		t.Fatal("a quiet server does not end")
	}
}

// Guards against a stop that outlasts the time until the kill.
func TestDrainingServerEndsInTime(t *testing.T) {
	url, stop, served := drainServer(t, Drain{Lead: 50 * time.Millisecond, Quiet: time.Second, Limit: 300 * time.Millisecond, Finish: time.Second})
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
	require.NoError(t, <-served)
	assert.Less(t, time.Since(began), 900*time.Millisecond)
	<-done
}
