package dispatch

import (
	"slices"
	"sort"

	"clementinewalk.example/clementinewalk/internal/assign"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// placeGang places all tasks of a gang with the same run number, or none of them if they do not all find room.
func (p *plan) placeGang(s *step) bool {
	if s.restarting {
		return false
	}
	if w := &s.tasks[0].rackWait; w.active && p.now < w.retryAt {
		p.awaitsRack = true
		return false
	}
	run := 0
	for _, t := range s.tasks {
		if t.phase != workflow.Pending {
			return false
		}
		run = max(run, t.run)
	}
	t := s.tasks[0]
	reach := reachUsable
	if t.waitExpired(p.now) {
		reach = reachExpired
	}
	// A gang is as slow as its slowest task, so none of its tasks is a probe.
	chosen := p.fitGang(s, reach)
	if chosen == nil && p.awaitsRack {
		return false
	}
	if chosen == nil && p.isLastResort(t) {
		chosen = p.fitGang(s, reachExcluded)
	}
	if chosen == nil {
		p.requestAdvice(s.tasks[0])
		return false
	}
	p.core.endRackWait(p.now, s.tasks[0], inOneRack(chosen))
	for i, t := range s.tasks {
		t.checkpoint = s.tasks[0].checkpoint
		p.assignTask(t, chosen[i], run+1)
		t.queued = false
	}
	return true
}

// fitGang returns a node for each task, or nil. If the step asks for one rack, a rack with room for all is preferred.
func (p *plan) fitGang(s *step, reach reach) []*assign.Node {
	nodes := p.gangNodes(s, reach)
	if warm := slices.DeleteFunc(slices.Clone(nodes), func(n *assign.Node) bool { return n.Cold }); s.hasSlots(warm) {
		// A gang is as slow as its slowest task.
		nodes = warm
	}
	if !s.hasSlots(nodes) {
		return nil
	}
	if s.def.SameRack {
		racks := map[string][]*assign.Node{}
		for _, n := range nodes {
			racks[n.Rack] = append(racks[n.Rack], n)
		}
		names := make([]string, 0, len(racks))
		for r := range racks {
			names = append(names, r)
		}
		sort.Strings(names)
		if home := s.def.DataRack; p.core.prefersRack(s.tasks[0]) && racks[home] != nil {
			names = slices.Insert(names, 0, home)
		}
		for _, r := range names {
			if s.hasSlots(racks[r]) {
				return p.chooseGangNodes(s, racks[r])
			}
		}
		if p.gangWaits(s) {
			p.awaitsRack = true
			return nil
		}
	}
	return p.chooseGangNodes(s, nodes)
}

func inOneRack(nodes []*assign.Node) bool {
	for _, n := range nodes {
		if n.Rack != nodes[0].Rack {
			return false
		}
	}
	return true
}

// gangNodes returns the nodes that can take at least one task of a gang. The tasks of a gang need room at the same time,
// for which they could wait forever under the bound on best-effort work.
func (p *plan) gangNodes(s *step, reach reach) []*assign.Node {
	t := s.tasks[0]
	if _, ok := p.noRoom[p.noRoomKey(t, reach)]; ok {
		return nil
	}
	need, filter := t.reserved(), p.requireApproval(t, nil)
	var out []*assign.Node
	for _, n := range p.candidatesWithin(t.job().terms.Pool, reach) {
		if need.Fits(n.Free()) && p.allows(n, t, filter) {
			out = append(out, n)
		}
	}
	return out
}

// hasSlots reports whether the nodes can take all tasks of a gang.
func (s *step) hasSlots(nodes []*assign.Node) bool {
	need, slots := s.def.Reserved(), 0
	for _, n := range nodes {
		free := n.Free()
		for taken := 0; need.Fits(free) && (s.def.MaxPerWorker <= 0 || taken < s.def.MaxPerWorker); taken++ {
			if slots++; slots >= len(s.tasks) {
				return true
			}
			free = free.Sub(need)
		}
	}
	return false
}

// chooseGangNodes returns a node for each task among nodes that can take them all. While it chooses, the tasks that
// already have a node count as reserved there. That is not in the rankings.
func (p *plan) chooseGangNodes(s *step, nodes []*assign.Node) []*assign.Node {
	chosen := make([]*assign.Node, 0, len(s.tasks))
	perWorker := map[*assign.Node]int{}
	need := s.def.Reserved()
	for _, t := range s.tasks {
		n := assign.Choose(nodes, p.core.placement(p.now, t, t.avoidWorker))
		n.Reserved = n.Reserved.Add(need)
		perWorker[n]++
		if s.def.MaxPerWorker > 0 && perWorker[n] >= s.def.MaxPerWorker {
			nodes = without(nodes, n)
		}
		chosen = append(chosen, n)
	}
	for _, n := range chosen {
		n.Reserved = n.Reserved.Sub(need)
	}
	return chosen
}
