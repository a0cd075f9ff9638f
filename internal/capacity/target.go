package capacity

// The target size of the design page, section 1.5.
const (
	targetWorkers = 500
	// targetTasks is the sum of 2,200 latency-critical and 12,000 batch tasks. Both are covered by the owner's lease.
	targetTasks   = 14_200
	targetStarts  = 70.0
	targetTeams   = 200
	targetEntries = 8
	// targetShards is the number of shards for 500 workers in racks of 8, with 3 racks per shard, in 5 data centres.
	targetShards = 23
	// targetChanges is 1,000 configuration changes in 8 working hours, per second.
	targetChanges = 1000.0 / (8 * 3600)
	// ownerShare is the share of the workers that one entry instance owns.
	ownerShare = 1.0 / targetEntries
)

// referenceSizes holds the size of each axis in runs that vary another axis. They must match scripts/capacity.sh.
var referenceSizes = map[Axis]float64{
	AxisWorkers: 16, AxisTasks: 0, AxisStarts: 0, AxisTeams: 10, AxisGateways: 1, AxisSchedulers: 2, AxisShards: 1,
	AxisRequests: 0, AxisChanges: 0,
}

// Axes lists the axes in the order of the tables, with the unit of their size.
var Axes = []struct {
	Axis Axis
	Unit string
}{
	{AxisWorkers, "worker"}, {AxisTasks, "running task"}, {AxisStarts, "task start/s"}, {AxisTeams, "team"},
	{AxisGateways, "gateway"}, {AxisSchedulers, "scheduler"}, {AxisShards, "shard"}, {AxisRequests, "request/s"},
	{AxisChanges, "change/s"},
}

// term is the contribution of one axis to an estimate: the slope on that axis, measured for slopeRole, times distance.
type term struct {
	axis      Axis
	slopeRole Role
	distance  float64
}

// toTarget returns the term for the distance from the reference size to the target.
func toTarget(axis Axis, slopeRole Role, target float64) term {
	return term{axis: axis, slopeRole: slopeRole, distance: target - referenceSizes[axis]}
}

// costModel defines the cost of a role at the target: the cost of the reference run plus the terms.
type costModel struct {
	role  Role
	terms []term
}

// costModels holds the cost models of the measured roles. A gateway accepts an eighth of the jobs. An owner owns an
// eighth of the workers and follows the streams of the others as a standby does, so its cost is the owner's slope for
// its share and the standby's slope for the rest.
var costModels = []costModel{
	{RoleGateway, []term{
		toTarget(AxisWorkers, RoleGateway, targetWorkers), toTarget(AxisTasks, RoleGateway, targetTasks),
		toTarget(AxisStarts, RoleGateway, targetStarts*ownerShare), toTarget(AxisTeams, RoleGateway, targetTeams),
		toTarget(AxisGateways, RoleGateway, targetEntries), toTarget(AxisSchedulers, RoleGateway, targetEntries),
		toTarget(AxisShards, RoleGateway, targetShards), toTarget(AxisChanges, RoleGateway, targetChanges)}},
	{RoleOwner, []term{
		toTarget(AxisWorkers, RoleOwner, targetWorkers*ownerShare),
		{AxisWorkers, RoleStandby, targetWorkers * (1 - ownerShare)},
		toTarget(AxisTasks, RoleOwner, targetTasks*ownerShare),
		{AxisTasks, RoleStandby, targetTasks * (1 - ownerShare)},
		toTarget(AxisStarts, RoleOwner, targetStarts*ownerShare),
		{AxisStarts, RoleStandby, targetStarts * (1 - ownerShare)},
		toTarget(AxisTeams, RoleOwner, targetTeams), toTarget(AxisGateways, RoleOwner, targetEntries),
		toTarget(AxisSchedulers, RoleOwner, targetEntries), toTarget(AxisShards, RoleOwner, targetShards),
		toTarget(AxisChanges, RoleOwner, targetChanges)}},
	{RoleStandby, []term{
		toTarget(AxisWorkers, RoleStandby, targetWorkers), toTarget(AxisTasks, RoleStandby, targetTasks),
		toTarget(AxisStarts, RoleStandby, targetStarts), toTarget(AxisTeams, RoleStandby, targetTeams),
		toTarget(AxisGateways, RoleStandby, targetEntries), toTarget(AxisSchedulers, RoleStandby, targetEntries),
		toTarget(AxisShards, RoleOwner, targetShards), toTarget(AxisChanges, RoleStandby, targetChanges)}},
	{RoleLog, []term{
		toTarget(AxisWorkers, RoleLog, targetWorkers), toTarget(AxisTasks, RoleLog, targetTasks),
		toTarget(AxisStarts, RoleLog, targetStarts), toTarget(AxisTeams, RoleLog, targetTeams),
		toTarget(AxisGateways, RoleLog, targetEntries), toTarget(AxisSchedulers, RoleLog, targetEntries),
		toTarget(AxisShards, RoleLog, targetShards), toTarget(AxisChanges, RoleLog, targetChanges)}},
}

// limit is the highest value of a metric that a role may have.
type limit struct {
	role     Role
	metric   Metric
	maxValue float64
}

// The limits of the design page.
const (
	maxCPUPercent            = 2 // of one core
	maxMemoryMB              = 128
	maxControlBytesPerSecond = 5000
	maxAppendsPerSecond      = 300 // of the stand-in; the platform accepts several hundred
	maxInForceSeconds        = 8
	maxQueueWaitSeconds      = 5.7
)

// RoleEntry is an entry instance, which runs a gateway and an owner.
const RoleEntry Role = "entry instance"

// RoleWorkerInstance is one worker instance. Of its traffic only control calls have a limit.
const RoleWorkerInstance Role = "worker instance"

// limits holds the limits in the order of the table.
var limits = []limit{
	{RoleGateway, MetricCPU, maxCPUPercent}, {RoleGateway, MetricResident, maxMemoryMB},
	{RoleGateway, MetricControl, maxControlBytesPerSecond},
	{RoleOwner, MetricCPU, maxCPUPercent}, {RoleOwner, MetricResident, maxMemoryMB},
	{RoleOwner, MetricControl, maxControlBytesPerSecond},
	{RoleStandby, MetricCPU, maxCPUPercent}, {RoleStandby, MetricResident, maxMemoryMB},
	{RoleStandby, MetricControl, maxControlBytesPerSecond},
	{RoleEntry, MetricCPU, maxCPUPercent}, {RoleEntry, MetricResident, maxMemoryMB},
	{RoleEntry, MetricControl, maxControlBytesPerSecond},
	{RoleWorkerInstance, MetricCPU, maxCPUPercent}, {RoleWorkerInstance, MetricResident, maxMemoryMB},
	{RoleWorkerInstance, MetricWorkerControl, maxControlBytesPerSecond},
	{RoleLog, MetricAppends, maxAppendsPerSecond}, {RoleRun, MetricInForce, maxInForceSeconds},
	{RoleRun, MetricQueueWait, maxQueueWaitSeconds},
}
