package placement

import "clementinewalk.example/clementinewalk/internal/resource"

// Usage compares what teams hold in a shard with their shares of their quotas.
type Usage struct {
	shares, held map[string]resource.Vector
}

// NewUsage returns a usage without tasks. A team without a share has no limit: its quota is unknown.
func NewUsage(shares map[string]resource.Vector) *Usage {
	return &Usage{shares: shares, held: map[string]resource.Vector{}}
}

// Add records that a team holds size more.
func (u *Usage) Add(team string, size resource.Vector) {
	if u != nil {
		u.held[team] = u.held[team].Add(size)
	}
}

// Remove records that a team holds size less.
func (u *Usage) Remove(team string, size resource.Vector) {
	if u != nil {
		u.held[team] = u.held[team].Sub(size)
	}
}

// Allows reports whether a team may hold size more. A nil usage allows everything.
func (u *Usage) Allows(team string, size resource.Vector) bool {
	if u == nil {
		return true
	}
	share, limited := u.shares[team]
	return !limited || u.held[team].Add(size).Fits(share)
}

// Check returns a *Refusal if the task would take its team above the share.
func (u *Usage) Check(t Task) error {
	if u.Allows(t.Team, t.Size) {
		return nil
	}
	return &Refusal{Task: t, Reason: ReasonQuota, Held: u.held[t.Team], Share: u.shares[t.Team]}
}
