package platform

import (
	"context"
	"slices"
	"time"
)

// LogFaults are the faults of the log service. The zero value is a healthy service.
type LogFaults struct {
	// Down refuses every call; DownAppends and DownReads refuse one direction.
	Down        bool `json:"down,omitempty"`
	DownAppends bool `json:"down_appends,omitempty"`
	DownReads   bool `json:"down_reads,omitempty"`
	// DelayMS is added to every call. A random part of it passes before the call takes effect, the rest after it.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LoseAnswers is the probability that the answer to an append is lost after its effect, LoseCalls the probability that the
	// append itself is lost. The client cannot tell the two apart.
	LoseAnswers float64 `json:"lose_answers,omitempty"`
	LoseCalls   float64 `json:"lose_calls,omitempty"`
	// Streams limits all faults to these streams; empty means all streams.
	Streams []string `json:"streams,omitempty"`
}

func (f LogFaults) covers(stream string) bool {
	return len(f.Streams) == 0 || slices.Contains(f.Streams, stream)
}

func (f LogFaults) downFor(stream string, read bool) bool {
	down := f.Down || (read && f.DownReads) || (!read && f.DownAppends)
	return down && f.covers(stream)
}

// ListFaults are the faults of the instance list. The zero value is a healthy service.
type ListFaults struct {
	Down    bool  `json:"down,omitempty"`
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LagMS replaces the list's read lag if it is not nil.
	LagMS *int64 `json:"lag_ms,omitempty"`
}

// DownError is the cause of calls that fail because a fault is switched on.
type DownError struct{ Part string }

// Error implements error.
func (e *DownError) Error() string { return e.Part + " is switched off" }

// LostError is the cause of appends whose call or answer was lost.
type LostError struct{}

// Error implements error.
func (e *LostError) Error() string { return "connection was lost before the answer" }

// ArgumentError reports a call with an argument that is not allowed.
type ArgumentError struct {
	Argument string
	Detail   string
}

// Error implements error.
func (e *ArgumentError) Error() string { return e.Argument + ": " + e.Detail }

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
