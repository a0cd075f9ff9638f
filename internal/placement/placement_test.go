package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/resource"
)

func fleet(n int) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{ID: instance.ID(fmt.Sprintf("w%d", i)), Rack: i / 8, Fenced: true,
			Capacity: resource.Vector{MilliCores: 64000, MemoryMB: 250000},
			Reserved: resource.Vector{MilliCores: 16000, MemoryMB: 32000}}
	}
	return out
}

// Guards against tasks on workers that must not get any, and against tasks that use the capacity reserved for requests.
func TestPlace(t *testing.T) {
	small := Task{Job: "j", Size: resource.Vector{MilliCores: 4000, MemoryMB: 8000}}
	tests := map[string]struct {
		change        func(ws []Worker)
		task          Task
		want          instance.ID
		reason        Reason
		unschedulable bool
	}{
		"fits":    {func([]Worker) {}, small, "w0", "", false},
		"leaving": {func(ws []Worker) { ws[0].Leaving = true }, small, "w1", "", false},
		"draining": {func(ws []Worker) { ws[0].Draining, ws[1].Draining = true, true }, small, "", ReasonDraining,
			false},
		"quarantined": {func(ws []Worker) { ws[0].Quarantined, ws[1].Quarantined = true, true }, small, "",
			ReasonQuarantined, false},
		"on probation": {func(ws []Worker) { ws[0].Probation, ws[1].Probation, ws[0].Tasks = true, true, 1 }, small,
			"w1", "", false},
		"unfenced": {func(ws []Worker) { ws[0].Fenced, ws[1].Fenced = false, false }, small, "", ReasonUnfenced,
			false},
		"full": {func(ws []Worker) {
			ws[0].Used.MilliCores, ws[1].Used.MilliCores = 45000, 45000
		}, small, "", ReasonNoRoom, false},
		"larger than the unreserved part": {func([]Worker) {}, Task{Size: resource.Vector{MilliCores: 50000}}, "",
			ReasonTooLarge, true},
		"accelerator that no worker has": {func([]Worker) {}, Task{Size: resource.Vector{Accelerators: 1}}, "",
			ReasonTooLarge, true},
		"large worker is not fenced": {func(ws []Worker) {
			ws[1].Capacity.Accelerators, ws[1].Fenced = 1, false
		}, Task{Size: resource.Vector{Accelerators: 1}}, "", ReasonUnfenced, false},
	}
	for name, c := range tests {
		for _, p := range []Policy{BestFit{}, Spread{}, LeastLaxity{}} {
			t.Run(p.Name()+" "+name, func(t *testing.T) {
				ws := fleet(2)
				c.change(ws)
				d, err := p.Place(NewState(ws), c.task)
				require.Equal(t, c.want, d.Worker)
				if c.reason != "" {
					var r *Refusal
					require.ErrorAs(t, err, &r)
					require.Equal(t, c.reason, r.Reason)
					require.Equal(t, c.unschedulable, r.Unschedulable)
				}
			})
		}
	}
}

// Guards against a job that is stopped as a whole by the failure of one rack. The baseline fills one rack.
func TestSpread(t *testing.T) {
	racks := func(p Policy) map[int]int {
		s, out := NewState(fleet(32)), map[int]int{}
		for i := range 8 {
			task := Task{Job: "j", Index: i, Size: resource.Vector{MilliCores: 4000}}
			d, err := p.Place(s, task)
			require.NoError(t, err)
			s.Assign(task, d.Worker)
			out[s.Workers[s.workerIndex[d.Worker]].Rack]++
		}
		return out
	}
	require.Equal(t, map[int]int{0: 2, 1: 2, 2: 2, 3: 2}, racks(Spread{}))
	require.Equal(t, map[int]int{0: 8}, racks(BestFit{}))
}

