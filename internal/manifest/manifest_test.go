package manifest

import (
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/resource"
)

// example returns the text of an example manifest and the parsed manifest.
func example(t testing.TB, name string) (string, *Manifest) {
	data, err := os.ReadFile("../../examples/" + name)
	require.NoError(t, err)
	m, err := Parse(name, data)
	require.NoError(t, err)
	return string(data), m
}

// Guards against example manifests whose sizes differ from those of the design, and against values decoded in wrong
// units.
func TestExamples(t *testing.T) {
	_, quotes := example(t, "quotes.yaml")
	require.Equal(t, []string{"brisbane-0", "ipswich-0", "toowoomba-0", "gladstone-0"}, Shards(quotes))
	require.Equal(t, resource.Vector{MilliCores: 64000, MemoryMB: 250000}, quotes.Worker.Capacity)
	require.Equal(t, int64(62000), quotes.Prices.CoreHour)
	require.Equal(t, int64(900*MicrosPerUnit), quotes.Teams[0].DailySpending)
	price, _ := quotes.Kind("send-price")
	require.False(t, price.Idempotent)
	require.Equal(t, 10*time.Second, quotes.Policies.LeaseTTL)
	require.Equal(t, 1000, quotes.Policies.QueueLimit)
	_, feed := example(t, "feed.yaml")
	require.Equal(t, []string{"tongyeong-0", "geoje-0", "namhae-0", "yeosu-0"}, Shards(feed))
	workers := 0
	for _, dc := range feed.DataCentres {
		workers += dc.Workers
	}
	require.Equal(t, 50, workers)
	status, _ := feed.Kind("silo-status")
	require.Equal(t, int64(500), status.Size.MilliCores)
}

// Guards against problems that the parser does not report or reports at a wrong path or line.
func TestProblems(t *testing.T) {
	text, _ := example(t, "quotes.yaml")
	cases := []struct {
		old, new, path, message string
		line                    int
	}{
		{"currency: AUD", "currency: aud", "currency", "three capital letters", 5},
		{"name: ipswich", "name: brisbane", "data_centres[1].name", "already the name of data_centres[0]", 10},
		{"name: send-price", "name: cavity-cost", "kinds[1].name", "already the name of kinds[0]", 52},
		{"team: purchasing\n    class: request", "team: nobody\n    class: request", "kinds[2].team",
			`team "nobody" does not exist`, 63},
		{"workers: 17", "workers: 0", "data_centres[0].workers", "whole number", 9},
		{"workers: 17", "workers: 17, colour: red", "data_centres[0].colour", "is not a field", 9},
		{"deadline: 8h", "deadline: 8 hours", "kinds[3].deadline", "must be a time", 79},
		{"deadline: 8h", "deadline: 1s", "kinds[3].deadline", "not be shorter than run_time", 79},
		{"    idempotent: false\n", "", "kinds[1].idempotent", "is missing", 52},
		{"idempotent: false", "idempotent: no", "kinds[1].idempotent", "true or false", 59},
		{"core_hour: 0.062", "core_hour: 0.0620001", "prices.core_hour", "at most 6 decimal places", 25},
		{"core_hour: 0.062", "core_hour: 6.2e-2", "prices.core_hour", "decimal number", 25},
		{"core_hour: 0.062", "core_hour: -1", "prices.core_hour", "decimal number", 25},
		{"cores: 4,", "cores: 0,", "kinds[0].size.cores", "out of range", 45},
		{"cores: 8,", "cores: 65,", "kinds[3].size", "does not fit a worker of 64 cores", 77},
		{"cores: 8,", "cores: 40,", "kinds[3].size", "beside its slots, which leave 32 cores", 77},
		{"{cores: 4, memory_gb: 8}", "{cores: 9, memory_gb: 8}", "worker", "8 slots of the largest request", 18},
		{"replicas: 6", "replicas: 61", "kinds[5].size", "does not fit the quota", 100},
		{"spending: 0.02", "spending: 0.000001", "kinds[3].spending", "less than the price", 80},
		{"routing: exact", "routing: fastest", "policies.routing", "one of random, p2c, exact", 105},
		{"routing: exact", "owner_timeout: 30s", "policies.owner_timeout", "shorter than lease_ttl", 105},
		{"class: service", "class: daemon", "kinds[5].class", "one of request, batch, service", 98},
		{"deployment: halloran", "deployment: &a halloran", "deployment", "anchors", 4},
		{"deployment: halloran", "deployment:", "deployment", "has no value", 4},
		{"deployment: halloran", "deployment: halloran\ndeployment: other", "deployment", "given twice", 5},
	}
	for _, c := range cases {
		t.Run(c.path+" "+c.message, func(t *testing.T) {
			require.Contains(t, text, c.old)
			changed := strings.Replace(text, c.old, c.new, 1)
			_, err := Parse("quotes.yaml", []byte(changed))
			var parse *ParseError
			require.ErrorAs(t, err, &parse)
			require.Len(t, parse.Problems, 1, err)
			p := parse.Problems[0]
			require.Equal(t, c.path, p.Path)
			require.Contains(t, p.Message, c.message)
			require.Equal(t, c.line, p.Line)
		})
	}
}

