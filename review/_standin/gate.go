package main

import (
	"io"
	"net"
	"sync"
)

// gate is the network in front of a worker: a proxy at the worker's address. While it is cut, nothing passes and no
// connection is opened or closed. Connections to a life of the worker that has ended are reset by the next bytes that
// arrive, as by a machine that does not know them.
type gate struct {
	address string
	mu      sync.Mutex
	backend string
	// life counts the lives that were connected.
	life   int
	cut    bool
	healed chan struct{}
	// last is the newest life behind the gate; the lock of the pool guards it.
	last *worker
}

func newGate() *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	g := &gate{address: l.Addr().String(), healed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(c.(*net.TCPConn))
		}
	}()
	return g
}

// connect makes a new life of the worker the one behind the gate.
func (g *gate) connect(backend string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backend = backend
	g.life++
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// setCut cuts the gate off, or heals it.
func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut && !cut {
		close(g.healed)
		g.healed = make(chan struct{})
	}
	g.cut = cut
}

// pass waits until the gate is not cut, and reports whether a life is still the one behind it.
func (g *gate) pass(life int) bool {
	for {
		g.mu.Lock()
		cut, healed, current := g.cut, g.healed, g.life
		g.mu.Unlock()
		if !cut {
			return current == life
		}
		<-healed
	}
}

// serve carries one connection.
func (g *gate) serve(caller *net.TCPConn) {
	g.mu.Lock()
	cut, backend, life := g.cut, g.backend, g.life
	g.mu.Unlock()
	if cut {
		// The opening packet is lost; the caller gives up before it is sent again.
		_, _ = io.Copy(io.Discard, caller)
		_ = caller.Close()
		return
	}
	reset := func() {
		_ = caller.SetLinger(0)
		_ = caller.Close()
	}
	c, err := net.Dial("tcp", backend)
	if err != nil {
		reset()
		return
	}
	worker := c.(*net.TCPConn)
	go func() {
		defer func() { _ = worker.Close() }()
		b := make([]byte, 64<<10)
		for {
			n, err := caller.Read(b)
			if err != nil {
				return
			}
			if !g.pass(life) {
				reset()
				return
			}
			if _, err := worker.Write(b[:n]); err != nil {
				reset()
				return
			}
		}
	}()
	b := make([]byte, 64<<10)
	for {
		n, err := worker.Read(b)
		if n > 0 {
			if !g.pass(life) {
				return
			}
			if _, err := caller.Write(b[:n]); err != nil {
				_ = worker.Close()
				return
			}
		}
		if err != nil {
			// Behind a cut, the end of the connection is not seen; a crash elsewhere resets it.
			if !g.isCut() {
				reset()
			}
			return
		}
	}
}
