package scheduler

import (
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/invariant"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/placement"
	"clementinewalk.example/clementinewalk/internal/quota"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// computeQuotaShares returns what each team may hold in each shard of a manifest, by shard and team.
func computeQuotaShares(m *manifest.Manifest) map[string]map[string]resource.Vector {
	names, workers := manifestShards(m), workersByShard(m)
	out := make(map[string]map[string]resource.Vector, len(names))
	for _, name := range names {
		out[name] = make(map[string]resource.Vector, len(m.Teams))
	}
	for _, team := range m.Teams {
		var largest resource.Vector
		shards := make([]quota.Shard, len(names))
		for i, name := range names {
			shards[i] = quota.Shard{Name: name, Workers: workers[name]}
		}
		for _, k := range m.Kinds {
			switch {
			case k.Team != team.Name:
			case k.Class == manifest.ClassBatch:
				largest = largest.Max(k.Size)
			case k.Class == manifest.ClassService:
				for i, name := range names {
					shards[i].Services = shards[i].Services.Add(k.Size.Scale(int64(replicasInShard(k, name, names))))
				}
			}
		}
		for name, share := range quota.Shares(team.Name, team.Quota, largest, shards) {
			out[name][team.Name] = share
		}
	}
	return out
}

// workersByShard returns the number of workers of each shard.
func workersByShard(m *manifest.Manifest) map[string]int {
	out := map[string]int{}
	for _, dc := range m.DataCentres {
		for i := range dc.Workers {
			out[datacentre.Shard(dc.Name, i/max(m.Worker.PerRack, 1), max(m.RacksPerShard, 1))]++
		}
	}
	return out
}

// quotaUsage returns the quota shares of the teams in a shard and what their attempts hold. Queued attempts count,
// because they start without another record.
func (s *Scheduler) quotaUsage(sh *managedShard) *placement.Usage {
	shares := s.quotaShares[sh.name]
	if shares == nil {
		shares = map[string]resource.Vector{}
		for _, t := range s.version.Manifest.Teams {
			// The manifest no longer contains the shard, so the whole quota is divided among the other shards.
			shares[t.Name] = resource.Vector{}
		}
	}
	u := placement.NewUsage(shares)
	for _, w := range sh.own.workers {
		for _, a := range w.attempts {
			if j := sh.state.Job(a.ref.Job); a.endEvent == nil && j != nil {
				u.Add(j.Submit.Team, a.size)
			}
		}
	}
	sh.out.each(func(b contract.Body) {
		if p, ok := b.(*contract.Place); ok {
			if j := sh.state.Job(p.Job); j != nil {
				u.Add(j.Submit.Team, s.kindOf(sh, p.Job).Size)
			}
		}
	})
	return u
}

// assertQuotaShares asserts that no team holds more than its share if this round has placed a task for it; earlier
// holds the placements of previous rounds. A team can be above a share that a newer manifest has lowered, but gets no
// placement then.
func (s *Scheduler) assertQuotaShares(sh *managedShard, earlier map[taskKey]*contract.Place) {
	u, seen := s.quotaUsage(sh), map[string]bool{}
	sh.out.each(func(b contract.Body) {
		p, ok := b.(*contract.Place)
		if !ok || earlier[taskKey{p.Job, p.Index}] != nil {
			return
		}
		if j := sh.state.Job(p.Job); j != nil && !seen[j.Submit.Team] {
			seen[j.Submit.Team] = true
			invariant.Check(invariant.QuotaShare, u.Allows(j.Submit.Team, resource.Vector{}), "shard", sh.name,
				"team", j.Submit.Team)
		}
	})
}