// Guards against doubtful values that are not reported or make a manifest that is in force unreadable, and against warnings about
// the examples, of which one has quotas above the whole.
func TestReview(t *testing.T) {
	feed, _ := example(t, "feed.yaml")
	_, warnings, err := Review("feed.yaml", []byte(feed))
	require.NoError(t, err)
	require.Len(t, warnings, 1)
	require.Equal(t, "teams", warnings[0].Path)
	text, _ := example(t, "quotes.yaml")
	_, warnings, err = Review("quotes.yaml", []byte(text))
	require.NoError(t, err)
	require.Empty(t, warnings)
	for _, c := range []struct {
		old, new, path, message string
		line                    int
	}{
		{"kinds:\n", "  - {name: idle, quota: {cores: 1, memory_gb: 1}, daily_spending: 1}\nkinds:\n", "teams[3].name", "no kind", 39},
		{"{cores: 1200, memory_gb: 4800}", "{cores: 2000, memory_gb: 4800}", "teams", "quotas add up to 2520 cores", 28},
		{"replicas: 6", "replicas: 6\n  - {name: more, team: purchasing, class: service, size: {cores: 2, memory_gb: 6}, replicas: 55}",
			"teams[2].quota", "need 122 cores", 36},
		{"daily_spending: 250.00", "daily_spending: 0.80", "teams[2].daily_spending", "cost 25.20 a day", 37},
		{"{cores: 400, memory_gb: 1600}", "{cores: 7, memory_gb: 1600}", "teams[0].quota", "3 of 4 shards", 30},
		{"spending: 0.02\n    checkpoint_every: 200ms", "spending: 0.02\n    checkpoint_every: 3s", "kinds[3].checkpoint_every", "no checkpoint", 81},
		{"spending: 0.005", "spending: 901", "kinds[4].spending", "more than the team may spend in a day (900", 92},
		{"{cores: 2, memory_gb: 6}\n    checkpoint_every: 200ms\n    replicas: 6", "{cores: 17, memory_gb: 6}\n    replicas: 66",
			"kinds[5].replicas", "have room for 65", 101},
	} {
		require.Contains(t, text, c.old)
		changed := strings.Replace(text, c.old, c.new, 1)
		if c.path == "kinds[5].replicas" {
			changed = strings.Replace(changed, "{cores: 120, memory_gb: 400}", "{cores: 2000, memory_gb: 400}", 1)
		}
		_, warnings, err := Review("quotes.yaml", []byte(changed))
		require.NoError(t, err)
		found := false
		for _, w := range warnings {
			found = found || w.Path == c.path && w.Line == c.line && strings.Contains(w.Message, c.message)
		}
		require.True(t, found, "%s at line %d: %s; got %v", c.path, c.line, c.message, warnings)
		_, err = Parse("quotes.yaml", []byte(changed))
		require.NoError(t, err)
	}
}

// Guards against a parser that stops at the first problem or reports wrong lines.
func TestAllProblemsWithLines(t *testing.T) {
	_, err := Parse("x", []byte("deployment: A\ncurrency: AUD\nworker:\n  slots: none\n  connections: 0\nextra: 1\n"))
	var parse *ParseError
	require.ErrorAs(t, err, &parse)
	lines := map[string]int{}
	for _, p := range parse.Problems {
		lines[p.Path] = p.Line
	}
	require.Subset(t, lines, map[string]int{"deployment": 1, "worker.slots": 4, "worker.connections": 5,
		"worker.per_rack": 3, "extra": 6, "teams": 1, "kinds": 1})
	_, err = Parse("x", []byte("a: 1\nb: [1\nc: 2\n"))
	require.ErrorAs(t, err, &parse)
	require.Contains(t, err.Error(), "is not YAML")
}

