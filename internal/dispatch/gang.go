package dispatch

import (
	"sort"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// placeGang places all tasks of a gang that fit together, or none.
func (p *plan) placeGang(s *step) bool {
	if s.breaking {
		return false
	}
	run := 0
	for _, t := range s.tasks {
		if t.phase != workflow.Pending {
			return false
		}
		run = max(run, t.run)
	}
	chosen := p.fitGang(s)
	if chosen == nil {
		p.ask(s.tasks[0])
		return false
	}
	for i, t := range s.tasks {
		t.checkpoint = s.tasks[0].checkpoint
		p.assign(t, chosen[i], run+1)
		t.queued = false
	}
	return true
}

// fitGang returns a node for each task, on one rack if the step asks for it and one has the room.
func (p *plan) fitGang(s *step) []*assign.Node {
	if s.def.SameRack {
		racks := map[string]struct{}{}
		for _, n := range p.candidates(s.round.job.terms.Service) {
			racks[n.Rack] = struct{}{}
		}
		names := make([]string, 0, len(racks))
		for r := range racks {
			names = append(names, r)
		}
		sort.Strings(names)
		for _, r := range names {
			if got := p.tryGang(s, func(w *worker) bool { return w.Rack == r }); got != nil {
				return got
			}
		}
	}
	return p.tryGang(s, func(*worker) bool { return true })
}

func (p *plan) tryGang(s *step, usable func(*worker) bool) []*assign.Node {
	var got []*assign.Node
	perWorker := map[string]int{}
	need := s.def.Reserved()
	for _, t := range s.tasks {
		n := p.choose(t, func(w *worker) bool {
			return usable(w) && (s.def.MaxPerWorker == 0 || perWorker[w.ID] < s.def.MaxPerWorker)
		})
		if n == nil {
			break
		}
		n.Reserved = n.Reserved.Add(need)
		perWorker[n.ID]++
		got = append(got, n)
	}
	for _, n := range got {
		n.Reserved = n.Reserved.Sub(need)
	}
	if len(got) < len(s.tasks) {
		return nil
	}
	return got
}
