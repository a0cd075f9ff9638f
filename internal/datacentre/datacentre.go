// Package datacentre derives the names of shards from data centres and racks, and the names of log streams.
package datacentre

import "fmt"

// Shard returns the name of the shard to which a rack of a data centre belongs. A shard never spans data centres.
// racksPerShard must not change while a deployment runs, because epochs cannot be compared between shards.
func Shard(dataCentre string, rack, racksPerShard int) string {
	return fmt.Sprintf("%s-%d", dataCentre, rack/racksPerShard)
}

// ShardStream returns the name of the log stream of a shard.
func ShardStream(shard string) string { return "shard/" + shard }

// ConfigStream is the name of the log stream of manifest publications.
const ConfigStream = "config"
