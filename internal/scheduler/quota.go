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

// sharesOf returns what each team may hold in each shard of a manifest, by shard and team.
func sharesOf(m *manifest.Manifest) map[string]map[string]resource.Vector {
	names, workers := shardsOf(m), workersOf(m)
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
					shards[i].Services = shards[i].Services.Add(k.Size.Scale(int64(replicas(k, name, names))))
				}
			}
		}
		for name, share := range quota.Shares(team.Name, team.Quota, largest, shards) {
			out[name][team.Name] = share
		}
	}
	return out
}

// workersOf counts the workers of each shard.
func workersOf(m *manifest.Manifest) map[string]int {
	out := map[string]int{}
	for _, dc := range m.DataCentres {
		for i := range dc.Workers {
			out[datacentre.Shard(dc.Name, i/max(m.Worker.PerRack, 1), max(m.RacksPerShard, 1))]++
		}
	}
	return out
}

// usage returns the shares of the shard's teams and what their attempts hold. An attempt that waits for room counts, because it
// starts without a further record.
func (s *Scheduler) usage(sh *shardLoop) *placement.Usage {
	shares := s.shares[sh.name]
	if shares == nil {
		shares = map[string]resource.Vector{}
		for _, t := range s.version.Manifest.Teams {
			// The manifest no longer names the shard. The other shards divide the whole quota.
			shares[t.Name] = resource.Vector{}
		}
	}
	u := placement.NewUsage(shares)
	for _, w := range sh.own.workers {
		for _, t := range w.tasks {
			if j := sh.state.Job(t.ref.Job); t.end == nil && j != nil {
				u.Add(j.Submit.Team, t.size)
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

// checkShares asserts that no team for which this round placed a task holds more than its share. A team can be above a share that
// a newer manifest has lowered; it gets no placement then.
func (s *Scheduler) checkShares(sh *shardLoop, before map[taskKey]*contract.Place) {
	u, seen := s.usage(sh), map[string]bool{}
	sh.out.each(func(b contract.Body) {
		p, ok := b.(*contract.Place)
		if !ok || before[taskKey{p.Job, p.Index}] != nil {
			return
		}
		if j := sh.state.Job(p.Job); j != nil && !seen[j.Submit.Team] {
			seen[j.Submit.Team] = true
			invariant.Check(invariant.QuotaShare, u.Allows(j.Submit.Team, resource.Vector{}), "shard", sh.name, "team", j.Submit.Team)
		}
	})
}
