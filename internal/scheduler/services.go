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

// serviceJob returns the id of a service's job in a shard.
func serviceJob(name, kind string) string { return name + "~" + servicePrefix + kind }

// replicas returns how many replicas of a service a shard runs. Each replica belongs to the shard that rendezvous hashing selects,
// so that all owners reach the same spread without a message.
func replicas(k manifest.Kind, name string, names []string) int {
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

// syncServices submits, resizes and cancels the service jobs of a shard so that they match the manifest.
func (s *Scheduler) syncServices(sh *shardLoop, now time.Time) {
	if !s.canWrite(sh, now) || sh.own.releasing {
		return
	}
	writing := map[string]bool{}
	sh.out.each(func(b contract.Body) {
		switch b := b.(type) {
		case *contract.Submit:
			writing[b.Job] = true
		case *contract.Cancel:
			writing[b.Job] = true
		}
	})
	names := shardsOf(s.version.Manifest)
	wanted := map[string]bool{}
	for _, k := range s.version.Manifest.Kinds {
		if k.Class != manifest.ClassService {
			continue
		}
		n := 0
		if slices.Contains(names, sh.name) {
			n = replicas(k, sh.name, names)
		}
		id := serviceJob(sh.name, k.Name)
		j := sh.state.Job(id)
		wanted[id] = n > 0
		if n == 0 || writing[id] || j != nil && !j.Cancelled && j.Submit.Tasks == n {
			continue
		}
		s.put(sh, 0, &contract.Submit{Job: id, Kind: k.Name, Team: k.Team, Tasks: n, Submitted: now,
			Config: s.version.Offset, Service: true})
	}
	for _, j := range sh.state.Jobs() {
		id := j.Submit.Job
		if j.Submit.Service && !j.Cancelled && !wanted[id] && !writing[id] {
			s.put(sh, 0, &contract.Cancel{Job: id, At: now})
		}
	}
}
