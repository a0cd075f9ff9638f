package manifest

import (
	"fmt"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// check reports the problems that involve more than one field.
func (m *Manifest) check(d *decoder) {
	unique(d, "data_centres", m.DataCentres, func(c DataCentre) string { return c.Name })
	unique(d, "teams", m.Teams, func(t Team) string { return t.Name })
	unique(d, "kinds", m.Kinds, func(k Kind) string { return k.Name })
	m.checkWorker(d)
	for i, k := range m.Kinds {
		m.checkKind(d, fmt.Sprintf("kinds[%d]", i), k)
	}
	d.require(m.Policies.OwnerTimeout < m.Policies.LeaseTTL, "policies.owner_timeout",
		"must be shorter than lease_ttl (%s); tasks would be lost at each change of owner", m.Policies.LeaseTTL)
	d.require(m.Policies.LeaseTTL <= m.Policies.IsolationLimit, "policies.isolation_limit",
		"must be at least lease_ttl (%s)", m.Policies.LeaseTTL)
}

// unique reports each entry of list whose name is already that of an earlier entry.
func unique[T any](d *decoder, list string, entries []T, name func(T) string) {
	first := map[string]int{}
	for i, e := range entries {
		n := name(e)
		if j, seen := first[n]; seen && n != "" {
			d.report(fmt.Sprintf("%s[%d].name", list, i), "%q is already the name of %s[%d]", n, list, j)
			continue
		}
		first[n] = i
	}
}

// checkWorker reports a worker whose capacity does not cover the reservation for all its slots, or with fewer
// connections than slots.
func (m *Manifest) checkWorker(d *decoder) {
	reserved := m.Envelope().Scale(int64(m.Worker.Slots))
	d.require(reserved.Fits(m.Worker.Capacity), "worker",
		"%d slots of the largest request (%s) need %s, more than the capacity %s",
		m.Worker.Slots, describe(m.Envelope()), describe(reserved), describe(m.Worker.Capacity))
	d.require(m.Worker.Connections >= m.Worker.Slots, "worker.connections", "must be at least slots (%d)",
		m.Worker.Slots)
}

func (m *Manifest) checkKind(d *decoder, path string, k Kind) {
	team, known := m.Team(k.Team)
	d.require(known, path+".team", "team %q does not exist", k.Team)
	capacityValid := m.Worker.Capacity.MilliCores > 0 && m.Worker.Capacity.MemoryMB > 0
	d.require(!capacityValid || k.Size.Fits(m.Worker.Capacity), path+".size", "%s does not fit a worker of %s",
		describe(k.Size),
		describe(m.Worker.Capacity))
	if capacityValid && (k.Class == ClassBatch || k.Class == ClassService) {
		m.checkTask(d, path, k, team, known)
	}
	d.require(k.Class == ClassService || k.Deadline >= k.RunTime, path+".deadline",
		"must not be shorter than run_time (%s)", k.RunTime)
	price := m.Price(k, k.RunTime)
	d.require(k.Spending >= price || k.Class == ClassService, path+".spending",
		"%s is less than the price %s of the declared size and run_time", FormatMoney(k.Spending), FormatMoney(price))
}

// checkTask reports kinds whose tasks can never be placed: a task may use only the capacity of a worker that is not
// reserved for slots, and all replicas together must fit the quota of the team.
func (m *Manifest) checkTask(d *decoder, path string, k Kind, team Team, known bool) {
	reserved := m.Envelope().Scale(int64(m.Worker.Slots))
	free := m.Worker.Capacity.Sub(reserved)
	d.require(!reserved.Fits(m.Worker.Capacity) || k.Size.Fits(free), path+".size",
		"%s does not fit a worker beside its slots, which leave %s", describe(k.Size), describe(free))
	total := k.Size.Scale(int64(max(k.Replicas, 1)))
	d.require(!known || total.Fits(team.Quota), path+".size",
		"%s for all replicas does not fit the quota %s of team %s",
		describe(total), describe(team.Quota), k.Team)
}

func describe(v resource.Vector) string {
	return fmt.Sprintf("%s cores, %s GB, %d accelerators", formatQuantity(v.MilliCores), formatQuantity(v.MemoryMB),
		v.Accelerators)
}
