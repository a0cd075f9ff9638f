package dispatch

import "time"

// exclude excludes a worker for 12 s, as after two earlier exclusions.
func (sim *simulation) exclude(id string) {
	w := sim.core.workers[id]
	for _, before := range []time.Duration{9 * time.Second, 6 * time.Second, 0} {
		w.health.StalledTask(sim.now-before, sim.now-before)
	}
	sim.core.noteExcluded(sim.now, w)
}
