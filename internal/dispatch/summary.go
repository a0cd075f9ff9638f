package dispatch

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// summaryInterval is the time between two summaries in the log.
const summaryInterval = 2 * time.Second

// summarize logs the number of placed and waiting tasks and the free resources, to explain waiting times afterwards.
func (c *Core) summarize(now time.Duration) {
	if now-c.lastSummary < summaryInterval {
		return
	}
	c.lastSummary = now
	var waiting, services int
	queues := map[string]int{}
	var asked, capacity, reserved resource.Vector
	for _, t := range c.pending {
		waiting++
		asked = asked.Add(t.reserved())
		queues[t.job().terms.Queue]++
		if t.step.def.LongRunning {
			services++
		}
	}
	schedulable, silent, placed, mixtures := 0, 0, 0, 0
	for _, w := range c.workers {
		placed += len(w.tasks)
		if w.failingSince != 0 {
			silent++
		}
		if w.unschedulable() {
			continue
		}
		schedulable++
		mixtures += max(0, len(w.node.Services)-1)
		capacity, reserved = capacity.Add(w.Capacity), reserved.Add(w.node.Reserved)
	}
	c.logger.Info("placement summary", "epoch", c.epoch, "workers", len(c.workers), "usable", schedulable, "silent", silent,
		"placed", placed, "waiting", waiting, "image_mixtures", mixtures,
		"waiting_services", services, "waiting_by_queue", queues, "asked_cores", asked.MilliCores/1000,
		"asked_mb", asked.MemoryMB, "cores", capacity.MilliCores/1000,
		"reserved_cores", reserved.MilliCores/1000, "mb", capacity.MemoryMB, "reserved_mb", reserved.MemoryMB)
}
