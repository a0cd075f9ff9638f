// Package manifest holds the instruction that a build pipeline gives to the system: kinds of work, their urgency,
// size, deadline and permitted spending, the teams with their quotas, and the policies.
package manifest

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Class tells how work is served.
type Class string

// The classes of work. A request occupies a slot while its caller waits, a batch task runs to its end before a
// deadline, a service task runs until it is withdrawn.
const (
	ClassRequest Class = "request"
	ClassBatch   Class = "batch"
	ClassService Class = "service"
)

// Urgency orders work of the same class; the least urgent is shed first.
type Urgency string

// The urgencies, most urgent first.
const (
	UrgencyInteractive Urgency = "interactive"
	UrgencyStandard    Urgency = "standard"
	UrgencyBackground  Urgency = "background"
)

// Rank returns 0 for the most urgent value and grows with lower urgency.
func (u Urgency) Rank() int {
	switch u {
	case UrgencyInteractive:
		return 0
	case UrgencyStandard:
		return 1
	}
	return 2
}

// Manifest is one checked version of the instruction.
type Manifest struct {
	Deployment string
	Currency   string
	// RacksPerShard must not change between versions: the epochs of two shards cannot be compared.
	RacksPerShard int
	DataCentres   []DataCentre
	Links         Links
	Worker        Worker
	Prices        Prices
	Teams         []Team
	Kinds         []Kind
	Policies      Policies
}

// DataCentre is a site with a number of workers.
type DataCentre struct {
	Name    string
	Region  string
	Workers int
}

// Links gives the expected one-way delays.
type Links struct {
	BetweenDataCentres time.Duration
	ToCallers          time.Duration
}

// Worker describes every worker of the deployment.
type Worker struct {
	Slots       int
	Connections int
	Capacity    resource.Vector
	PerRack     int
}

// Prices are in millionths of the currency for an hour.
type Prices struct {
	CoreHour        int64
	MemoryGBHour    int64
	AcceleratorHour int64
}

// Team is a payer with a quota on what its batch and service tasks hold at the same time.
type Team struct {
	Name  string
	Quota resource.Vector
	// DailySpending is the permitted spending per day in millionths of the currency.
	DailySpending int64
}

// Kind is one kind of work.
type Kind struct {
	Name    string
	Team    string
	Class   Class
	Urgency Urgency
	// Size is what one request or task occupies.
	Size resource.Vector
	// RunTime is the expected run time of one request or task; it can be far off.
	RunTime time.Duration
	// Deadline is the time from arrival to the whole answer (request) or from submission to the end (batch).
	Deadline   time.Duration
	Idempotent bool
	// Spending is the permitted amount for one request or task in millionths of the currency.
	Spending        int64
	CheckpointEvery time.Duration
	MaxAttempts     int
	// Replicas is the number of tasks of a service.
	Replicas int
}

// The policies of ejection: no worker, those with repeated failures, and in addition those that are slow.
const (
	EjectionNone     = "none"
	EjectionFailures = "failures"
	EjectionLatency  = "latency"
)

// Policies selects the decisions by name, so that one build runs every baseline.
type Policies struct {
	// Routing is random, p2c or exact.
	Routing string
	// Admission is urgency or fifo, Ejection none, failures or latency.
	Admission, Ejection string
	// Placement is best-fit, spread or least-laxity.
	Placement string
	// IsolationLimit is how long an owner renews leases without any sign that the log is reachable.
	IsolationLimit time.Duration
	LeaseTTL       time.Duration
	OwnerTimeout   time.Duration
	// QueueLimit bounds the waiting requests of a gateway.
	QueueLimit int
	// RetryShare is the number of retries permitted per hundred requests.
	RetryShare int
}

// Kind returns the kind with the given name.
func (m *Manifest) Kind(name string) (Kind, bool) {
	for _, k := range m.Kinds {
		if k.Name == name {
			return k, true
		}
	}
	return Kind{}, false
}

// Team returns the team with the given name.
func (m *Manifest) Team(name string) (Team, bool) {
	for _, t := range m.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Envelope is the amount that a worker reserves for each slot: the largest request of the manifest.
func (m *Manifest) Envelope() resource.Vector {
	var v resource.Vector
	for _, k := range m.Kinds {
		if k.Class == ClassRequest {
			v = v.Max(k.Size)
		}
	}
	return v
}
