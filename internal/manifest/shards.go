package manifest

import "clementinewalk.example/clementinewalk/internal/datacentre"

// Shards returns the names of all shards of the manifest, by data centre in the order of the manifest. Racks are
// numbered from 0 in each data centre, and worker i of a data centre is in rack i/per_rack.
func Shards(m *Manifest) []string {
	var out []string
	for _, dc := range m.DataCentres {
		racks := (dc.Workers + m.Worker.PerRack - 1) / m.Worker.PerRack
		for rack := 0; rack < racks; rack += m.RacksPerShard {
			out = append(out, datacentre.Shard(dc.Name, rack, m.RacksPerShard))
		}
	}
	return out
}
