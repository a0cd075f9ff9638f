package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// requireCompleteSets requires that the sets of workers which need attention contain all that do.
func requireCompleteSets(t *testing.T, c *Core) {
	for _, w := range c.workers {
		if len(w.tasks) > 0 {
			require.LessOrEqual(t, c.nextExpiry, w.leaseEnd, "lease of %s", w.ID)
		}
		if w.appliedEnd > w.confirmedEnd || len(w.endMarks) > 0 {
			require.Contains(t, c.unconfirmed, w)
		}
		if w.failingSince != 0 || w.silence != silenceNone {
			require.Contains(t, c.unresponsive, w)
		}
	}
	for _, set := range []map[*worker]struct{}{c.callable, c.unconfirmed, c.unresponsive} {
		for w := range set {
			require.Same(t, c.workers[w.ID], w, "%s was removed", w.ID)
		}
	}
}

// Guards against a worker whose lease, ends or silence are forgotten because it is missing in a set.
func TestWorkersThatNeedAttentionAreKnown(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		sim := newSimulation(t, seed, 5)
		sim.callLossShare = 0.1
		for i := range 300 {
			switch sim.rng.IntN(20) {
			case 0:
				id := string(rune('a' + sim.rng.IntN(5)))
				if f := sim.workers[id]; f != nil {
					f.disconnected = !f.disconnected
				}
			case 1:
				id := string(rune('a' + sim.rng.IntN(5)))
				if sim.workers[id] != nil && sim.rng.IntN(3) == 0 {
					sim.restart(id)
				}
			case 2:
				sim.submit(workflow.JobID(fmt.Sprintf("%016d", i)), batchStep(4, 400*time.Millisecond))
			case 3:
				sim.submit(workflow.JobID(fmt.Sprintf("%016d", i)), serviceStep(1))
			case 4:
				id := string(rune('a' + sim.rng.IntN(5)))
				sim.core.DropMember(id)
				sim.schedule(time.Second, sim.listWorkers)
			case 5:
				sim.logDown = !sim.logDown
			case 6:
				if sim.rng.IntN(4) == 0 {
					sim.takeOver()
				}
			}
			for range 10 {
				sim.run(tick)
				requireCompleteSets(t, sim.core)
			}
		}
	}
}