// Guards against a text in the log that keeps every process busy for seconds, because the parser's run time is
// quadratic in lines and nesting.
func TestHostileTextIsRefusedQuickly(t *testing.T) {
	for _, text := range []string{strings.Repeat("[", 100_000), strings.Repeat("a: 1\n", 100_000),
		strings.Repeat("{\n", 9000), strings.Repeat("a:\n", 9000), strings.Repeat("- ", 499) + "a",
		strings.Repeat("- \n", 9000), strings.Repeat("?\n", 9000), strings.Repeat("&a\n", 9000)} {
		start := time.Now()
		_, err := Parse("x", []byte(text))
		var parse *ParseError
		require.ErrorAs(t, err, &parse)
		require.LessOrEqual(t, len(parse.Problems), maxProblems)
		require.Less(t, time.Since(start), 5*time.Second, text[:4])
	}
}

// Guards against amounts of money that are rounded when they are parsed or formatted.
func TestMoneyIsExact(t *testing.T) {
	v, ok := parseDecimal("0.1", moneyPlaces)
	require.True(t, ok)
	require.Equal(t, int64(100000), v)
	_, ok = parseDecimal("99999999999999", moneyPlaces)
	require.False(t, ok, "overflow")
	require.Equal(t, "12.345", FormatMoney(12345000))
	require.Equal(t, "-0.000001", FormatMoney(-1))
	require.Equal(t, "-9223372036854.775808", FormatMoney(math.MinInt64))
}

// Guards against prices that overflow or are rounded more than once.
func TestPrice(t *testing.T) {
	p := Prices{CoreHour: 62000, MemoryGBHour: 8500, AcceleratorHour: 1}
	require.Equal(t, int64(62000*64+8500*250), p.Of(resource.Vector{MilliCores: 64000, MemoryMB: 250000}, time.Hour))
	require.Equal(t, int64(1), p.Of(resource.Vector{Accelerators: 1}, 30*time.Minute), "half up")
	require.Equal(t, int64(0), p.Of(resource.Vector{Accelerators: 1}, 30*time.Minute-1))
	require.Equal(t, int64(0), p.Of(resource.Vector{MilliCores: 1000}, -time.Hour))
	huge := Prices{CoreHour: maxHourlyPrice}
	require.Equal(t, int64(math.MaxInt64), huge.Of(resource.Vector{MilliCores: maxQuantity}, maxDuration))
}

// Guards against changes that are missing from the diff, and against changes of immutable fields that are accepted.
func TestDiff(t *testing.T) {
	text, old := example(t, "quotes.yaml")
	changed, err := Parse("new", []byte(strings.Replace(text, "deadline: 8h", "deadline: 6h", 1)))
	require.NoError(t, err)
	changes, err := Diff(old, changed)
	require.NoError(t, err)
	require.Equal(t, []Change{{Path: "kinds[tool-rebid].deadline", Old: "8h0m0s", New: "6h0m0s"}}, changes)
	for _, field := range []string{"racks_per_shard: 3", "currency: AUD", "deployment: halloran", "per_rack: 8"} {
		other := map[string]string{"racks_per_shard: 3": "racks_per_shard: 2", "currency: AUD": "currency: NZD",
			"deployment: halloran": "deployment: sons", "per_rack: 8": "per_rack: 4"}[field]
		changed, err := Parse("new", []byte(strings.Replace(text, field, other, 1)))
		require.NoError(t, err)
		_, err = Diff(old, changed)
		var immutableErr *ImmutableError
		require.ErrorAs(t, err, &immutableErr)
	}
	changes, err = Diff(nil, old)
	require.NoError(t, err)
	require.Len(t, changes, len(flatten(old)))
}

// Guards against a text in the log that crashes the processes that read it.
func FuzzParse(f *testing.F) {
	text, _ := example(f, "quotes.yaml")
	f.Add([]byte(text))
	f.Add([]byte("a: &b [*b, {}]\n"))
	f.Add([]byte("kinds:\n - class: request\n   size: {cores: 1e9}\nworker: {}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse("fuzz", data)
		if err != nil {
			var parse *ParseError
			require.ErrorAs(t, err, &parse)
			require.NotEmpty(t, parse.Problems)
			return
		}
		require.NotEmpty(t, Shards(m))
	})
}
