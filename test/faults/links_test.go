package faults

import (
	"fmt"
	"os"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"
)

// links writes the file with the conditions between the data centres, which the processes follow.
type links struct {
	t    *testing.T
	path string
}

type effect struct {
	Delay  string  `yaml:"delay"`
	Jitter string  `yaml:"jitter"`
	Loss   float64 `yaml:"loss"`
	Cut    bool    `yaml:"cut"`
}

type pair struct {
	From   string `yaml:"from"`
	To     string `yaml:"to"`
	effect `yaml:",inline"`
}

var (
	normal = effect{Delay: "5ms", Jitter: "1ms", Loss: 0.001}
	cut    = effect{Delay: "0s", Jitter: "0s", Cut: true}
	// lossy loses one packet in twenty, and its variation lets packets overtake each other.
	lossy = effect{Delay: "5ms", Jitter: "40ms", Loss: 0.05}
)

func newLinks(t *testing.T, path string) *links {
	l := &links{t: t, path: path}
	l.set(normal)
	return l
}

// set replaces the conditions: the effect between data centres, and exceptions.
func (l *links) set(between effect, exceptions ...pair) {
	l.t.Helper()
	near := effect{Delay: "1ms", Jitter: "200us"}
	out := struct {
		Prefixes map[string]string `yaml:"prefixes"`
		Default  effect            `yaml:"default"`
		Pairs    []pair            `yaml:"pairs"`
	}{Prefixes: map[string]string{"127.9.0.0/16": "callers", "127.8.0.0/16": "platform"}, Default: between}
	for i, name := range sites {
		out.Prefixes[fmt.Sprintf("127.%d.0.0/16", 10+i)] = name
		for _, other := range []string{"callers", "platform"} {
			out.Pairs = append(out.Pairs, pair{name, other, near}, pair{other, name, near})
		}
	}
	out.Pairs = append(out.Pairs, exceptions...)
	data, err := yaml.Marshal(out)
	require.NoError(l.t, err)
	// A reader must never see half a file.
	require.NoError(l.t, os.WriteFile(l.path+".new", data, 0o644))
	require.NoError(l.t, os.Rename(l.path+".new", l.path))
}
