package agent

import (
	"sync"
	"time"
)

const (
	// pauseCheckInterval is the time between two checks for a pause of the process.
	pauseCheckInterval = 50 * time.Millisecond
	// maxPause is the longest time without a check that is not taken for a pause. It is shorter than the time after which
	// an owner ends the session of an agent that is silent.
	maxPause = 700 * time.Millisecond
)

// PausedError is the end of a session whose agent did not run for a while, so that the age of its calls is unknown.
type PausedError struct{}

// Error implements error.
func (e *PausedError) Error() string { return "the agent was paused" }

// pauses notices that the process was paused or its machine suspended.
type pauses struct {
	// now reads a clock that includes the time for which the machine was suspended.
	now func() time.Duration
	mu  sync.Mutex
	// checkedAt is the time of the newest check. Checks are made while there are users.
	checkedAt time.Duration
	users     int
	stop      chan struct{}
	// paused is closed at the next pause.
	paused chan struct{}
}

// join returns a channel that is closed at the next pause. leave ends the use of it.
func (p *pauses) join() (paused <-chan struct{}, leave func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.users++; p.users == 1 {
		p.checkedAt, p.paused, p.stop = p.now(), make(chan struct{}), make(chan struct{})
		go p.run(p.stop)
	}
	p.check()
	return p.paused, p.leave
}

func (p *pauses) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.users--; p.users == 0 {
		close(p.stop)
	}
}

func (p *pauses) run(stop <-chan struct{}) {
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			p.observe()
		}
	}
}

// observe notices a pause that has just ended. Whoever acts on what may have waited since before a pause calls it first.
func (p *pauses) observe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.check()
}

func (p *pauses) check() {
	now := p.now()
	if now-p.checkedAt > maxPause {
		close(p.paused)
		p.paused = make(chan struct{})
	}
	p.checkedAt = now
}
