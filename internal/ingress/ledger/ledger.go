// Package ledger decides which clients may hold a resource of a process, such as bytes of bodies or connections, and
// which ones must give theirs up for others.
//
// The load it handles: a thousand clients that each take as much as they are allowed and then send nothing or very
// little, from one address or from many, while ordinary callers come from the same addresses. The package uses no clock,
// network or goroutine; the caller passes the time and serialises the calls.
package ledger

import (
	"net/netip"
	"time"
)

// Policy bounds what holders have together. All amounts are in the unit of the resource.
type Policy struct {
	// Total bounds all holders. Large bounds the holders that have more than Small each, so that they leave room for the
	// usual ones.
	Total, Large, Small int64
	// PerClient bounds the holders with one address.
	PerClient int64
	// Stall is the time without progress after which a holder may be evicted; 0 if it may be at any time.
	Stall time.Duration
	// MinRate is the average rate below which a holder may be evicted, in units of progress a second. It applies after
	// Grace. 0 if the rate does not count.
	MinRate float64
	Grace   time.Duration
}

// Holder is a user of the resource. Its unexported fields are changed by the ledger only.
type Holder[T any] struct {
	// Value identifies the holder for the caller.
	Value         T
	client        netip.Addr
	began, latest time.Duration
	held          int64
	progressed    int64
	pinned, known bool
	evicted       bool
	index         int
}

// Evicted reports whether the holder must give up what it holds. Its Close is still to come.
func (h *Holder[T]) Evicted() bool { return h.evicted }

// Ledger holds the accounts of one resource.
type Ledger[T any] struct {
	policy  Policy
	holders []*Holder[T]
	clients map[netip.Addr]int64
	// held and large are the amounts of the holders that are not evicted; leaving is that of evicted ones.
	held, large, leaving int64
}

// New returns a ledger without holders.
func New[T any](p Policy) *Ledger[T] { return &Ledger[T]{policy: p, clients: map[netip.Addr]int64{}} }

// Open adds a holder that has nothing yet. It must be closed.
func (l *Ledger[T]) Open(now time.Duration, client netip.Addr, value T) *Holder[T] {
	h := &Holder[T]{Value: value, client: client, began: now, latest: now, index: len(l.holders)}
	l.holders = append(l.holders, h)
	return h
}

// Reserve lets a holder have n more, if need be by evicting others, which it returns. It reports false if there is no
// room; the holder then has what it had before.
func (l *Ledger[T]) Reserve(now time.Duration, h *Holder[T], n int64) (evicted []*Holder[T], ok bool) {
	if h.evicted || h.held+n > l.bound(h.held+n) || l.held+l.leaving+n > l.policy.Total+l.policy.Total/leavingShare {
		return nil, false
	}
	for {
		var among func(*Holder[T]) bool
		switch {
		case l.clients[h.client]+n > l.policy.PerClient:
			among = func(o *Holder[T]) bool { return o.client == h.client }
		case l.isLarge(h.held+n) && l.large+n+l.notYetLarge(h) > l.policy.Large:
			among = func(o *Holder[T]) bool { return l.isLarge(o.held) }
		case l.held+n > l.policy.Total:
			among = func(*Holder[T]) bool { return true }
		default:
			l.add(h, n)
			return evicted, true
		}
		victim := l.leastActive(now, h, among)
		if victim == nil {
			return evicted, false
		}
		l.evict(victim)
		evicted = append(evicted, victim)
	}
}

// leavingShare is the part of the total that evicted holders may still have while others take their place: they need a
// moment to give it up.
const leavingShare = 4

// bound returns the most that a holder with the given amount may have.
func (l *Ledger[T]) bound(held int64) int64 {
	if l.isLarge(held) {
		return min(l.policy.Large, l.policy.PerClient)
	}
	return min(l.policy.Total, l.policy.PerClient)
}

func (l *Ledger[T]) isLarge(held int64) bool { return held > l.policy.Small }

// notYetLarge returns what a holder has that will count as large with its next reservation.
func (l *Ledger[T]) notYetLarge(h *Holder[T]) int64 {
	if l.isLarge(h.held) {
		return 0
	}
	return h.held
}

// add changes the account of a holder by n.
func (l *Ledger[T]) add(h *Holder[T], n int64) {
	if l.isLarge(h.held) {
		l.large -= h.held
	}
	h.held += n
	l.held += n
	if l.isLarge(h.held) {
		l.large += h.held
	}
	if l.clients[h.client] += n; l.clients[h.client] == 0 {
		delete(l.clients, h.client)
	}
}

func (l *Ledger[T]) evict(h *Holder[T]) {
	held := h.held
	l.add(h, -held)
	h.held, h.evicted = held, true
	l.leaving += held
}

// leastActive returns the holder to evict in favour of h: one that never completed a request before one that has, then
// the one without progress for the longest time. It returns nil if all are pinned or make progress.
func (l *Ledger[T]) leastActive(now time.Duration, h *Holder[T], among func(*Holder[T]) bool) *Holder[T] {
	var victim *Holder[T]
	for _, o := range l.holders {
		if o == h || o.pinned || o.evicted || o.held == 0 || !among(o) || !l.inactive(now, o) {
			continue
		}
		if victim == nil || !o.known && victim.known || o.known == victim.known && o.latest < victim.latest {
			victim = o
		}
	}
	return victim
}

func (l *Ledger[T]) inactive(now time.Duration, h *Holder[T]) bool {
	age := now - h.began
	return now-h.latest >= l.policy.Stall ||
		l.policy.MinRate > 0 && age > l.policy.Grace && float64(h.progressed) < l.policy.MinRate*age.Seconds()
}

// Release gives back n of what a holder has.
func (l *Ledger[T]) Release(h *Holder[T], n int64) {
	if h.evicted {
		h.held -= n
		l.leaving -= n
		return
	}
	l.add(h, -n)
}

// Progress records that a holder has moved on by n.
func (l *Ledger[T]) Progress(now time.Duration, h *Holder[T], n int64) {
	h.latest = now
	h.progressed += n
}

// Pin protects a holder from eviction while the process works on its request.
func (l *Ledger[T]) Pin(h *Holder[T]) { h.pinned = true }

// Unpin ends the protection. known tells that the holder has completed a request; it is evicted after those that never
// have.
func (l *Ledger[T]) Unpin(h *Holder[T], known bool) {
	h.pinned = false
	h.known = h.known || known
}

// Close removes a holder with everything it has.
func (l *Ledger[T]) Close(h *Holder[T]) {
	l.Release(h, h.held)
	last := len(l.holders) - 1
	l.holders[last].index = h.index
	l.holders[h.index] = l.holders[last]
	l.holders[last] = nil
	l.holders = l.holders[:last]
}

// Held returns what all holders have, including the evicted ones.
func (l *Ledger[T]) Held() int64 { return l.held + l.leaving }

// Total returns the bound of all holders together.
func (l *Ledger[T]) Total() int64 { return l.policy.Total }

// Holders returns the number of holders.
func (l *Ledger[T]) Holders() int { return len(l.holders) }
