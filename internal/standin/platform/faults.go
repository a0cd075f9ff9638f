package platform

import (
	"context"
	"slices"
	"time"
)

// LogFaults are the injected faults of the log service. The zero value is a healthy service.
type LogFaults struct {
	// Down fails every call; DownAppends and DownReads fail the appends or the reads only.
	Down        bool `json:"down,omitempty"`
	DownAppends bool `json:"down_appends,omitempty"`
	DownReads   bool `json:"down_reads,omitempty"`
	// DelayMS is added to every call, in milliseconds. A read waits before it takes effect. An append waits for a
	// random part of the delay before it takes effect and for the rest afterwards.
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LostAnswerProbability is the probability that an append takes effect but its answer is lost, LostCallProbability
	// the probability that the append is lost without an effect. The client sees the same error in both cases.
	LostAnswerProbability float64 `json:"lose_answers,omitempty"`
	LostCallProbability   float64 `json:"lose_calls,omitempty"`
	// Streams restricts all faults to these streams; empty means all streams.
	Streams []string `json:"streams,omitempty"`
}

// targets reports whether the faults apply to a stream. Without a list of streams they apply to all.
func (f LogFaults) targets(stream string) bool {
	return len(f.Streams) == 0 || slices.Contains(f.Streams, stream)
}

// downFor reports whether a call for a stream fails: a read if read is set, an append otherwise.
func (f LogFaults) downFor(stream string, read bool) bool {
	down := f.Down || (read && f.DownReads) || (!read && f.DownAppends)
	return down && f.targets(stream)
}

// ListFaults are the injected faults of the instance list. The zero value is a healthy service.
type ListFaults struct {
	Down    bool  `json:"down,omitempty"`
	DelayMS int64 `json:"delay_ms,omitempty"`
	// LagMS overrides the read lag of the list, in milliseconds, if it is not nil.
	LagMS *int64 `json:"lag_ms,omitempty"`
}

// DownError is the cause of a call that fails because of an injected outage.
type DownError struct{ Part string }

// Error implements error.
func (e *DownError) Error() string { return e.Part + " is down: outage injected" }

// LostError is the cause of an append whose call or answer was lost because of an injected fault.
type LostError struct{}

// Error implements error.
func (e *LostError) Error() string { return "connection lost before the answer was received" }

// ArgumentError reports a call with an invalid argument.
type ArgumentError struct {
	Argument string
	Detail   string
}

// Error implements error.
func (e *ArgumentError) Error() string { return e.Argument + ": " + e.Detail }

// sleep waits for d. It returns the error of ctx if ctx ends first.
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
