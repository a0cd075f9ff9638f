package scheduler

import (
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/placement"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// policies holds the settings of a manifest that the control loop uses, with defaults filled in.
type policies struct {
	ttl, isolationLimit, ownerTimeout time.Duration
	placementPolicy                   placement.Policy
	envelope                          resource.Vector
	racksPerShard                     int
}

// jobKind is a kind of tasks. Kinds that a newer manifest no longer contains are kept for the attempts that still run.
type jobKind struct {
	manifest.Kind
	inManifest bool
}

func policiesFrom(m *manifest.Manifest) policies {
	p := policies{ttl: m.Policies.LeaseTTL, isolationLimit: m.Policies.IsolationLimit,
		ownerTimeout: m.Policies.OwnerTimeout,
		envelope:     m.Envelope(), racksPerShard: max(m.RacksPerShard, 1)}
	if p.ttl <= 0 {
		p.ttl = defaultLeaseTTL
	}
	if p.isolationLimit <= 0 {
		p.isolationLimit = defaultIsolationLimit
	}
	if p.ownerTimeout <= 0 {
		p.ownerTimeout = defaultOwnerTimeout
	}
	var err error
	if p.placementPolicy, err = placement.ForName(m.Policies.Placement); err != nil {
		p.placementPolicy = placement.LeastLaxity{}
	}
	return p
}

// manifestShards returns the sorted names of the shards of a manifest.
func manifestShards(m *manifest.Manifest) []string {
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
