// Package datacentre names data centres and the shards of workers inside them.
package datacentre

import "fmt"

// Shard returns the name of the shard that holds a rack of a data centre. A shard never crosses data centres.
// racksPerShard must not change while a deployment runs, because the epochs of two shards cannot be compared.
func Shard(dataCentre string, rack, racksPerShard int) string {
	return fmt.Sprintf("%s-%d", dataCentre, rack/racksPerShard)
}

// ShardStream returns the log stream of a shard.
func ShardStream(shard string) string { return "shard/" + shard }

// ConfigStream is the log stream that carries manifests.
const ConfigStream = "config"
