package scheduler

import (
	"fmt"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/shard"
)

const servicePrefix = "service-"

// serviceJobID returns the id of the job that runs the replicas of a service in a shard.
func serviceJobID(name, kind string) string { return name + "~" + servicePrefix + kind }

// replicasInShard returns how many replicas of a service the shard name runs; names lists all shards. Rendezvous
// hashing selects the shard of each replica, so that all owners compute the same distribution without communicating.
func replicasInShard(k manifest.Kind, name string, names []string) int {
	ids := make([]instance.ID, len(names))
	for i, n := range names {
		ids[i] = instance.ID(n)
	}
	n := 0
	for i := range k.Replicas {
		if shard.Choose(fmt.Sprintf("%s#%d", k.Name, i), ids) == instance.ID(name) {
			n++
		}
	}
	return n
}

// syncServices submits, resizes and cancels the service jobs of a shard as the manifest requires.
func (s *Scheduler) syncServices(sh *managedShard, now time.Time) {
	if !s.canWrite(sh, now) || sh.own.releasing {
		return
	}
	inFlight := map[string]bool{}
	sh.out.each(func(b contract.Body) {
		switch b := b.(type) {
		case *contract.Submit:
			inFlight[b.Job] = true
		case *contract.Cancel:
			inFlight[b.Job] = true
		}
	})
	names := manifestShards(s.version.Manifest)
	wanted := map[string]bool{}
	for _, k := range s.version.Manifest.Kinds {
		if k.Class != manifest.ClassService {
			continue
		}
		n := 0
		if slices.Contains(names, sh.name) {
			n = replicasInShard(k, sh.name, names)
		}
		id := serviceJobID(sh.name, k.Name)
		j := sh.state.Job(id)
		wanted[id] = n > 0
		if n == 0 || inFlight[id] || j != nil && !j.Cancelled && j.Submit.Tasks == n {
			continue
		}
		s.enqueue(sh, 0, &contract.Submit{Job: id, Kind: k.Name, Team: k.Team, Tasks: n, Submitted: now,
			Config: s.version.Offset, Service: true})
	}
	for _, j := range sh.state.Jobs() {
		id := j.Submit.Job
		if j.Submit.Service && !j.Cancelled && !wanted[id] && !inFlight[id] {
			s.enqueue(sh, 0, &contract.Cancel{Job: id, At: now})
		}
	}
}
