package dispatch

import (
	"sort"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// placeGang places all tasks of a gang with the same run number, or none of them if they do not all find room.
func (p *plan) placeGang(s *step) bool {
	if s.restarting {
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
		p.requestAdvice(s.tasks[0])
		return false
	}
	for i, t := range s.tasks {
		t.checkpoint = s.tasks[0].checkpoint
		p.assignTask(t, chosen[i], run+1)
		t.queued = false
	}
	return true
}

// fitGang returns a node for each task, or nil. If the step asks for one rack, a rack with room for all is preferred.
func (p *plan) fitGang(s *step) []*assign.Node {
	if s.def.SameRack {
		racks := map[string]struct{}{}
		for _, n := range p.candidates(s.round.job.terms.Pool) {
			racks[n.Rack] = struct{}{}
		}
		names := make([]string, 0, len(racks))
		for r := range racks {
			names = append(names, r)
		}
		sort.Strings(names)
		for _, r := range names {
			if chosen := p.chooseGangNodes(s, func(w *worker) bool { return w.Rack == r }); chosen != nil {
				return chosen
			}
		}
	}
	return p.chooseGangNodes(s, func(*worker) bool { return true })
}

// chooseGangNodes returns a node for each task among the workers that the filter accepts, or nil. While it chooses, the
// tasks that already have a node count as reserved there.
func (p *plan) chooseGangNodes(s *step, filter func(*worker) bool) []*assign.Node {
	var chosen []*assign.Node
	perWorker := map[string]int{}
	need := s.def.Reserved()
	for _, t := range s.tasks {
		n := p.chooseGangNode(t, func(w *worker) bool {
			return filter(w) && (s.def.MaxPerWorker == 0 || perWorker[w.ID] < s.def.MaxPerWorker)
		})
		if n == nil {
			break
		}
		n.Reserved = n.Reserved.Add(need)
		perWorker[n.ID]++
		chosen = append(chosen, n)
	}
	for _, n := range chosen {
		n.Reserved = n.Reserved.Sub(need)
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}
