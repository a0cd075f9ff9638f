package load

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Layout holds the flags of the command that assigns loopback addresses to the deployment of a manifest. Data centre
// number i, from 0, uses the network 127.(10+i).0.0/16, with its workers at 127.(10+i).0.1 and its entry instances at
// 127.(10+i).1.1. Callers connect from 127.9.0.1.
type Layout struct {
	Manifest   string  `required:"" type:"existingfile" help:"Manifest of the deployment."`
	Port       int     `default:"17000" help:"First of the ports; 1000 ports from it on are used."`
	Conditions string  `required:"" help:"Conditions file to write: the delays of the manifest between data centres and to callers."`
	Jitter     float64 `default:"0.2" help:"Variation of the delay as a share of it."`
	Loss       float64 `default:"0.001" help:"Share of the packets between data centres that are lost."`
}

const (
	// firstNetworkOctet is the second octet of the network of the first data centre.
	firstNetworkOctet = 10
	maxDataCentres    = 200
	callerNetwork     = "127.9.0.0/16"
	// callerPrefixName is the name of callerNetwork in the conditions file.
	callerPrefixName = "callers"
	// workerPortOffset is the offset of the first worker's port from the first port. The ports from there on are for
	// the workers of a data centre.
	workerPortOffset = 100
	portCount        = 1000
	minPort          = 1024
	maxPort          = 65535
)

// Check returns a *process.SettingError for the first setting that is not allowed.
func (l *Layout) Check() error {
	for _, err := range []error{
		process.CheckRange("--port", l.Port, minPort, maxPort-portCount),
		process.CheckRange("--jitter", l.Jitter, 0, 1),
		process.CheckRange("--loss", l.Loss, 0, 1),
	} {
		if err != nil {
			return err
		}
	}
	return nil
}

// Run writes the conditions file and prints the settings of the processes as assignments of shell variables.
func (l *Layout) Run(w io.Writer) error {
	if err := l.Check(); err != nil {
		return err
	}
	data, err := os.ReadFile(l.Manifest)
	if err != nil {
		return &FileError{Path: l.Manifest, Err: err}
	}
	m, err := manifest.Parse(l.Manifest, data)
	if err != nil {
		return err
	}
	if err := process.CheckRange("data_centres", len(m.DataCentres), 1, maxDataCentres); err != nil {
		return err
	}
	for _, d := range m.DataCentres {
		if err := process.CheckRange("workers of "+d.Name, d.Workers, 0, portCount-workerPortOffset); err != nil {
			return err
		}
	}
	if err := l.writeConditions(m); err != nil {
		return err
	}
	for _, line := range l.assignments(m) {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// jitterFor returns the jitter of a link with the given delay.
func (l *Layout) jitterFor(d time.Duration) time.Duration {
	return time.Duration(float64(d) * l.Jitter)
}

// networkPrefix returns the first two octets of the network of data centre number i.
func networkPrefix(i int) string { return fmt.Sprintf("127.%d", firstNetworkOctet+i) }

// assignments returns the settings as shell assignments. They need no quoting, because they only contain names and
// numbers that the manifest's parser has checked.
func (l *Layout) assignments(m *manifest.Manifest) []string {
	var names, hosts, fleet, runTimes []string
	for i, d := range m.DataCentres {
		names, hosts = append(names, d.Name), append(hosts, networkPrefix(i)+".1.1")
		if d.Workers > 0 {
			fleet = append(fleet, fmt.Sprintf("%s=%d@%s.0.1:%d", d.Name, d.Workers, networkPrefix(i),
				l.Port+workerPortOffset))
		}
	}
	for _, k := range m.Kinds {
		if k.RunTime > 0 {
			runTimes = append(runTimes, k.Name+"="+k.RunTime.String())
		}
	}
	c := m.Worker.Capacity
	return []string{
		"DATA_CENTRES=(" + strings.Join(names, " ") + ")",
		"ENTRY_HOSTS=(" + strings.Join(hosts, " ") + ")",
		"CALLER_HOST=127.9.0.1",
		"CLEMENTINE_WORKER_FLEET=" + strings.Join(fleet, ","),
		"CLEMENTINE_WORKER_KINDS=" + strings.Join(runTimes, ","),
		fmt.Sprintf("CLEMENTINE_WORKER_SLOTS=%d", m.Worker.Slots),
		fmt.Sprintf("CLEMENTINE_WORKER_CONNECTIONS=%d", m.Worker.Connections),
		fmt.Sprintf("CLEMENTINE_WORKER_MILLI_CORES=%d", c.MilliCores),
		fmt.Sprintf("CLEMENTINE_WORKER_MEMORY_MB=%d", c.MemoryMB),
		fmt.Sprintf("CLEMENTINE_WORKER_ACCELERATORS=%d", c.Accelerators),
		fmt.Sprintf("CLEMENTINE_WORKER_PER_RACK=%d", m.Worker.PerRack),
	}
}

// conditionsFile is the file format that link.OpenConditions reads.
type conditionsFile struct {
	Prefixes map[string]string `yaml:"prefixes"`
	Default  effect            `yaml:"default"`
	Pairs    []pair            `yaml:"pairs"`
}

type effect struct {
	Delay  string  `yaml:"delay"`
	Jitter string  `yaml:"jitter"`
	Loss   float64 `yaml:"loss"`
}

type pair struct {
	From   string  `yaml:"from"`
	To     string  `yaml:"to"`
	Delay  string  `yaml:"delay"`
	Jitter string  `yaml:"jitter"`
	Loss   float64 `yaml:"loss"`
}

// writeConditions writes the conditions file. Only links between data centres lose packets.
func (l *Layout) writeConditions(m *manifest.Manifest) error {
	betweenDelay, callerDelay := m.Links.BetweenDataCentres, m.Links.ToCallers
	f := conditionsFile{Prefixes: map[string]string{callerNetwork: callerPrefixName},
		Default: effect{Delay: betweenDelay.String(), Jitter: l.jitterFor(betweenDelay).String(), Loss: l.Loss}}
	for i, d := range m.DataCentres {
		f.Prefixes[networkPrefix(i)+".0.0/16"] = d.Name
		delay, jitter := callerDelay.String(), l.jitterFor(callerDelay).String()
		f.Pairs = append(f.Pairs, pair{From: callerPrefixName, To: d.Name, Delay: delay, Jitter: jitter},
			pair{From: d.Name, To: callerPrefixName, Delay: delay, Jitter: jitter})
	}
	data, err := yaml.Marshal(f)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(l.Conditions, data, fileMode); err != nil {
		return &FileError{Path: l.Conditions, Err: err}
	}
	return nil
}
