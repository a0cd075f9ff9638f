package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/resource"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against an owner that places fewer tasks a second the more tasks wait.
func TestLongBacklogIsPlacedWhileThereIsRoom(t *testing.T) {
	t.Parallel()
	const jobs, tasksPerJob, maxWait = 20, 1000, 3 * time.Second
	f := newFleet(1, fleetLoad{workers: 500})
	c := f.core
	for _, w := range c.workers {
		w.fenced = true
	}
	for range jobs {
		f.submit(workflow.Step{Count: tasksPerJob, Size: resource.Vector{MilliCores: 100, MemoryMB: 100}})
	}
	for end := f.now + maxWait; f.now < end; f.now += fleetStep {
		c.Plan(f.now)
	}
	assert.Zero(t, len(c.pending), "every task has room")
}
