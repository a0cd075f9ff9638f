package scheduler

import (
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/placement"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// policies are the manifest's settings that the control loop uses, with defaults filled in.
type policies struct {
	ttl, isolation, ownerTimeout time.Duration
	place                        placement.Policy
	envelope                     resource.Vector
	racksPerShard                int
}

// kindInfo is a kind of work. Kinds that a newer manifest dropped are remembered for the attempts that still run.
type kindInfo struct {
	manifest.Kind
	current bool
}

func policiesOf(m *manifest.Manifest) policies {
	p := policies{ttl: m.Policies.LeaseTTL, isolation: m.Policies.IsolationLimit, ownerTimeout: m.Policies.OwnerTimeout,
		envelope: m.Envelope(), racksPerShard: max(m.RacksPerShard, 1)}
	if p.ttl <= 0 {
		p.ttl = defaultTTL
	}
	if p.isolation <= 0 {
		p.isolation = defaultIsolation
	}
	if p.ownerTimeout <= 0 {
		p.ownerTimeout = defaultTimeout
	}
	var err error
	if p.place, err = placement.ForName(m.Policies.Placement); err != nil {
		p.place = placement.LeastLaxity{}
	}
	return p
}

// shardsOf returns the names of a manifest's shards, in order.
func shardsOf(m *manifest.Manifest) []string {
	var out []string
	for _, dc := range m.DataCentres {
		perRack := max(m.Worker.PerRack, 1)
		for rack := 0; rack*perRack < dc.Workers; rack++ {
			if name := datacentre.Shard(dc.Name, rack, max(m.RacksPerShard, 1)); !slices.Contains(out, name) {
				out = append(out, name)
			}
		}
	}
	slices.Sort(out)
	return out
}
