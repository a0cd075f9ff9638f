package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Guards against best-effort work that goes on beside a service which is over its objective, because single reports are rough: every second one
// is below (HARM on quiet-1 of halloran-quotes-grown).
func TestBestEffortYieldsToAServiceInNeed(t *testing.T) {
	w := newWorld(t, 1, 2)
	s := service(2)
	s.Image, s.Objective, s.MaxPerWorker = "quotes", 50*time.Millisecond, 1
	fill := batch(1, time.Minute)
	fill.Image, fill.BestEffort = "rebid", true
	w.submit("0000000000000001", s)
	w.run(200 * time.Millisecond)
	w.submit("0000000000000002", fill)
	reports := map[Attempt]int{}
	w.loads = func(a Attempt) float64 {
		if a.Task.Job != "0000000000000001" {
			return 1000
		}
		reports[a]++
		// The service is as slow without the best-effort task, so that none is known to disturb it.
		return []float64{46, 70}[reports[a]%2]
	}
	w.run(200 * time.Millisecond)
	task := w.core.jobs["0000000000000002"].rounds[0].steps[0].tasks[0]
	require.Equal(t, fullPace, task.pace)
	w.run(3 * time.Second)
	assert.True(t, task.pace == 0 || task.evictions > 0, "the task works on beside the service at %d%%", task.pace)
}

// Guards against services that take the last room while short tasks come and go, and against a service that waits for longer than it may.
func TestServicesLeaveScarceRoomToShortTasks(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.submit("0000000000000001", batch(12, 150*time.Millisecond))
	w.run(200 * time.Millisecond)
	w.submit("0000000000000002", service(2))
	w.run(800 * time.Millisecond)
	w.submit("0000000000000003", batch(12, 150*time.Millisecond))
	w.run(900 * time.Millisecond)
	assert.Equal(t, workflow.Done, w.state("0000000000000003"), "short tasks find the whole worker")
	w.run(1300 * time.Millisecond)
	for _, task := range w.core.jobs["0000000000000002"].rounds[0].steps[0].tasks {
		assert.NotNil(t, task.worker, "the service has waited for 3 s")
	}
}

// Guards against a service that waits although there is room for it, because the worker with the room is in quarantine for 4 s (LOST on scale-1
// of halloran-quotes).
func TestServiceThatHasWaitedIsPlaced(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.core.workers["a"].quarantine = w.now + time.Minute
	w.submit("0000000000000001", service(4))
	w.run(300 * time.Millisecond)
	assert.Len(t, w.workers["b"].running, 4)
	w.submit("0000000000000002", service(4))
	w.run(time.Second)
	assert.Empty(t, w.workers["a"].running, "in quarantine")
	w.run(2 * time.Second)
	assert.Len(t, w.workers["a"].running, 4)
}
