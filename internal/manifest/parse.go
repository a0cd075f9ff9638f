package manifest

import (
	"cmp"
	"slices"
	"time"

	"clementinewalk.example/clementinewalk/internal/resource"
)

const (
	// MaxBytes bounds the text of a manifest, so that it fits into one log record along with the other fields.
	MaxBytes = 512 << 10

	// The run time of the YAML parser is quadratic in the number of lines and in the nesting of brackets: 100,000 lines
	// took 26 s, 10,000 took 0.3 s. The limits bound the time that every process spends on one manifest of the log.
	maxLines      = 10_000
	maxLineLength = 1_000
	maxNesting    = 16
	maxProblems   = 100

	maxNameLength = 48
	maxDuration   = 365 * 24 * time.Hour

	// The limits below keep the products of sizes, slots and workers within the range of int64.
	maxWorkers     = 1_000_000
	maxPerWorker   = 1_000_000
	maxQuantity    = 1_000_000_000_000 // thousandths of a core or MB
	maxMoney       = 1_000_000_000_000 * MicrosPerUnit
	maxHourlyPrice = 1_000_000 * MicrosPerUnit

	defaultRacksPerShard = 3
	defaultMaxAttempts   = 5
)

// defaultPolicies applies to the policies that the manifest does not set.
var defaultPolicies = Policies{
	Routing:        "exact",
	Admission:      "urgency",
	Ejection:       EjectionLatency,
	Placement:      "least-laxity",
	IsolationLimit: 10 * time.Minute,
	LeaseTTL:       10 * time.Second,
	OwnerTimeout:   3 * time.Second,
	QueueLimit:     1000,
	RetryShare:     10,
}

// Parse parses and checks the YAML text of a manifest; docs/manifest.md describes the format. name is used in errors
// only. The error is a *ParseError with the problems that were found, at most 100.
func Parse(name string, data []byte) (*Manifest, error) {
	m, _, err := parse(name, data)
	return m, err
}

