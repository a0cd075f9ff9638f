package config

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/platform"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
)

// The tests in this file run in simulated time.

// startStoppableFollower returns a running follower and a function that stops it.
func startStoppableFollower(t *testing.T, log platform.Log) (*Follower, func()) {
	f := NewFollower(log, nil, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	return f, func() {
		cancel()
		require.NoError(t, <-done)
	}
}

// Guards against retention that removes the active version while processes run, and against all processes publishing it
// again at the same time.
func TestVersionOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog(standin.Limits{MaxAge: 12 * time.Hour}, 1)
		first := publish(t, log, 1)
		var followers []*Follower
		for range 4 {
			f, stop := startStoppableFollower(t, log)
			defer stop()
			followers = append(followers, f)
		}
		const days = 2
		time.Sleep(days * 24 * time.Hour)
		fresh, stop := startStoppableFollower(t, log)
		defer stop()
		time.Sleep(time.Minute)
		require.NotNil(t, fresh.Current())
		require.Equal(t, 1, fresh.Current().Manifest.Policies.QueueLimit)
		require.Greater(t, offsetOf(fresh), first)
		for _, f := range followers {
			require.Equal(t, offsetOf(fresh), offsetOf(f))
		}
		require.Less(t, offsetOf(fresh), uint64(days*24/6*len(followers)/2), "repeated publications")
	})
}

// unresponsiveLog does not answer reads that begin while hanging is set; they end with their context.
type unresponsiveLog struct {
	*standin.Log
	hanging atomic.Bool
}

func (l *unresponsiveLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (platform.Page, error) {
	if l.hanging.Load() {
		<-ctx.Done()
		return platform.Page{}, &platform.UnavailableError{Op: "read", Err: ctx.Err()}
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Guards against a publication that takes more than 8 s to become active because a reader waits for an answer on a
// broken connection, or waits too long between retries after an outage.
func TestInForceWithinEightSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &unresponsiveLog{Log: standin.NewLog(standin.Limits{}, 1)}
		f, stop := startStoppableFollower(t, log)
		defer stop()
		first := publish(t, log.Log, 1)
		synctest.Wait()
		require.Equal(t, first, offsetOf(f), "a waiting read ends with the publication")

		log.hanging.Store(true)
		publish(t, log.Log, 2) // Ends the read in progress; the next one is not answered.
		synctest.Wait()
		third := publish(t, log.Log, 3)
		log.hanging.Store(false)
		start := time.Now()
		<-f.Changed()
		require.Equal(t, third, offsetOf(f))
		require.LessOrEqual(t, time.Since(start), 8*time.Second, "lost connection")

		log.SetFaults(standin.LogFaults{Down: true})
		time.Sleep(10 * time.Minute)
		log.SetFaults(standin.LogFaults{})
		start = time.Now()
		fourth := publish(t, log.Log, 4)
		<-f.Changed()
		require.Equal(t, fourth, offsetOf(f))
		require.LessOrEqual(t, time.Since(start), 2*time.Second, "outage")
	})
}

// Guards against readers that time out on every read of a log that stays slow.
func TestSlowLogIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog(standin.Limits{}, 1)
		first := publish(t, log, 1)
		log.SetFaults(standin.LogFaults{DelayMS: 9000})
		f, stop := startStoppableFollower(t, log)
		defer stop()
		time.Sleep(time.Minute)
		require.Equal(t, first, offsetOf(f))
	})
}
