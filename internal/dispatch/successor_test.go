package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// loseAllInstances replaces the owner by one that has nothing but the newest records in the log.
func (sim *simulation) loseAllInstances() {
	newest := func(entries map[string]eventlog.Entry) []eventlog.Entry {
		return slices.SortedFunc(maps.Values(entries), func(a, b eventlog.Entry) int { return cmp.Compare(a.Offset, b.Offset) })
	}
	sim.catalog = catalog.New(discardLogger())
	sim.catalog.ApplySubmissions(eventlog.Batch{Entries: newest(sim.submissions), Reset: true, Next: sim.offset + 1})
	sim.catalog.ApplyProgress(newest(sim.progress))
	if c := sim.closures; c != nil {
		read := &evacuation.State{}
		b := evacuation.Batch{Reset: true, Next: 1}
		for dataCentre := range c.since {
			b.Records = append(b.Records, evacuation.Record{DataCentre: dataCentre, Content: evacuation.Closed})
		}
		read.Apply(b)
		c.seen = read.Closed()
	}
	sim.takeOver()
}

// storeAll runs the simulation until all decisions are stored.
func (sim *simulation) storeAll() {
	for end := sim.now + 5*time.Second; ; sim.run(tick) {
		require.Less(sim.t, sim.now, end, "decisions remain unstored")
		if len(sim.core.dirty) == 0 && sim.tasksInFlight == nil && sim.statusInFlight == nil && !sim.core.HasUnpublished() {
			return
		}
	}
}

// knownState describes what an owner knows that it must not lose: the attempts, failures and checkpoints of all tasks, what the
// workers hold, and the closed data centres.
func (sim *simulation) knownState() map[string]string {
	out := map[string]string{}
	attempt := func(t *task) string {
		if t.phase != workflow.Placed {
			return "none"
		}
		return fmt.Sprintf("run %d on %s/%d", t.run, t.worker.ID, t.workerStartedAt)
	}
	for id, j := range sim.core.jobs {
		out[string(id)] = fmt.Sprint(j.state, " cancelled ", j.cancelled)
		if j.state.Over() && j.placed == 0 {
			// Nothing can happen to its tasks any more.
			continue
		}
		for _, r := range j.rounds {
			for _, s := range r.steps {
				for _, t := range s.tasks {
					about := fmt.Sprintf("done %t, last run %d, failures %d, checkpoint %q, %s", t.done(), t.lastRun(), t.failures,
						t.checkpoint, attempt(t))
					if t.copy != nil {
						about += ", copy: " + attempt(t.copy)
					}
					if t.done() {
						// Its checkpoint and the numbers of its runs are of no use any more.
						about = "done, " + attempt(t)
					}
					out[t.id.String()] = about
				}
			}
		}
	}
	for _, w := range sim.core.workers {
		out["worker "+w.ID] = fmt.Sprintf("reserved %v, closed %t", w.node.Reserved, w.closed)
	}
	return out
}

// Guards against state that a successor does not know, or that gets lost when several owners end one after the other, or all
// instances at once: attempts of copied tasks, closed data centres, and the progress of preempted tasks.
func TestSuccessorsKnowAllStateFromTheLog(t *testing.T) {
	states := map[string]func(*testing.T) *simulation{
		"copy beside its original": func(t *testing.T) *simulation {
			sim := newCopySimulation(t, 1)
			sim.runUntilCopied(speculativeStep(3), speculativeStep(1, 0))
			return sim
		},
		"copy that has failed": func(t *testing.T) *simulation {
			sim := newCopySimulation(t, 1)
			original, _ := sim.runUntilCopied(speculativeStep(3), speculativeStep(1, 0))
			original.copies = maxCopies
			sim.endSlow(2, EndFailed, 100*time.Millisecond)
			require.Equal(t, 1, original.failures)
			return sim
		},
		"overtaken original": func(t *testing.T) *simulation {
			sim := newCopySimulation(t, 1)
			original, _ := sim.runUntilCopied(speculativeStep(1), speculativeStep(1, 0))
			sim.workers[original.worker.ID].disconnected = true
			sim.endSlow(2, EndDone, 100*time.Millisecond)
			require.True(t, original.overtaken)
			return sim
		},
		"service in a closed data centre": func(t *testing.T) *simulation {
			sim := newSimulation(t, 1, 4)
			sim.useClosures(readLag)
			sim.run(200 * time.Millisecond)
			sim.submit("service", budgetedServices(6, 1))
			sim.run(time.Second)
			sim.close("odd")
			sim.run(300 * time.Millisecond)
			require.NotZero(t, sim.running("service", "odd"))
			return sim
		},
		"preempted task": func(t *testing.T) *simulation {
			sim := largeWorkers(t, 4, resource.Vector{MilliCores: 4000, MemoryMB: 8000})
			sim.checkpointInterval = 500 * time.Millisecond
			m := NewMetrics(prometheus.NewRegistry())
			sim.core.metrics = m
			sim.submitLow("low", fillerStep(16, 20*time.Second))
			sim.run(1200 * time.Millisecond)
			sim.submit("urgent", urgentStep(2, 1500))
			for end := sim.now + 5*time.Second; len(sim.pendingWithCheckpoint()) == 0; sim.run(tick) {
				require.Less(t, sim.now, end, "nothing is preempted")
			}
			require.NotZero(t, preempted(m))
			return sim
		},
	}
	losses := map[string]func(*simulation){
		"owner lost":    func(sim *simulation) { sim.takeOver() },
		"owners in row": func(sim *simulation) { sim.takeOver(); sim.takeOver(); sim.takeOver() },
		"all instances": func(sim *simulation) { sim.loseAllInstances() },
		"all instances, and then owners in row": func(sim *simulation) {
			sim.loseAllInstances()
			sim.takeOver()
			sim.loseAllInstances()
		},
	}
	for state, prepare := range states {
		for loss, lose := range losses {
			t.Run(state+"/"+loss, func(t *testing.T) {
				sim := prepare(t)
				sim.storeAll()
				before, closed := sim.knownState(), maps.Clone(sim.core.closed)
				lose(sim)
				assert.Equal(t, before, sim.knownState())
				assert.Equal(t, len(closed), len(sim.core.closed))
				for dataCentre := range closed {
					assert.True(t, sim.core.closed.Contains(dataCentre))
				}
				// What is known must also be of use: everything ends, and the checks at the workers hold.
				for _, f := range sim.workers {
					f.disconnected = false
				}
				sim.run(45 * time.Second)
				for id, j := range sim.core.jobs {
					if id != "service" {
						assert.Equal(t, workflow.Done, j.state, "%s", id)
					}
				}
				assert.Empty(t, sim.core.copies)
				assert.Zero(t, sim.running("service", "odd"))
			})
		}
	}
}

// pendingWithCheckpoint returns the pending tasks that go on from a checkpoint.
func (sim *simulation) pendingWithCheckpoint() []*task {
	var out []*task
	for _, t := range sim.core.pending {
		if t.checkpoint != "" {
			out = append(out, t)
		}
	}
	return out
}
