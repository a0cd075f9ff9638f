package placement

import "clementinewalk.example/clementinewalk/internal/resource"

// Usage compares what teams hold in a shard with their quota shares. A nil Usage has no limits.
type Usage struct {
	shares, held map[string]resource.Vector
}

// NewUsage returns a usage in which no team holds anything. A team without a share has no limit, because its quota is
// unknown.
func NewUsage(shares map[string]resource.Vector) *Usage {
	return &Usage{shares: shares, held: map[string]resource.Vector{}}
}

// Add adds size to what a team holds.
func (u *Usage) Add(team string, size resource.Vector) {
	if u != nil {
		u.held[team] = u.held[team].Add(size)
	}
}

// Remove subtracts size from what a team holds.
func (u *Usage) Remove(team string, size resource.Vector) {
	if u != nil {
		u.held[team] = u.held[team].Sub(size)
	}
}

// Allows reports whether a team may hold size in addition.
func (u *Usage) Allows(team string, size resource.Vector) bool {
	if u == nil {
		return true
	}
	share, limited := u.shares[team]
	return !limited || u.held[team].Add(size).Fits(share)
}

// Check returns a *Refusal if the team would exceed its share with the task.
func (u *Usage) Check(t Task) error {
	if u.Allows(t.Team, t.Size) {
		return nil
	}
	return &Refusal{Task: t, Reason: ReasonQuota, Held: u.held[t.Team], Share: u.shares[t.Team]}
}
