package faults

import (
	"fmt"
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// conditionsFile writes the file with the conditions of the links between data centres. The processes reload it when it
// changes.
type conditionsFile struct {
	t    *testing.T
	path string
}

// linkConditions are the conditions of the packets in one direction. Loss is the share of lost packets.
type linkConditions struct {
	Delay  string  `yaml:"delay"`
	Jitter string  `yaml:"jitter"`
	Loss   float64 `yaml:"loss"`
	Cut    bool    `yaml:"cut"`
}

// linkPair gives the conditions from one data centre to another. The callers and the platform count as data centres.
type linkPair struct {
	From           string `yaml:"from"`
	To             string `yaml:"to"`
	linkConditions `yaml:",inline"`
}

var (
	normalLink = linkConditions{Delay: "5ms", Jitter: "1ms", Loss: 0.001}
	cutLink    = linkConditions{Delay: "0s", Jitter: "0s", Cut: true}
	// lossyLink loses one packet in 20. Its jitter reorders packets.
	lossyLink = linkConditions{Delay: "5ms", Jitter: "40ms", Loss: 0.05}
)

func newConditionsFile(t *testing.T, path string) *conditionsFile {
	l := &conditionsFile{t: t, path: path}
	l.set(normalLink)
	return l
}

// set replaces the conditions: between applies between all data centres, except for the pairs in exceptions. Links to
// callers and to the platform get a delay of 1 ms unless an exception changes it.
func (l *conditionsFile) set(between linkConditions, exceptions ...linkPair) {
	l.t.Helper()
	localLink := linkConditions{Delay: "1ms", Jitter: "200us"}
	out := struct {
		Prefixes map[string]string `yaml:"prefixes"`
		Default  linkConditions    `yaml:"default"`
		Pairs    []linkPair        `yaml:"pairs"`
	}{Prefixes: map[string]string{"127.9.0.0/16": "callers", "127.8.0.0/16": "platform"}, Default: between}
	for i, name := range dataCentres {
		out.Prefixes[fmt.Sprintf("127.%d.0.0/16", 10+i)] = name
		for _, other := range []string{"callers", "platform"} {
			out.Pairs = append(out.Pairs, linkPair{name, other, localLink}, linkPair{other, name, localLink})
		}
	}
	out.Pairs = append(out.Pairs, exceptions...)
	data, err := yaml.Marshal(out)
	require.NoError(l.t, err)
	// The rename is atomic, so a process never reads a partly written file.
	require.NoError(l.t, os.WriteFile(l.path+".new", data, 0o644))
	require.NoError(l.t, os.Rename(l.path+".new", l.path))
}
