package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	api "clementinewalk.example/clementinewalk/internal/platform"
)

// MaxMembers bounds the number of instances, so that a faulty client cannot exhaust memory.
const MaxMembers = 20000

// List is an in-memory instance list.
type List struct {
	lag time.Duration
	ttl time.Duration
	now func() time.Time

	mu        sync.Mutex
	faults    ListFaults
	histories map[instance.ID]history
	// states holds the states that an administrator has set; they go in front of the registered ones.
	states map[instance.ID]instance.State
	stats  ListStats
}

var _ api.List = (*List)(nil)

// change is one registration or removal.
type change struct {
	at      time.Time
	member  instance.Member
	present bool
}

// history holds the changes of one instance in order of time, as far back as the read lag needs them.
type history []change

// at returns the entry as it was at t. An entry that was not refreshed within ttl is gone.
func (h history) at(t time.Time, ttl time.Duration) (instance.Member, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if c := h[i]; !c.at.After(t) {
			return c.member, c.present && (ttl <= 0 || t.Sub(c.at) < ttl)
		}
	}
	return instance.Member{}, false
}

// NewList returns an empty instance list. Readers see its state as it was lag ago; entries are forgotten when they are not
// refreshed for ttl. A zero ttl keeps them.
func NewList(lag, ttl time.Duration) *List {
	return &List{lag: lag, ttl: ttl, now: time.Now, histories: map[instance.ID]history{},
		states: map[instance.ID]instance.State{}}
}

// SetFaults replaces the faults.
func (l *List) SetFaults(f ListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// SetState makes readers see an instance in the given state, whatever it registers. The empty state ends that.
func (l *List) SetState(id instance.ID, s instance.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == "" {
		delete(l.states, id)
	} else {
		l.states[id] = s
	}
	if m, ok := l.histories[id].at(l.now(), l.ttl); ok {
		if s != "" {
			m.State = s
		}
		l.record(id, change{member: m, present: true})
	}
}

// Members implements platform.List.
func (l *List) Members(ctx context.Context, roles ...instance.Role) ([]instance.Member, error) {
	if err := l.delay(ctx, "list"); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reads++
	t := l.now().Add(-l.currentLag())
	out := make([]instance.Member, 0, len(l.histories))
	for _, h := range l.histories {
		m, ok := h.at(t, l.ttl)
		if ok && (len(roles) == 0 || slices.Contains(roles, m.Role)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b instance.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out, nil
}

// Register implements platform.List.
func (l *List) Register(ctx context.Context, m instance.Member) error {
	if m.ID == "" || m.Incarnation == "" {
		return &ArgumentError{Argument: "register", Detail: "id and incarnation must not be empty"}
	}
	if err := l.delay(ctx, "register"); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.histories[m.ID] == nil && len(l.histories) >= MaxMembers {
		l.forget()
		if len(l.histories) >= MaxMembers {
			return &ArgumentError{Argument: "register", Detail: "too many instances"}
		}
	}
	if s, ok := l.states[m.ID]; ok {
		m.State = s
	}
	l.stats.Registers++
	l.record(m.ID, change{member: m, present: true})
	return nil
}

// Deregister implements platform.List. It does nothing if the id belongs to another incarnation by now.
func (l *List) Deregister(ctx context.Context, id instance.ID, inc instance.Incarnation) error {
	if err := l.delay(ctx, "deregister"); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.histories[id].at(l.now(), l.ttl)
	if ok && m.Incarnation == inc {
		l.record(id, change{})
	}
	return nil
}

func (l *List) delay(ctx context.Context, op string) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Down {
		return &api.UnavailableError{Op: op, Err: &DownError{Part: "instance list"}}
	}
	if err := sleep(ctx, time.Duration(f.DelayMS)*time.Millisecond); err != nil {
		return &api.UnavailableError{Op: op, MayHaveApplied: true, Err: err}
	}
	return nil
}

func (l *List) currentLag() time.Duration {
	if l.faults.LagMS != nil {
		return time.Duration(*l.faults.LagMS) * time.Millisecond
	}
	return l.lag
}

// record adds a change and drops those that no reader can see any more.
func (l *List) record(id instance.ID, c change) {
	c.at = l.now()
	h := l.histories[id]
	seen := c.at.Add(-l.currentLag())
	for len(h) > 1 && !h[1].at.After(seen) {
		h = h[1:]
	}
	l.histories[id] = append(slices.Clip(h), c)
}

// forget removes the instances that were gone before the oldest time that readers can see.
func (l *List) forget() {
	t := l.now().Add(-l.currentLag())
	for id, h := range l.histories {
		last := h[len(h)-1]
		if _, ok := h.at(t, l.ttl); !ok && last.at.Before(t) {
			delete(l.histories, id)
		}
	}
}

// Faults returns the faults in force.
func (l *List) Faults() ListFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}
