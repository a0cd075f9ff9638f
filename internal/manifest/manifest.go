// Package manifest defines and parses the manifest, the configuration that a build pipeline publishes to the system:
// the kinds of work with their urgency, size, deadline and permitted spending, the teams with their quotas, and the
// policies.
package manifest

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// Class is the way in which work is run.
type Class string

// The classes of work. A request occupies a slot of a worker while its caller waits. A batch task runs to completion
// and has a deadline. A service task runs until the service is removed.
const (
	ClassRequest Class = "request"
	ClassBatch   Class = "batch"
	ClassService Class = "service"
)

// Urgency is the priority among work of the same class. The least urgent work is shed first.
type Urgency string

// The urgencies, most urgent first.
const (
	UrgencyInteractive Urgency = "interactive"
	UrgencyStandard    Urgency = "standard"
	UrgencyBackground  Urgency = "background"
)

// Rank returns the position of the urgency: 0 for the most urgent one, 2 for the least urgent one.
func (u Urgency) Rank() int {
	switch u {
	case UrgencyInteractive:
		return 0
	case UrgencyStandard:
		return 1
	}
	return 2
}

// Manifest is a valid manifest. It is immutable once parsed.
type Manifest struct {
	Deployment string
	Currency   string
	// RacksPerShard must not change between versions, because epochs cannot be compared between shards.
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

// Links holds the expected one-way network delays.
type Links struct {
	BetweenDataCentres time.Duration
	ToCallers          time.Duration
}

// Worker describes the workers of the deployment, which are all alike.
type Worker struct {
	// Slots is the number of requests that a worker runs at the same time.
	Slots       int
	Connections int
	Capacity    resource.Vector
	// PerRack is the number of workers in a rack.
	PerRack int
}

// Prices are in millionths of the currency per hour.
type Prices struct {
	CoreHour        int64
	MemoryGBHour    int64
	AcceleratorHour int64
}

// Team is the team that pays for work. Its quota bounds the resources that its batch and service tasks hold at the same
// time.
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
	// Size is the resources that one request or task occupies.
	Size resource.Vector
	// RunTime is the expected run time of one request or task. The actual one can differ widely.
	RunTime time.Duration
	// Deadline is the permitted time from the arrival of a request to its complete answer, or from the submission of a
	// batch job to its end. Services have none.
	Deadline   time.Duration
	Idempotent bool
	// Spending is the permitted cost of one request or task in millionths of the currency.
	Spending        int64
	CheckpointEvery time.Duration
	MaxAttempts     int
	// Replicas is the number of tasks of a service.
	Replicas int
}

// The ejection policies: none ejects no worker, failures ejects workers with repeated failures, latency also ejects
// slow ones.
const (
	EjectionNone     = "none"
	EjectionFailures = "failures"
	EjectionLatency  = "latency"
)

// Policies selects the algorithms by name, so that experiments compare them with the same build.
type Policies struct {
	// Routing is random, p2c or exact.
	Routing string
	// Admission is urgency or fifo, Ejection none, failures or latency.
	Admission, Ejection string
	// Placement is best-fit, spread or least-laxity.
	Placement string
	// IsolationLimit is how long an owner renews leases without contact to the log.
	IsolationLimit time.Duration
	LeaseTTL       time.Duration
	OwnerTimeout   time.Duration
	// QueueLimit bounds the requests that wait in a gateway.
	QueueLimit int
	// RetryShare is the number of retries permitted per 100 requests.
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

// Envelope returns the resources that a worker reserves for each slot: the maximum, for each resource, over the request
// kinds of the manifest.
func (m *Manifest) Envelope() resource.Vector {
	var v resource.Vector
	for _, k := range m.Kinds {
		if k.Class == ClassRequest {
			v = v.Max(k.Size)
		}
	}
	return v
}
