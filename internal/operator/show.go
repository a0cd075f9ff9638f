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

// WorkersCommand lists the workers.
type WorkersCommand struct{}

// workerRow is a worker with its shard.
type workerRow struct {
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
	out := []workerRow{}
	t := &table{columns: []string{"WORKER", "DATA CENTRE", "RACK", "SHARD", "STATE", "SLOTS", "CONNECTIONS", "CORES",
		"MEMORY GB", "ACCELERATORS", "ADDRESS"}}
	for _, m := range members {
		w := workerRow{Member: m}
		if perShard > 0 {
			w.Shard = datacentre.Shard(m.DataCentre, m.Rack, perShard)
		}
		out = append(out, w)
		t.add(m.ID, m.DataCentre, m.Rack, w.Shard, m.State, m.Slots, m.Connections, thousandths(m.Capacity.MilliCores),
			thousandths(m.Capacity.MemoryMB), m.Capacity.Accelerators, m.Addr)
	}
	t.footer = plural(len(out), "worker") + "."
	return e.print(out, t)
}

// thousandths formats a value in thousandths as a decimal number.
func thousandths(v int64) string { return strconv.FormatFloat(float64(v)/1000, 'f', -1, 64) }

// racksPerShard returns the value of the manifest in force, or 0 if it cannot be read. Shards are then not shown.
func (e *Env) racksPerShard(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	h, err := config.ReadHistory(ctx, e.log)
	if err != nil || h.Chain.Version() == nil {
		return 0
	}
	return h.Chain.Version().Manifest.RacksPerShard
}

// ShardsCommand lists the shards and their owners.
type ShardsCommand struct{}

// Run implements the command.
func (c *ShardsCommand) Run(ctx context.Context, e *Env) error {
	shards := []contract.ShardState{}
	if err := e.callGateway(ctx, call{method: http.MethodGet, path: "/v1/shards", out: &shards}); err != nil {
		return err
	}
	slices.SortFunc(shards, func(a, b contract.ShardState) int { return cmp.Compare(a.Shard, b.Shard) })
	t := &table{columns: []string{"SHARD", "OWNER", "EPOCH", "OFFSET", "WORKERS", "FENCED", "PENDING", "RUNNING",
		"SLOTS GRANTED", "SNAPSHOT"}}
	for _, s := range shards {
		t.add(s.Shard, s.Owner, s.Epoch, s.Offset, s.Workers, s.Fenced, s.Pending, s.Running, s.SlotsGiven, s.Snapshot)
	}
	t.footer = plural(len(shards), "shard") + "."
	return e.print(shards, t)
}

// InstancesCommand lists the gateways and schedulers.
type InstancesCommand struct{}

// instanceRow is an instance with its status, or the error of the query.
type instanceRow struct {
	instance.Member
	ConfigOffset uint64 `json:"config_offset"`
	Ready        bool   `json:"ready"`
	Error        string `json:"error,omitempty"`
}

// Run implements the command.
func (c *InstancesCommand) Run(ctx context.Context, e *Env) error {
	all, err := e.queryInstances(ctx)
	if err != nil {
		return err
	}
	out := []instanceRow{}
	t := &table{columns: []string{"INSTANCE", "ROLE", "DATA CENTRE", "STATE", "READY", "VERSION", "ADDRESS",
		"HTTP ADDRESS"}}
	for _, a := range all {
		m := instanceRow{Member: a.member, ConfigOffset: a.status.ConfigOffset, Ready: a.status.Ready}
		ready, version := strconv.FormatBool(m.Ready), formatVersion(m.ConfigOffset)
		if a.err != nil {
			m.Error = a.err.Error()
			ready, version = "no answer", "unknown"
		}
		out = append(out, m)
		t.add(m.ID, m.Role, m.DataCentre, m.State, ready, version, m.Addr, m.HTTPAddr)
	}
	t.footer = plural(len(out), "instance") + "."
	return e.print(out, t)
}

// ExplainCommand explains the decisions about a job or worker.
type ExplainCommand struct {
	Subject string `arg:"" help:"Id of a job or worker."`
}

// Run implements the command.
func (c *ExplainCommand) Run(ctx context.Context, e *Env) error {
	var out struct {
		Lines []string `json:"lines"`
	}
	err := e.callGateway(ctx, call{method: http.MethodGet, path: "/v1/explain/" + url.PathEscape(c.Subject), out: &out})
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

// DrainCommand drains a worker or undoes its drain.
type DrainCommand struct {
	Worker string `arg:"" help:"Id of the worker."`
	Undo   bool   `help:"Let the worker take new work again."`
}

// drainRequest is the request body of POST /v1/drain and the result of the command drain.
type drainRequest struct {
	Worker string `json:"worker"`
	Drain  bool   `json:"drain"`
}

// Run implements the command.
func (c *DrainCommand) Run(ctx context.Context, e *Env) error {
	in := drainRequest{Worker: c.Worker, Drain: !c.Undo}
	if err := e.callGateway(ctx, call{method: http.MethodPost, path: "/v1/drain", in: in}); err != nil {
		return notFound(err, "worker", c.Worker)
	}
	if c.Undo {
		return e.printResult(in, "Worker %s takes new work again.", c.Worker)
	}
	return e.printResult(in, "Worker %s gets no new work; its tasks are being moved to other workers.", c.Worker)
}
