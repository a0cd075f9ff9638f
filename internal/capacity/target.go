package capacity

// The target size of the design page, section 1.5.
const (
	targetWorkers = 500
	// targetTasks are 2,200 latency-critical and 12,000 batch tasks. Both are under the owner's lease.
	targetTasks   = 14_200
	targetStarts  = 70.0
	targetTeams   = 200
	targetEntries = 8
	// targetShards are 500 workers in racks of 8, 3 racks to a shard, in 5 data centres.
	targetShards = 23
	// targetChanges are 1,000 configuration changes within 8 working hours.
	targetChanges = 1000.0 / (8 * 3600)
	// share is the part of the fleet that one of the entry instances owns.
	share = 1.0 / targetEntries
)

// references are the sizes of the axes in a run that varies another axis. scripts/capacity.sh uses the same.
var references = map[Axis]float64{
	AxisWorkers: 16, AxisTasks: 0, AxisStarts: 0, AxisTeams: 10, AxisGateways: 1, AxisSchedulers: 2, AxisShards: 1, AxisRequests: 0,
	AxisChanges: 0,
}

// Axes lists the axes in the order of the tables, with the unit of their size.
var Axes = []struct {
	Axis Axis
	Unit string
}{
	{AxisWorkers, "worker"}, {AxisTasks, "running task"}, {AxisStarts, "task start/s"}, {AxisTeams, "team"}, {AxisGateways, "gateway"},
	{AxisSchedulers, "scheduler"}, {AxisShards, "shard"}, {AxisRequests, "request/s"}, {AxisChanges, "change/s"},
}

// term is the part of an estimate that one axis adds: the slope of a measured role times size.
type term struct {
	axis Axis
	from Role
	size float64
}

// beyond returns a term for the distance from the reference to size.
func beyond(axis Axis, from Role, size float64) term {
	return term{axis: axis, from: from, size: size - references[axis]}
}

// plan says how the cost of a role at the target is put together.
type plan struct {
	role  Role
	terms []term
}

// plans are the estimates. A gateway accepts an eighth of the jobs. An owner holds an eighth of the workers and follows the streams of the others as a standby does, so
// it pays the owner's slope for its share and the standby's slope for the rest.
var plans = []plan{
	{RoleGateway, []term{beyond(AxisWorkers, RoleGateway, targetWorkers), beyond(AxisTasks, RoleGateway, targetTasks),
		beyond(AxisStarts, RoleGateway, targetStarts*share), beyond(AxisTeams, RoleGateway, targetTeams),
		beyond(AxisGateways, RoleGateway, targetEntries), beyond(AxisSchedulers, RoleGateway, targetEntries),
		beyond(AxisShards, RoleGateway, targetShards), beyond(AxisChanges, RoleGateway, targetChanges)}},
	{RoleOwner, []term{beyond(AxisWorkers, RoleOwner, targetWorkers*share), {AxisWorkers, RoleStandby, targetWorkers * (1 - share)},
		beyond(AxisTasks, RoleOwner, targetTasks*share), {AxisTasks, RoleStandby, targetTasks * (1 - share)},
		beyond(AxisStarts, RoleOwner, targetStarts*share), {AxisStarts, RoleStandby, targetStarts * (1 - share)},
		beyond(AxisTeams, RoleOwner, targetTeams), beyond(AxisGateways, RoleOwner, targetEntries),
		beyond(AxisSchedulers, RoleOwner, targetEntries), beyond(AxisShards, RoleOwner, targetShards),
		beyond(AxisChanges, RoleOwner, targetChanges)}},
	{RoleStandby, []term{beyond(AxisWorkers, RoleStandby, targetWorkers), beyond(AxisTasks, RoleStandby, targetTasks),
		beyond(AxisStarts, RoleStandby, targetStarts), beyond(AxisTeams, RoleStandby, targetTeams),
		beyond(AxisGateways, RoleStandby, targetEntries), beyond(AxisSchedulers, RoleStandby, targetEntries),
		beyond(AxisShards, RoleOwner, targetShards), beyond(AxisChanges, RoleStandby, targetChanges)}},
	{RoleLog, []term{beyond(AxisWorkers, RoleLog, targetWorkers), beyond(AxisTasks, RoleLog, targetTasks),
		beyond(AxisStarts, RoleLog, targetStarts), beyond(AxisTeams, RoleLog, targetTeams), beyond(AxisGateways, RoleLog, targetEntries),
		beyond(AxisSchedulers, RoleLog, targetEntries), beyond(AxisShards, RoleLog, targetShards), beyond(AxisChanges, RoleLog, targetChanges)}},
}

// limit is the most that a role may cost.
type limit struct {
	role   Role
	metric Metric
	most   float64
}

// The limits of the design page. RoleWorkers stands for one worker instance and RoleEntry for an entry instance.
const (
	limitCPU        = 2    // percent of a core
	limitMemory     = 128  // MB
	limitControl    = 5000 // B/s
	limitAppends    = 300  // appends/s of the stand-in; the platform takes several hundred
	limitInForce    = 8    // s
	limitUrgentWait = 5.7  // s
)

// RoleEntry is an entry instance: a gateway and an owner.
const RoleEntry Role = "entry instance"

// RoleWorkerInstance is one worker instance, which only control calls reach.
const RoleWorkerInstance Role = "worker instance"

var limits = []limit{
	{RoleGateway, MetricCPU, limitCPU}, {RoleGateway, MetricResident, limitMemory}, {RoleGateway, MetricControl, limitControl},
	{RoleOwner, MetricCPU, limitCPU}, {RoleOwner, MetricResident, limitMemory}, {RoleOwner, MetricControl, limitControl},
	{RoleStandby, MetricCPU, limitCPU}, {RoleStandby, MetricResident, limitMemory}, {RoleStandby, MetricControl, limitControl},
	{RoleEntry, MetricCPU, limitCPU}, {RoleEntry, MetricResident, limitMemory}, {RoleEntry, MetricControl, limitControl},
	{RoleWorkerInstance, MetricCPU, limitCPU}, {RoleWorkerInstance, MetricResident, limitMemory},
	{RoleWorkerInstance, MetricWorkerControl, limitControl},
	{RoleLog, MetricAppends, limitAppends}, {RoleRun, MetricInForce, limitInForce}, {RoleRun, MetricQueueWait, limitUrgentWait},
}
