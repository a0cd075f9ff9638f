package manifest

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Change is one field that differs between two manifests. Old or New is empty if the field exists in one of them only.
type Change struct {
	// Path names the field. Entries of lists are identified by name, for example kinds[cavity-cost].deadline.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// immutable maps the paths of the fields that must not change to the reason.
var immutable = map[string]string{
	"deployment":      "a manifest of another deployment would take over the workers of this one",
	"currency":        "recorded costs do not state their currency",
	"racks_per_shard": "epochs cannot be compared between shards",
	"worker.per_rack": "workers would move between shards",
}

// Diff returns the fields that differ, sorted by path. The error is an *ImmutableError if one of them must not change.
// old may be nil; every field is then new.
func Diff(old, new *Manifest) ([]Change, error) {
	before, after := flatten(old), flatten(new)
	var out []Change
	for path, v := range before {
		if after[path] != v {
			out = append(out, Change{Path: path, Old: v, New: after[path]})
		}
	}
	for path, v := range after {
		if _, known := before[path]; !known {
			out = append(out, Change{Path: path, New: v})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	for _, c := range out {
		if reason, found := immutable[c.Path]; found && old != nil {
			return out, &ImmutableError{Path: c.Path, Old: c.Old, New: c.New, Reason: reason}
		}
	}
	return out, nil
}

// fields maps paths to formatted values. Values are never empty, so an empty one stands for an absent path.
type fields map[string]string

func (f fields) set(path string, v any) { f[path] = fmt.Sprint(v) }

func (f fields) money(path string, micros int64) { f[path] = FormatMoney(micros) }

func (f fields) size(path string, v resource.Vector) {
	f[path+".cores"] = formatQuantity(v.MilliCores)
	f[path+".memory_gb"] = formatQuantity(v.MemoryMB)
	f[path+".accelerators"] = strconv.FormatInt(v.Accelerators, 10)
}

// flatten returns the fields of a manifest; it has none if m is nil.
func flatten(m *Manifest) fields {
	f := fields{}
	if m == nil {
		return f
	}
	f.set("deployment", m.Deployment)
	f.set("currency", m.Currency)
	f.set("racks_per_shard", m.RacksPerShard)
	f.set("links.between_data_centres", m.Links.BetweenDataCentres)
	f.set("links.to_callers", m.Links.ToCallers)
	f.set("worker.slots", m.Worker.Slots)
	f.set("worker.connections", m.Worker.Connections)
	f.set("worker.per_rack", m.Worker.PerRack)
	f.size("worker.capacity", m.Worker.Capacity)
	f.money("prices.core_hour", m.Prices.CoreHour)
	f.money("prices.memory_gb_hour", m.Prices.MemoryGBHour)
	f.money("prices.accelerator_hour", m.Prices.AcceleratorHour)
	for _, dc := range m.DataCentres {
		f.set("data_centres["+dc.Name+"].region", dc.Region)
		f.set("data_centres["+dc.Name+"].workers", dc.Workers)
	}
	for _, t := range m.Teams {
		f.size("teams["+t.Name+"].quota", t.Quota)
		f.money("teams["+t.Name+"].daily_spending", t.DailySpending)
	}
	for _, k := range m.Kinds {
		f.kind("kinds["+k.Name+"]", k)
	}
	f.policies(m.Policies)
	return f
}

func (f fields) kind(path string, k Kind) {
	f.set(path+".team", k.Team)
	f.set(path+".class", k.Class)
	f.set(path+".urgency", k.Urgency)
	f.size(path+".size", k.Size)
	f.set(path+".run_time", k.RunTime)
	f.set(path+".deadline", k.Deadline)
	f.set(path+".idempotent", k.Idempotent)
	f.money(path+".spending", k.Spending)
	f.set(path+".checkpoint_every", k.CheckpointEvery)
	f.set(path+".max_attempts", k.MaxAttempts)
	f.set(path+".replicas", k.Replicas)
}

func (f fields) policies(p Policies) {
	f.set("policies.routing", p.Routing)
	f.set("policies.admission", p.Admission)
	f.set("policies.ejection", p.Ejection)
	f.set("policies.placement", p.Placement)
	f.set("policies.isolation_limit", p.IsolationLimit)
	f.set("policies.lease_ttl", p.LeaseTTL)
	f.set("policies.owner_timeout", p.OwnerTimeout)
	f.set("policies.queue_limit", p.QueueLimit)
	f.set("policies.retry_share", p.RetryShare)
}
