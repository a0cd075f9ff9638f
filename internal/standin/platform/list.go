package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	api "clementinewalk.example/clementinewalk/internal/platform"
)

// MaxMembers is the largest number of instances. It keeps a faulty client from exhausting the memory.
const MaxMembers = 20000

// List is an in-memory instance list. It is safe for concurrent use.
type List struct {
	// lag is the read lag, unless the faults override it.
	lag time.Duration
	// ttl is the time after which an entry expires without a refresh.
	ttl time.Duration
	now func() time.Time

	mu        sync.Mutex
	faults    ListFaults
	histories map[instance.ID]history
	// stateOverrides holds the states that an administrator has set. They take precedence over the registered states.
	stateOverrides map[instance.ID]instance.State
	stats          ListStats
}

var _ api.List = (*List)(nil)

// change is a registration, or a removal if present is false.
type change struct {
	at      time.Time
	member  instance.Member
	present bool
}

// history holds the changes of one instance, oldest first, as far back as the read lag requires.
type history []change

// at returns the entry as it was at t and whether it existed. An entry that is not refreshed within ttl expires; a ttl
// of zero means that entries do not expire.
func (h history) at(t time.Time, ttl time.Duration) (instance.Member, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if c := h[i]; !c.at.After(t) {
			return c.member, c.present && (ttl <= 0 || t.Sub(c.at) < ttl)
		}
	}
	return instance.Member{}, false
}

// NewList returns an empty instance list. Readers see its state as it was lag ago. Entries that are not refreshed
// within ttl expire; with a ttl of zero they do not expire.
func NewList(lag, ttl time.Duration) *List {
	return &List{lag: lag, ttl: ttl, now: time.Now, histories: map[instance.ID]history{},
		stateOverrides: map[instance.ID]instance.State{}}
}

// SetFaults replaces the faults.
func (list *List) SetFaults(f ListFaults) {
	list.mu.Lock()
	defer list.mu.Unlock()
	list.faults = f
}

// SetState overrides the state that an instance registers. The empty state removes the override; the registered state
// returns with the next registration.
func (list *List) SetState(id instance.ID, s instance.State) {
	list.mu.Lock()
	defer list.mu.Unlock()
	if s == "" {
		delete(list.stateOverrides, id)
	} else {
		list.stateOverrides[id] = s
	}
	if m, ok := list.histories[id].at(list.now(), list.ttl); ok {
		if s != "" {
			m.State = s
		}
		list.record(id, change{member: m, present: true})
	}
}

// Members implements platform.List.
func (list *List) Members(ctx context.Context, roles ...instance.Role) ([]instance.Member, error) {
	if err := list.injectFaults(ctx, "list"); err != nil {
		return nil, err
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	list.stats.Reads++
	t := list.now().Add(-list.currentLag())
	out := make([]instance.Member, 0, len(list.histories))
	for _, h := range list.histories {
		m, ok := h.at(t, list.ttl)
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
func (list *List) Register(ctx context.Context, m instance.Member) error {
	if m.ID == "" || m.Incarnation == "" {
		return &ArgumentError{Argument: "register", Detail: "id and incarnation must not be empty"}
	}
	if err := list.injectFaults(ctx, "register"); err != nil {
		return err
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	if list.histories[m.ID] == nil && len(list.histories) >= MaxMembers {
		list.evictExpired()
		if len(list.histories) >= MaxMembers {
			return &ArgumentError{Argument: "register", Detail: "too many instances"}
		}
	}
	if s, ok := list.stateOverrides[m.ID]; ok {
		m.State = s
	}
	list.stats.Registers++
	list.record(m.ID, change{member: m, present: true})
	return nil
}

// Deregister implements platform.List. It does nothing if another incarnation has registered the id.
func (list *List) Deregister(ctx context.Context, id instance.ID, inc instance.Incarnation) error {
	if err := list.injectFaults(ctx, "deregister"); err != nil {
		return err
	}
	list.mu.Lock()
	defer list.mu.Unlock()
	m, ok := list.histories[id].at(list.now(), list.ttl)
	if ok && m.Incarnation == inc {
		list.record(id, change{})
	}
	return nil
}

// injectFaults fails a call if the list is down, and otherwise waits for the injected delay.
func (list *List) injectFaults(ctx context.Context, op string) error {
	list.mu.Lock()
	f := list.faults
	list.mu.Unlock()
	if f.Down {
		return &api.UnavailableError{Op: op, Err: &DownError{Part: "instance list"}}
	}
	if err := sleep(ctx, time.Duration(f.DelayMS)*time.Millisecond); err != nil {
		return &api.UnavailableError{Op: op, MayHaveApplied: true, Err: err}
	}
	return nil
}

// currentLag returns the read lag under the current faults.
func (list *List) currentLag() time.Duration {
	if list.faults.LagMS != nil {
		return time.Duration(*list.faults.LagMS) * time.Millisecond
	}
	return list.lag
}

// record adds a change and drops those that are older than the read lag requires.
func (list *List) record(id instance.ID, c change) {
	c.at = list.now()
	h := list.histories[id]
	visibleFrom := c.at.Add(-list.currentLag())
	for len(h) > 1 && !h[1].at.After(visibleFrom) {
		h = h[1:]
	}
	list.histories[id] = append(slices.Clip(h), c)
}

// evictExpired removes the instances whose entries had expired or been removed before the time that readers see.
func (list *List) evictExpired() {
	t := list.now().Add(-list.currentLag())
	for id, h := range list.histories {
		last := h[len(h)-1]
		if _, ok := h.at(t, list.ttl); !ok && last.at.Before(t) {
			delete(list.histories, id)
		}
	}
}

// Faults returns the current faults.
func (list *List) Faults() ListFaults {
	list.mu.Lock()
	defer list.mu.Unlock()
	return list.faults
}
