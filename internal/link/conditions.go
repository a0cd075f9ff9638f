package link

import (
	"bytes"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/goccy/go-yaml"

	"clementinewalk.example/clementinewalk/internal/process"
)

// conditionsPoll bounds how long a changed conditions file stays unnoticed.
const conditionsPoll = 200 * time.Millisecond

// Effect is what a link does to traffic in one direction.
type Effect struct {
	// Delay is the one-way delay; a random part between zero and Jitter is added to each packet.
	Delay  time.Duration `yaml:"delay"`
	Jitter time.Duration `yaml:"jitter"`
	// Loss is the probability that a packet is lost, between 0 and 1.
	Loss float64 `yaml:"loss"`
	// Cut drops everything.
	Cut bool `yaml:"cut"`
}

// Pair is the effect of the link from one data centre to another. The way back is a pair of its own.
type Pair struct {
	From   string `yaml:"from"`
	To     string `yaml:"to"`
	Effect `yaml:",inline"`
}

// conditionsFile is the YAML form. Default applies between different data centres without an entry in Pairs. Within a data
// centre, and for addresses outside all prefixes, there is no effect unless Pairs has an entry.
type conditionsFile struct {
	Prefixes map[string]string `yaml:"prefixes"`
	Default  Effect            `yaml:"default"`
	Pairs    []Pair            `yaml:"pairs"`
}

// ConditionsError reports a conditions file that cannot be used.
type ConditionsError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *ConditionsError) Error() string { return fmt.Sprintf("conditions file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *ConditionsError) Unwrap() error { return e.Err }

// Conditions simulates the links between data centres. It is used by tests and demonstrations only. A nil *Conditions
// has no effect.
type Conditions struct {
	path string
	log  *slog.Logger

	mu      sync.Mutex
	random  *rand.Rand
	table   *table
	state   fileState
	checked time.Time
}

type fileState struct {
	mtime time.Time
	size  int64
}

type prefix struct {
	net        netip.Prefix
	dataCentre string
}

type table struct {
	prefixes  []prefix
	byDefault Effect
	pairs     map[[2]string]Effect
}

// OpenConditions reads a conditions file and follows its changes. seed determines losses and variations.
func OpenConditions(path string, seed uint64, l *slog.Logger) (*Conditions, error) {
	c := &Conditions{path: path, log: process.Part(l, "conditions"), random: rand.New(rand.NewPCG(seed, seed))}
	c.state = c.fileState()
	t, err := readTable(path)
	if err != nil {
		return nil, err
	}
	c.table, c.checked = t, time.Now()
	return c, nil
}

func (c *Conditions) fileState() fileState {
	info, err := os.Stat(c.path)
	if err != nil {
		return fileState{}
	}
	return fileState{mtime: info.ModTime(), size: info.Size()}
}

func readTable(path string) (*table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConditionsError{Path: path, Err: err}
	}
	var f conditionsFile
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(&f); err != nil {
		return nil, &ConditionsError{Path: path, Err: err}
	}
	t := &table{byDefault: f.Default, pairs: map[[2]string]Effect{}}
	for cidr, name := range f.Prefixes {
		p, err := netip.ParsePrefix(cidr)
		if err != nil {
			return nil, &ConditionsError{Path: path, Err: err}
		}
		t.prefixes = append(t.prefixes, prefix{net: p.Masked(), dataCentre: name})
	}
	for _, p := range f.Pairs {
		t.pairs[[2]string{p.From, p.To}] = p.Effect
	}
	for name, e := range t.effects() {
		if e.Delay < 0 || e.Jitter < 0 || e.Loss < 0 || e.Loss > 1 {
			return nil, &ConditionsError{Path: path, Err: &process.SettingError{Setting: name, Value: fmt.Sprintf("%+v", e),
				Allowed: "delays that are not negative and a loss between 0 and 1"}}
		}
	}
	return t, nil
}

func (t *table) effects() map[string]Effect {
	out := map[string]Effect{"default": t.byDefault}
	for p, e := range t.pairs {
		out[p[0]+" to "+p[1]] = e
	}
	return out
}

// dataCentre returns the data centre of the longest prefix that holds the address, or an empty name.
func (t *table) dataCentre(a netip.Addr) string {
	best, bits := "", -1
	for _, p := range t.prefixes {
		if p.net.Contains(a) && p.net.Bits() > bits {
			best, bits = p.dataCentre, p.net.Bits()
		}
	}
	return best
}

func (t *table) effect(from, to netip.Addr) Effect {
	f, o := t.dataCentre(from.Unmap()), t.dataCentre(to.Unmap())
	if e, ok := t.pairs[[2]string{f, o}]; ok {
		return e
	}
	if f == o || f == "" || o == "" {
		return Effect{}
	}
	return t.byDefault
}

// current returns the newest table; it is called with mu held.
func (c *Conditions) current() *table {
	now := time.Now()
	if now.Sub(c.checked) < conditionsPoll {
		return c.table
	}
	c.checked = now
	state := c.fileState()
	if state == c.state {
		return c.table
	}
	c.state = state
	t, err := readTable(c.path)
	if err != nil {
		c.log.Warn("changed file is not usable, the earlier conditions stay in force", "error", err)
		return c.table
	}
	c.table = t
	c.log.Info("changed conditions are in force", "pairs", len(t.pairs))
	return t
}

// DataCentre returns the data centre of an address, or an empty name.
func (c *Conditions) DataCentre(a netip.Addr) string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current().dataCentre(a.Unmap())
}

// Effect returns the effect on traffic between two addresses, as the file has it.
func (c *Conditions) Effect(from, to netip.Addr) Effect {
	if c == nil {
		return Effect{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current().effect(from, to)
}

// fate draws what happens to one packet: it is lost, or arrives after a delay.
func (c *Conditions) fate(from, to netip.Addr) (delay time.Duration, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.current().effect(from, to)
	if e.Cut || (e.Loss > 0 && c.random.Float64() < e.Loss) {
		return 0, true
	}
	if e.Jitter > 0 {
		e.Delay += time.Duration(c.random.Int64N(int64(e.Jitter)))
	}
	return e.Delay, false
}
