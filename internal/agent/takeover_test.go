package agent

import (
	"flag"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var takeoverSeed = flag.Uint64("takeover.seed", 1, "seed of the tests of takeovers")

// Guards against lapsed, lost and doubled attempts when the owner and half of the other instances are lost during a
// burst.
func TestOwnerAndHalfOfTheAgentsAreLost(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3**takeoverSeed)
	stop := s.load()
	time.Sleep(1500 * time.Millisecond)
	owner := s.currentOwner()
	require.NotNil(t, owner)
	others := s.others(owner)
	var burst sync.WaitGroup
	burst.Go(s.burst)
	time.Sleep(s.random(burstSubmissions * burstInterval))
	lost := time.Now()
	for _, i := range append(others[:len(others)/2:len(others)/2], owner) {
		s.freeze(i, true)
	}
	burst.Wait()
	s.awaitTakeover(owner, lost)
	time.Sleep(2 * time.Second)
	stop()
	s.verify()
}

// Guards against lapsed and doubled attempts when an agent stops for a while, with and without its connections, and then
// carries out what it had received.
func TestAgentFreezesAndReturns(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3**takeoverSeed+1)
	stop := s.load()
	for _, transport := range []bool{true, false} {
		owner := s.currentOwner()
		require.NotNil(t, owner)
		agent := s.busiestAgent(owner, time.Second)
		frozen := time.Now()
		s.freeze(agent, transport)
		s.burst()
		time.Sleep(2*time.Second - time.Since(frozen))
		unread := s.thaw(agent)
		assert.Positive(t, unread, "bytes of calls that arrived meanwhile")
		time.Sleep(500 * time.Millisecond)
		t.Logf("%s returned to %d bytes of calls, transport stopped: %t", agent.name, unread, transport)
		assert.Equal(t, owner.name, s.ownerName(), "the owner keeps the ownership")
	}
	time.Sleep(time.Second)
	stop()
	s.verify()
}

// Guards against a paused owner that acts after its successor, itself or through an agent that was paused with it.
func TestPausedOwnerReturns(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3**takeoverSeed+2)
	stop := s.load()
	owner := s.currentOwner()
	require.NotNil(t, owner)
	agent := s.busiestAgent(owner, time.Second)
	pause := 3*time.Second + s.random(800*time.Millisecond)
	s.freeze(agent, true)
	s.burst()
	paused := time.Now()
	s.freeze(owner, true)
	next := s.awaitTakeover(owner, paused)
	time.Sleep(pause - time.Since(paused))
	fencedBefore := s.fleet.refused()
	// The log stays out of reach, so that only workers can tell the owner of its successor.
	owner.logGate.close()
	unread := s.thaw(agent)
	s.thaw(owner)
	returned := time.Now()
	assert.Eventually(t, func() bool { return !owner.owns.Load() }, time.Second, time.Millisecond,
		"the paused owner steps down")
	t.Logf("paused for %d ms, stepped down after %d ms, %d bytes of calls at the agent", time.Since(paused).Milliseconds(),
		time.Since(returned).Milliseconds(), unread)
	time.Sleep(500 * time.Millisecond)
	owner.logGate.open(false)
	time.Sleep(500 * time.Millisecond)
	assert.False(t, owner.owns.Load())
	assert.Equal(t, next.name, s.ownerName())
	assert.Greater(t, s.fleet.refused(), fencedBefore, "workers refuse calls of the paused owner")
	stop()
	s.verify()
}
