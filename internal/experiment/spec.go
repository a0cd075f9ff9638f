// Package experiment compares policies on a running deployment. It publishes one variant of a manifest for each arm,
// sends the same load to each, and reports the arms side by side. The runs of the arms are interleaved, so that slow
// changes of the machine's performance affect all arms alike.
package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"clementinewalk.example/clementinewalk/internal/load"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Spec is the content of an experiment file; docs/experiments.md describes the format.
type Spec struct {
	Name string `yaml:"name"`
	// Manifest is a path relative to the experiment file.
	Manifest string             `yaml:"manifest"`
	Seed     uint64             `yaml:"seed"`
	Repeats  int                `yaml:"repeats"`
	Rate     float64            `yaml:"rate"`
	Weights  map[string]float64 `yaml:"weights"`
	Phases   []Phase            `yaml:"phases"`
	Arms     []Arm              `yaml:"arms"`
	Faults   []Fault            `yaml:"faults"`
	Workers  Workers            `yaml:"workers"`

	dir          string
	manifestText []byte
	manifest     *manifest.Manifest
}

// Phase is a part of each run with a constant rate. The load of a warm-up phase is sent and its answers are checked,
// but it is not part of the tables. Factor multiplies the rate of the experiment; 0 in the file stands for 1.
type Phase struct {
	Name   string        `yaml:"name"`
	Length time.Duration `yaml:"length"`
	Factor float64       `yaml:"factor"`
	WarmUp bool          `yaml:"warm_up"`
}

// Arm is a variant of the manifest with other policies. The first arm is the baseline.
type Arm struct {
	Name     string         `yaml:"name"`
	Policies map[string]any `yaml:"policies"`
}

// Fault is a set of faults that is injected into workers during each run.
type Fault struct {
	Workers    []string       `yaml:"workers"`
	DataCentre string         `yaml:"data_centre"`
	Faults     map[string]any `yaml:"faults"`
}

// Workers holds settings of the workers' stand-in. The script that starts it gets them from clementine-load experiment
// --settings.
type Workers struct {
	Variation    float64 `yaml:"variation"`
	Interference float64 `yaml:"interference"`
}

// SpecError reports an invalid experiment file, or a manifest from which an arm's variant cannot be made.
type SpecError struct {
	Path   string
	Detail string
}

// Error implements error.
func (e *SpecError) Error() string { return "experiment " + e.Path + ": " + e.Detail }

const (
	maxRepeats = 100
	maxArms    = 20
	maxPhases  = 20
	maxLength  = time.Hour
	maxFactor  = 100
	maxRate    = 20_000
)

// Read reads and checks an experiment file and its manifest. It returns a *load.FileError if a file cannot be read, a
// *SpecError if the experiment file is invalid or has unknown fields, and an error of manifest.Parse if the manifest or
// a variant of it is invalid.
func Read(path string) (*Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &load.FileError{Path: path, Err: err}
	}
	s := &Spec{Repeats: 5, Seed: 1, Workers: Workers{Variation: 0.3}, dir: filepath.Dir(path)}
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(s); err != nil {
		return nil, &SpecError{Path: path, Detail: yaml.FormatError(err, false, false)}
	}
	for i := range s.Phases {
		if s.Phases[i].Factor == 0 {
			s.Phases[i].Factor = 1
		}
	}
	if err := s.check(); err != nil {
		return nil, &SpecError{Path: path, Detail: err.Error()}
	}
	if s.manifestText, err = os.ReadFile(s.ManifestPath()); err != nil {
		return nil, &load.FileError{Path: s.ManifestPath(), Err: err}
	}
	s.manifest, err = manifest.Parse(s.ManifestPath(), s.manifestText)
	if err != nil {
		return nil, err
	}
	for _, a := range s.Arms {
		if _, err := s.armManifest(a); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// ManifestPath returns the path of the manifest.
func (s *Spec) ManifestPath() string { return filepath.Join(s.dir, s.Manifest) }

// check returns a *process.SettingError for the first value that is not allowed.
func (s *Spec) check() error {
	checks := []error{
		process.CheckRange("repeats", s.Repeats, 1, maxRepeats),
		process.CheckRange("rate", s.Rate, 1, maxRate),
		process.CheckRange("number of arms", len(s.Arms), 1, maxArms),
		process.CheckRange("number of phases", len(s.Phases), 1, maxPhases),
		process.CheckRange("workers.variation", s.Workers.Variation, 0, 3),
		process.CheckRange("workers.interference", s.Workers.Interference, 0, 100),
		checkName("name", s.Name),
	}
	seen := map[string]bool{}
	for _, p := range s.Phases {
		checks = append(checks, checkName("phases.name", p.Name), checkUnique("phases.name", p.Name, seen),
			process.CheckRange("phases.length", p.Length, time.Second, maxLength),
			process.CheckRange("phases.factor", p.Factor, 0, maxFactor))
	}
	seen = map[string]bool{}
	for _, a := range s.Arms {
		checks = append(checks, checkName("arms.name", a.Name), checkUnique("arms.name", a.Name, seen))
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkName returns an error for a name that is not safe as the name of a directory.
func checkName(field, name string) error {
	if name == "" || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
		return &process.SettingError{Setting: field, Value: name, Allowed: "lower-case letters, digits and -"}
	}
	return nil
}

// checkUnique returns an error if the name is in seen, and adds it otherwise.
func checkUnique(field, name string, seen map[string]bool) error {
	if seen[name] {
		return &process.SettingError{Setting: field, Value: name, Allowed: "each name once"}
	}
	seen[name] = true
	return nil
}

// armManifest returns the text of the manifest with the policies of the arm.
func (s *Spec) armManifest(a Arm) ([]byte, error) {
	var m yaml.MapSlice
	if err := yaml.UnmarshalWithOptions(s.manifestText, &m, yaml.UseOrderedMap()); err != nil {
		return nil, &SpecError{Path: s.ManifestPath(), Detail: err.Error()}
	}
	policies := yaml.MapSlice{}
	rest := yaml.MapSlice{}
	for _, item := range m {
		if item.Key == "policies" {
			policies, _ = item.Value.(yaml.MapSlice)
			continue
		}
		rest = append(rest, item)
	}
	merged := yaml.MapSlice{}
	for _, item := range policies {
		if name, _ := item.Key.(string); a.Policies[name] == nil {
			merged = append(merged, item)
		}
	}
	for name, value := range a.Policies {
		merged = append(merged, yaml.MapItem{Key: name, Value: value})
	}
	out, err := yaml.Marshal(append(rest, yaml.MapItem{Key: "policies", Value: merged}))
	if err != nil {
		return nil, &SpecError{Path: s.ManifestPath(), Detail: err.Error()}
	}
	if _, err := manifest.Parse(s.Name+"/"+a.Name, out); err != nil {
		return nil, err
	}
	return out, nil
}

// phases returns the phases for the load generator and their total length.
func (s *Spec) phases() (out []load.Phase, total time.Duration) {
	for _, p := range s.Phases {
		out = append(out, load.Phase{Name: p.Name, Length: p.Length, Factor: p.Factor})
		total += p.Length
	}
	return out, total
}
