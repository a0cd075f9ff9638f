// Package agent carries out the owner's calls to workers on other instances. One instance cannot make all calls of a
// large fleet: each costs processor time and bandwidth, and a call that waits too long for either looks like a worker
// that does not answer. The owner decides; the agents, one on every instance, only pass its calls on to the workers near
// them and return the answers.
//
// An agent holds no state that matters: leases and epochs are in the calls, and workers refuse those of a superseded
// owner whoever sends them. A call whose agent fails counts as unanswered, like any other call without an answer.
//
// The owner keeps one session, a stream in each direction, with each agent that it uses. Calls and answers are collected
// for a few milliseconds and sent as one frame.
package agent

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

const (
	// A session collects calls or answers for batchDelay before it sends them. On links slower than slowLinkBytes per
	// second it is slowBatchDelay, because each packet has a header and is acknowledged.
	batchDelay     = 4 * time.Millisecond
	slowBatchDelay = 20 * time.Millisecond
	slowLinkBytes  = 1 << 20
	// frameTimeout limits the time to write one frame. The peer of a session that is slower counts as lost.
	frameTimeout = time.Second
	// maxFrameBytes limits a frame. maxFrameCalls limits the calls or answers in it.
	maxFrameBytes = 4 << 20
	maxFrameCalls = 512
	// maxSpecs is the number of submissions whose specification a session remembers, so that it is sent once and not
	// with each start.
	maxSpecs = 1024
)

func delayFor(linkBytesPerSecond float64) time.Duration {
	if linkBytesPerSecond > 0 && linkBytesPerSecond < slowLinkBytes {
		return slowBatchDelay
	}
	return batchDelay
}

// LostError reports that the answer to a call through an agent did not arrive in time, or before the session ended. The
// call may have been carried out. It does not unwrap: the session says nothing about the connection to the worker.
type LostError struct {
	Instance string
	Err      error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("no answer through agent %s: %v", e.Instance, e.Err)
}

// FrameError reports bytes that are not a frame of this package.
type FrameError struct{ Problem string }

// Error implements error.
func (e *FrameError) Error() string { return "malformed frame: " + e.Problem }

// RemoteError is the reason why a worker did not answer an agent. Unwrap returns io.EOF or syscall.ECONNREFUSED if the
// connection was closed or refused, and nil otherwise.
type RemoteError struct {
	Text  string
	Cause error
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Text }

// Unwrap returns the cause.
func (e *RemoteError) Unwrap() error { return e.Cause }

// isLost reports whether a call was lost with its session.
func isLost(err error) bool {
	var lost *LostError
	return errors.As(err, &lost)
}
