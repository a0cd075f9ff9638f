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

func launch(t *testing.T, log platform.Log) (*Follower, func()) {
	f := NewFollower(log, nil, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	return f, func() {
		cancel()
		require.NoError(t, <-done)
	}
}

// Guards against retention that drops the version in force while processes run, and against processes that all repeat the
// publication at the same time.
func TestVersionOutlivesRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog(standin.Limits{MaxAge: 12 * time.Hour}, 1)
		first := publish(t, log, 1)
		var followers []*Follower
		for range 4 {
			f, stop := launch(t, log)
			defer stop()
			followers = append(followers, f)
		}
		const days = 2
		time.Sleep(days * 24 * time.Hour)
		fresh, stop := launch(t, log)
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

// hangingLog answers no read while it hangs; a read that has begun never gets an answer.
type hangingLog struct {
	*standin.Log
	hangs atomic.Bool
}

func (l *hangingLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.Page, error) {
	if l.hangs.Load() {
		<-ctx.Done()
		return platform.Page{}, &platform.UnavailableError{Op: "read", Err: ctx.Err()}
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// Guards against a publication that takes more than 8 s to be in force because a reader waits on a lost connection or
// pauses after an outage.
func TestInForceWithinEightSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &hangingLog{Log: standin.NewLog(standin.Limits{}, 1)}
		f, stop := launch(t, log)
		defer stop()
		first := publish(t, log.Log, 1)
		synctest.Wait()
		require.Equal(t, first, offsetOf(f), "a waiting read ends with the publication")

		log.hangs.Store(true)
		publish(t, log.Log, 2) // Ends the read in progress; the next one hangs.
		synctest.Wait()
		third := publish(t, log.Log, 3)
		log.hangs.Store(false)
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

// Guards against a log that is slow for long and whose readers give up every read before it is answered.
func TestSlowLogIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.NewLog(standin.Limits{}, 1)
		first := publish(t, log, 1)
		log.SetFaults(standin.LogFaults{DelayMS: 9000})
		f, stop := launch(t, log)
		defer stop()
		time.Sleep(time.Minute)
		require.Equal(t, first, offsetOf(f))
	})
}