// parse is Parse, and returns the decoder with the lines of the fields.
func parse(name string, data []byte) (*Manifest, *decoder, error) {
	d := &decoder{lines: map[string]int{}}
	m := new(Manifest)
	if len(data) > MaxBytes {
		d.report("", "has %d bytes; at most %d are allowed", len(data), MaxBytes)
	} else if body := d.parseDocument(data); body != nil {
		d.read(body, "", func(o *object) {
			m.decode(o)
			m.check(d)
		})
	}
	if len(d.problems) == 0 {
		return m, d, nil
	}
	if len(d.problems) > maxProblems {
		d.problems = d.problems[:maxProblems]
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return nil, nil, &ParseError{Name: name, Problems: d.problems}
}

func (m *Manifest) decode(o *object) {
	m.Deployment = o.name("deployment")
	m.Currency = o.currency()
	m.RacksPerShard = o.number("racks_per_shard", defaultRacksPerShard, bounds{1, maxWorkers})
	o.list("data_centres", func(o *object) { m.DataCentres = append(m.DataCentres, decodeDataCentre(o)) })
	o.child("links", true, func(o *object) {
		m.Links = Links{BetweenDataCentres: o.duration("between_data_centres", -1),
			ToCallers: o.duration("to_callers", -1)}
	})
	o.child("worker", true, func(o *object) { m.Worker = decodeWorker(o) })
	o.child("prices", true, func(o *object) { m.Prices = decodePrices(o) })
	o.list("teams", func(o *object) { m.Teams = append(m.Teams, decodeTeam(o)) })
	o.list("kinds", func(o *object) { m.Kinds = append(m.Kinds, decodeKind(o)) })
	m.Policies = defaultPolicies
	o.child("policies", false, func(o *object) { m.Policies = decodePolicies(o) })
}

// currency reads a currency code in the form of ISO 4217. It does not check that the code is assigned.
func (o *object) currency() string {
	s, ok := o.scalar("currency", true)
	valid := len(s) == 3
	for _, c := range s {
		valid = valid && c >= 'A' && c <= 'Z'
	}
	if ok && !valid {
		o.d.report("currency", "must be three capital letters such as AUD, not %q", s)
	}
	return s
}

func decodeDataCentre(o *object) DataCentre {
	return DataCentre{Name: o.name("name"), Region: o.name("region"),
		Workers: o.number("workers", -1, bounds{1, maxWorkers})}
}

func decodeWorker(o *object) Worker {
	w := Worker{
		Slots:       o.number("slots", -1, bounds{1, maxPerWorker}),
		Connections: o.number("connections", -1, bounds{1, maxPerWorker}),
		PerRack:     o.number("per_rack", -1, bounds{1, maxWorkers}),
	}
	o.child("capacity", true, func(o *object) { w.Capacity = decodeSize(o) })
	return w
}

// decodeSize reads an amount of cores, memory and accelerators. Cores and memory must be positive.
func decodeSize(o *object) resource.Vector {
	return resource.Vector{
		MilliCores:   o.decimal("cores", true, quantityPlaces, bounds{1, maxQuantity}),
		MemoryMB:     o.decimal("memory_gb", true, quantityPlaces, bounds{1, maxQuantity}),
		Accelerators: int64(o.number("accelerators", 0, bounds{0, maxPerWorker})),
	}
}

func decodePrices(o *object) Prices {
	hourly := bounds{0, maxHourlyPrice}
	return Prices{
		CoreHour:        o.decimal("core_hour", true, moneyPlaces, hourly),
		MemoryGBHour:    o.decimal("memory_gb_hour", true, moneyPlaces, hourly),
		AcceleratorHour: o.decimal("accelerator_hour", false, moneyPlaces, hourly),
	}
}

func (o *object) money(key string, required bool) int64 {
	return o.decimal(key, required, moneyPlaces, bounds{1, maxMoney})
}

func decodeTeam(o *object) Team {
	t := Team{Name: o.name("name"), DailySpending: o.money("daily_spending", true)}
	o.child("quota", true, func(o *object) { t.Quota = decodeSize(o) })
	return t
}

func decodeKind(o *object) Kind {
	k := Kind{
		Name:    o.name("name"),
		Team:    o.name("team"),
		Class:   Class(o.choice("class", "", string(ClassRequest), string(ClassBatch), string(ClassService))),
		Urgency: Urgency(o.choice("urgency", string(UrgencyStandard), urgencies...)),
	}
	o.child("size", true, func(o *object) { k.Size = decodeSize(o) })
	switch k.Class {
	case ClassRequest:
		k.RunTime, k.Deadline = o.duration("run_time", -1), o.duration("deadline", -1)
		k.Spending = o.money("spending", true)
		k.Idempotent, _ = o.boolean("idempotent", true)
	case ClassBatch:
		k.RunTime, k.Deadline = o.duration("run_time", -1), o.duration("deadline", -1)
		k.Spending = o.money("spending", true)
		k.CheckpointEvery = o.duration("checkpoint_every", 0)
		k.MaxAttempts = o.number("max_attempts", defaultMaxAttempts, bounds{1, 1000})
	case ClassService:
		k.CheckpointEvery = o.duration("checkpoint_every", 0)
		k.Replicas = o.number("replicas", -1, bounds{1, maxWorkers})
	default:
		clear(o.fields) // The valid fields depend on the class, so unknown ones cannot be reported.
	}
	return k
}

var urgencies = []string{string(UrgencyInteractive), string(UrgencyStandard), string(UrgencyBackground)}

func decodePolicies(o *object) Policies {
	p := defaultPolicies
	return Policies{
		Routing:        o.choice("routing", p.Routing, "random", "p2c", "exact"),
		Admission:      o.choice("admission", p.Admission, "urgency", "fifo"),
		Ejection:       o.choice("ejection", p.Ejection, EjectionNone, EjectionFailures, EjectionLatency),
		Placement:      o.choice("placement", p.Placement, "best-fit", "spread", "least-laxity"),
		IsolationLimit: o.duration("isolation_limit", p.IsolationLimit),
		LeaseTTL:       o.duration("lease_ttl", p.LeaseTTL),
		OwnerTimeout:   o.duration("owner_timeout", p.OwnerTimeout),
		QueueLimit:     o.number("queue_limit", p.QueueLimit, bounds{1, 1_000_000}),
		RetryShare:     o.number("retry_share", p.RetryShare, bounds{0, 100}),
	}
}
