package operator

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
)

// WorkersCommand lists workers.
type WorkersCommand struct{}

// worker is a member with its shard.
type worker struct {
	instance.Member
	Shard string `json:"shard,omitempty"`
}

// Run implements the command.
func (c *WorkersCommand) Run(ctx context.Context, e *Env) error {
	members, err := e.list.Members(ctx, instance.RoleWorker)
	if err != nil {
		return err
	}
	slices.SortFunc(members, func(a, b instance.Member) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	perShard := e.racksPerShard(ctx)
	out := []worker{}
	t := &table{columns: []string{"WORKER", "DATA CENTRE", "RACK", "SHARD", "STATE", "SLOTS", "CONNECTIONS", "CORES", "MEMORY GB",
		"ACCELERATORS", "ADDRESS"}}
	for _, m := range members {
		w := worker{Member: m}
		if perShard > 0 {
			w.Shard = datacentre.Shard(m.DataCentre, m.Rack, perShard)
		}
		out = append(out, w)
		t.add(m.ID, m.DataCentre, m.Rack, w.Shard, m.State, m.Slots, m.Connections, thousandths(m.Capacity.MilliCores),
			thousandths(m.Capacity.MemoryMB), m.Capacity.Accelerators, m.Addr)
	}
	t.note = plural(len(out), "worker") + "."
	return e.print(out, t)
}

func thousandths(v int64) string { return strconv.FormatFloat(float64(v)/1000, 'f', -1, 64) }

// racksPerShard returns zero if no manifest can be read; shards are then not shown.
func (e *Env) racksPerShard(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	h, err := config.ReadHistory(ctx, e.log)
	if err != nil || h.Chain.Version() == nil {
		return 0
	}
	return h.Chain.Version().Manifest.RacksPerShard
}

// ShardsCommand lists shards.
type ShardsCommand struct{}

// Run implements the command.
func (c *ShardsCommand) Run(ctx context.Context, e *Env) error {
	shards := []contract.ShardState{}
	if err := e.ask(ctx, call{method: http.MethodGet, path: "/v1/shards", out: &shards}); err != nil {
		return err
	}
	slices.SortFunc(shards, func(a, b contract.ShardState) int { return cmp.Compare(a.Shard, b.Shard) })
	t := &table{columns: []string{"SHARD", "OWNER", "EPOCH", "OFFSET", "WORKERS", "FENCED", "PENDING", "RUNNING", "SLOTS GRANTED", "SNAPSHOT"}}
	for _, s := range shards {
		t.add(s.Shard, s.Owner, s.Epoch, s.Offset, s.Workers, s.Fenced, s.Pending, s.Running, s.SlotsGiven, s.Snapshot)
	}
	t.note = plural(len(shards), "shard") + "."
	return e.print(shards, t)
}

// InstancesCommand lists gateways and schedulers.
type InstancesCommand struct{}

type entry struct {
	instance.Member
	ConfigOffset uint64 `json:"config_offset"`
	Ready        bool   `json:"ready"`
	Error        string `json:"error,omitempty"`
}

// Run implements the command.
func (c *InstancesCommand) Run(ctx context.Context, e *Env) error {
	all, err := e.askInstances(ctx)
	if err != nil {
		return err
	}
	out := []entry{}
	t := &table{columns: []string{"INSTANCE", "ROLE", "DATA CENTRE", "STATE", "READY", "VERSION", "ADDRESS", "HTTP ADDRESS"}}
	for _, a := range all {
		m := entry{Member: a.member, ConfigOffset: a.status.ConfigOffset, Ready: a.status.Ready}
		ready, version := strconv.FormatBool(m.Ready), formatVersion(m.ConfigOffset)
		if a.err != nil {
			m.Error = a.err.Error()
			ready, version = "no answer", "unknown"
		}
		out = append(out, m)
		t.add(m.ID, m.Role, m.DataCentre, m.State, ready, version, m.Addr, m.HTTPAddr)
	}
	t.note = plural(len(out), "instance") + "."
	return e.print(out, t)
}

// ExplainCommand explains decisions.
type ExplainCommand struct {
	Subject string `arg:"" help:"Id of a job or worker."`
}

// Run implements the command.
func (c *ExplainCommand) Run(ctx context.Context, e *Env) error {
	var out struct {
		Lines []string `json:"lines"`
	}
	err := e.ask(ctx, call{method: http.MethodGet, path: "/v1/explain/" + url.PathEscape(c.Subject), out: &out})
	if err != nil {
		return notFound(err, "job or worker", c.Subject)
	}
	if len(out.Lines) == 0 {
		return &NotFoundError{What: "job or worker", Name: c.Subject}
	}
	t := &table{}
	for _, l := range out.Lines {
		t.add(l)
	}
	return e.print(out, t)
}

// DrainCommand drains a worker.
type DrainCommand struct {
	Worker string `arg:"" help:"Id of the worker."`
	Undo   bool   `help:"Let the worker take new work again."`
}

type drain struct {
	Worker string `json:"worker"`
	Drain  bool   `json:"drain"`
}

// Run implements the command.
func (c *DrainCommand) Run(ctx context.Context, e *Env) error {
	in := drain{Worker: c.Worker, Drain: !c.Undo}
	if err := e.ask(ctx, call{method: http.MethodPost, path: "/v1/drain", in: in}); err != nil {
		return notFound(err, "worker", c.Worker)
	}
	if c.Undo {
		return e.say(in, "Worker %s takes new work again.", c.Worker)
	}
	return e.say(in, "Worker %s gets no new work, and its tasks are being moved.", c.Worker)
}
