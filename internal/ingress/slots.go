package ingress

import (
	"net"
	"net/netip"

	"clementinewalk.example/clementinewalk/internal/ingress/ledger"
)

// Slots bounds connections that are not those of an HTTP server, such as QUIC connections and the sessions on them.
type Slots struct {
	account *account[*Slot]
	gate    *Gate
}

// Slot is the place of one connection. Until MayClose is called it is not given up for others.
type Slot struct {
	slots  *Slots
	holder *ledger.Holder[*Slot]
	close  func()
}

// PeerSlots returns the slots for QUIC connections. It is called once.
func (g *Gate) PeerSlots() *Slots {
	return &Slots{gate: g, account: newAccount[*Slot](g, "peer_connections", connectionPolicy(g.limits.peers))}
}

// SessionSlots returns the slots for sessions of owners. It is called once.
func (g *Gate) SessionSlots() *Slots {
	p := connectionPolicy(g.limits.sess)
	p.Stall, p.PerClient = sessionStall, p.Total
	return &Slots{gate: g, account: newAccount[*Slot](g, "sessions", p)}
}

// Take returns a slot, which must be released, or a *RefusedError.
func (s *Slots) Take(client net.Addr) (*Slot, error) {
	addr, _ := netip.ParseAddrPort(client.String())
	slot := &Slot{slots: s}
	var ok bool
	if slot.holder, ok = s.account.open(addr.Addr(), slot, 1, true); !ok {
		s.gate.Report("connection refused, all others are in use", "client", client, "resource", s.account.name)
		return nil, s.gate.refuse(causeConnection)
	}
	return slot, nil
}

// Busy reports whether more than half of the slots are taken.
func (s *Slots) Busy() bool {
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	return s.account.ledger.Held() > s.account.ledger.Total()/2
}

// MayClose allows that the slot is given up for another connection. Then close is called, which must not block.
func (s *Slot) MayClose(close func()) {
	s.close = close
	s.slots.account.unpin(s.holder, false)
}

// Progress records that n bytes have arrived. known tells that they were a valid message.
func (s *Slot) Progress(n int, known bool) {
	s.slots.account.progress(s.holder, n)
	if known {
		s.slots.account.unpin(s.holder, true)
	}
}

// Release gives the slot back. It is called once.
func (s *Slot) Release() { s.slots.account.close(s.holder) }

func (s *Slot) evict() { s.close() }
