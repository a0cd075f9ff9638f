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

// conditionsPollInterval is the interval at which the conditions file is checked for changes.
const conditionsPollInterval = 200 * time.Millisecond

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

// Pair is the effect of the link from one data centre to another. The opposite direction is another pair.
type Pair struct {
	From   string `yaml:"from"`
	To     string `yaml:"to"`
	Effect `yaml:",inline"`
}

// conditionsFile is the YAML form of Conditions. Default applies between different data centres without an entry in
// Pairs. Within a data centre, and for addresses outside all prefixes, there is no effect unless Pairs has an entry.
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

// Conditions simulates the delay, loss and interruption of links between data centres, for tests and demonstrations
// only. A nil *Conditions has no effect.
type Conditions struct {
	path string
	log  *slog.Logger

	mu      sync.Mutex
	random  *rand.Rand
	table   *table
	state   fileState
	checked time.Time
}

// fileState identifies a version of the conditions file.
type fileState struct {
	mtime time.Time
	size  int64
}

type prefix struct {
	net        netip.Prefix
	dataCentre string
}

// table is the decoded conditions file.
type table struct {
	prefixes      []prefix
	defaultEffect Effect
	pairs         map[[2]string]Effect
}

// OpenConditions reads a conditions file, which is read again when it changes. seed determines the random losses and
// jitter. An error is a *ConditionsError.
func OpenConditions(path string, seed uint64, l *slog.Logger) (*Conditions, error) {
	c := &Conditions{path: path, log: process.WithPrefix(l, "conditions"), random: rand.New(rand.NewPCG(seed, seed))}
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

// readTable reads and validates the conditions file.
func readTable(path string) (*table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &ConditionsError{Path: path, Err: err}
	}
	var f conditionsFile
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(&f); err != nil {
		return nil, &ConditionsError{Path: path, Err: err}
	}
	t := &table{defaultEffect: f.Default, pairs: map[[2]string]Effect{}}
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
			return nil, &ConditionsError{Path: path,
				Err: &process.SettingError{Setting: name, Value: fmt.Sprintf("%+v", e),
					Allowed: "delays that are not negative and a loss between 0 and 1"}}
		}
	}
	return t, nil
}

// effects returns all effects of the table by a name for error messages.
func (t *table) effects() map[string]Effect {
	out := map[string]Effect{"default": t.defaultEffect}
	for p, e := range t.pairs {
		out[p[0]+" to "+p[1]] = e
	}
	return out
}

// dataCentre returns the data centre of the longest prefix that contains the address, or an empty name.
func (t *table) dataCentre(a netip.Addr) string {
	best, bits := "", -1
	for _, p := range t.prefixes {
		if p.net.Contains(a) && p.net.Bits() > bits {
			best, bits = p.dataCentre, p.net.Bits()
		}
	}
	return best
}

// effect returns the effect on traffic from one address to another.
func (t *table) effect(from, to netip.Addr) Effect {
	source, target := t.dataCentre(from.Unmap()), t.dataCentre(to.Unmap())
	if e, ok := t.pairs[[2]string{source, target}]; ok {
		return e
	}
	if source == target || source == "" || target == "" {
		return Effect{}
	}
	return t.defaultEffect
}

// current returns the table, after reading the file again if it has changed. mu must be held.
func (c *Conditions) current() *table {
	now := time.Now()
	if now.Sub(c.checked) < conditionsPollInterval {
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
		c.log.Warn("changed conditions file cannot be used, keeping the previous conditions", "error", err)
		return c.table
	}
	c.table = t
	c.log.Info("conditions file changed, applying the new conditions", "pairs", len(t.pairs))
	return t
}

// DataCentre returns the data centre whose prefix contains the address, or an empty name.
func (c *Conditions) DataCentre(a netip.Addr) string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current().dataCentre(a.Unmap())
}

// Effect returns the configured effect on traffic from one address to another.
func (c *Conditions) Effect(from, to netip.Addr) Effect {
	if c == nil {
		return Effect{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current().effect(from, to)
}

// samplePacket decides at random whether one packet is lost, and otherwise its delay.
func (c *Conditions) samplePacket(from, to netip.Addr) (delay time.Duration, lost bool) {
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
