package manifest

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/quota"
	"clementinewalk.example/clementinewalk/internal/resource"
)

// Review parses a manifest as Parse does, and returns its doubtful values: fields that are valid, but of which a part can never
// take effect. They are not problems of Parse, because a manifest that is in force must stay readable.
func Review(name string, data []byte) (*Manifest, []Problem, error) {
	m, d, err := parse(name, data)
	if err != nil {
		return nil, nil, err
	}
	m.reviewRoom(d)
	for i, t := range m.Teams {
		m.reviewTeam(d, fmt.Sprintf("teams[%d]", i), t)
	}
	for i, k := range m.Kinds {
		m.reviewKind(d, fmt.Sprintf("kinds[%d]", i), k)
	}
	warnings := d.problems
	slices.SortStableFunc(warnings, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return m, warnings[:min(len(warnings), maxProblems)], nil
}

// workers returns the number of workers, at most 1,000,000, so that their capacities can be added up.
func (m *Manifest) workers() int64 {
	n := 0
	for _, dc := range m.DataCentres {
		n += dc.Workers
	}
	return int64(min(n, maxWorkers))
}

// taskRoom returns what a worker has for tasks, beside its slots.
func (m *Manifest) taskRoom() resource.Vector {
	return m.Worker.Capacity.Sub(m.Envelope().Scale(int64(m.Worker.Slots)))
}

// reviewRoom reports quotas and services that are larger than what all workers have beside their slots.
func (m *Manifest) reviewRoom(d *decoder) {
	all := m.taskRoom().Scale(m.workers())
	var quotas, services resource.Vector
	for _, t := range m.Teams {
		quotas, services = quotas.Add(t.Quota), services.Add(m.servicesOf(t))
	}
	d.require(services.Fits(all), "kinds", "all services need %s, more than the %s that all workers have beside their slots",
		describe(services), describe(all))
	d.require(quotas.Fits(all), "teams",
		"the quotas add up to %s, more than the %s that all workers have beside their slots: not all teams can use theirs at once",
		describe(quotas), describe(all))
}

// servicesOf returns what all services of a team need.
func (m *Manifest) servicesOf(t Team) resource.Vector {
	var v resource.Vector
	for _, k := range m.Kinds {
		if k.Team == t.Name && k.Class == ClassService {
			v = v.Add(k.Size.Scale(int64(k.Replicas)))
		}
	}
	return v
}

func (m *Manifest) reviewTeam(d *decoder, path string, t Team) {
	var largest resource.Vector
	kinds, perDay := 0, int64(0)
	for _, k := range m.Kinds {
		if k.Team != t.Name {
			continue
		}
		kinds++
		switch k.Class {
		case ClassBatch:
			largest = largest.Max(k.Size)
		case ClassService:
			cost := m.Prices.Of(k.Size.Scale(int64(k.Replicas)), 24*time.Hour)
			perDay += min(cost, math.MaxInt64-perDay)
		}
	}
	d.require(kinds > 0, path+".name", "no kind belongs to the team")
	services := m.servicesOf(t)
	d.require(services.Fits(t.Quota), path+".quota", "all services of the team need %s, so some replicas never run", describe(services))
	d.require(perDay <= t.DailySpending, path+".daily_spending", "the services of the team cost %s a day", FormatMoney(perDay))
	if largest != (resource.Vector{}) && services.Fits(t.Quota) {
		shards := len(Shards(m))
		n := quota.FitCount(t.Quota.Sub(services), largest, shards)
		d.require(n == shards, path+".quota", "beside the services, %d of %d shards get a share for the largest batch task; "+
			"in the others such a task waits", n, shards)
	}
}

func (m *Manifest) reviewKind(d *decoder, path string, k Kind) {
	if t, ok := m.Team(k.Team); ok {
		d.require(k.Spending <= t.DailySpending, path+".spending", "is more than the team may spend in a day (%s)",
			FormatMoney(t.DailySpending))
	}
	d.require(k.Class != ClassBatch || k.CheckpointEvery < k.RunTime, path+".checkpoint_every",
		"is not below run_time (%s), so tasks of this length leave no checkpoint", k.RunTime)
	if k.Class == ClassService {
		n := int64(quota.FitCount(m.taskRoom(), k.Size, maxPerWorker)) * m.workers()
		d.require(int64(k.Replicas) <= n, path+".replicas", "all workers together have room for %d", n)
	}
}
