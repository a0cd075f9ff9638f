package placement

import (
	"fmt"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Error implements error. The text is shown to operators and sent as the reason why a job is parked.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("tasks of kind %s are not placed: %s", r.Task.Kind, r.Reason)
	if r.Reason == ReasonQuota {
		s += fmt.Sprintf(", team %s holds %s of its share %s in this shard", r.Task.Team, formatVector(r.Held),
			formatVector(r.Share))
	}
	for _, c := range []Reason{ReasonNoRoom, ReasonTooLarge, ReasonUnfenced, ReasonLeaving, ReasonDraining,
		ReasonQuarantined} {
		if n := r.Counts[c]; n > 0 {
			s += fmt.Sprintf(", %d workers %s", n, c)
		}
	}
	return s
}

func formatVector(v resource.Vector) string {
	return fmt.Sprintf("%d millicores, %d MB, %d accelerators", v.MilliCores, v.MemoryMB, v.Accelerators)
}

// PolicyError reports an unknown policy name.
type PolicyError struct{ Name string }

// Error implements error.
func (e *PolicyError) Error() string {
	return fmt.Sprintf("placement policy %q does not exist; allowed: best-fit, spread, least-laxity", e.Name)
}