// Guards against a job that fills a small rack first. With equal numbers of tasks in each rack, the single worker of
// the third rack would be full after 34 tasks.
func TestSpreadOverUnequalRacks(t *testing.T) {
	tests := map[string]struct {
		change func(ws []Worker)
		tasks  int
		want   map[int]int
	}{
		"racks of 8, 8 and 1":      {func([]Worker) {}, 34, map[int]int{0: 16, 1: 16, 2: 2}},
		"a rack that is half full": {occupyHalfOfRack0, 26, map[int]int{0: 8, 1: 16, 2: 2}},
		"a rack that is half drained": {func(ws []Worker) {
			for i := range 4 {
				ws[i].Draining = true
			}
		}, 26, map[int]int{0: 8, 1: 16, 2: 2}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			ws := fleet(17)
			c.change(ws)
			s, got := NewState(ws), map[int]int{}
			for i := range c.tasks {
				task := Task{Job: "j", Index: i, Size: resource.Vector{MilliCores: 4000, MemoryMB: 8000}}
				d, err := LeastLaxity{}.Place(s, task)
				require.NoError(t, err)
				s.Assign(task, d.Worker)
				got[s.Workers[s.workerIndex[d.Worker]].Rack]++
			}
			require.Equal(t, c.want, got)
		})
	}
}

// occupyHalfOfRack0 uses half of the allocatable capacity of each worker of rack 0.
func occupyHalfOfRack0(ws []Worker) {
	for i := range 8 {
		ws[i].Used.MilliCores = ws[i].Allocatable().MilliCores / 2
	}
}

// Guards against an order in which the task with the lowest laxity waits.
func TestLeastLaxityOrder(t *testing.T) {
	now := time.Unix(0, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	tasks := []Task{
		{Job: "background", Rank: 2}, {Job: "service", Rank: 0},
		{Job: "long", Deadline: in(10 * time.Hour), Remaining: 9*time.Hour + 50*time.Minute},
		{Job: "short", Deadline: in(time.Hour), Remaining: time.Minute},
		{Job: "late", Deadline: in(time.Hour), Remaining: 2 * time.Hour},
	}
	LeastLaxity{}.Order(now, tasks)
	var got []string
	for _, x := range tasks {
		got = append(got, x.Job)
	}
	require.Equal(t, []string{"late", "long", "short", "service", "background"}, got)
	_, err := ForName("tetris")
	var unknown *PolicyError
	require.ErrorAs(t, err, &unknown)
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{50, 500, 5000} {
		for _, p := range []Policy{BestFit{}, LeastLaxity{}} {
			b.Run(fmt.Sprintf("%s/%d", p.Name(), n), func(b *testing.B) {
				b.ReportAllocs()
				s, i := NewState(fleet(n)), 0
				for b.Loop() {
					i++
					t := Task{Job: "j", Index: i, Size: resource.Vector{MilliCores: 1}}
					d, err := p.Place(s, t)
					if err != nil {
						b.Fatal(err)
					}
					s.Assign(t, d.Worker)
				}
			})
		}
	}
}

// BenchmarkSecond measures the placement work of one second. At the target size, 14,200 tasks are ordered and 70 of
// them placed on 500 workers; the target is 2% of a core, 20 ms.
func BenchmarkSecond(b *testing.B) {
	const pending, placements = 14200, 70
	for _, n := range []int{50, 500, 5000} {
		b.Run(fmt.Sprintf("%s/%d", LeastLaxity{}.Name(), n), func(b *testing.B) {
			b.ReportAllocs()
			now, workers := time.Unix(100, 0), fleet(n)
			tasks := make([]Task, pending)
			for b.Loop() {
				b.StopTimer()
				for i := range tasks {
					// A prime stride mixes the order of the deadlines.
					tasks[i] = Task{Job: "j", Index: i, Size: resource.Vector{MilliCores: 1},
						Deadline: now.Add(time.Duration(i*7919%pending) * time.Second)}
				}
				b.StartTimer()
				LeastLaxity{}.Order(now, tasks)
				s := NewState(workers)
				for _, t := range tasks[:placements] {
					if _, err := (LeastLaxity{}).Place(s, t); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
