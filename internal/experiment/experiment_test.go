package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/load"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

const examples = "../../examples/experiments"

// Guards against an example that cannot be run, and against an arm whose policies do not reach the published manifest.
func TestExamples(t *testing.T) {
	for name, arms := range map[string]int{"routing-60": 3, "routing-90": 3, "peak": 2, "slow-worker": 3, "healthy": 2} {
		s, err := Read(filepath.Join(examples, name+".yaml"))
		require.NoError(t, err)
		require.Len(t, s.Arms, arms)
		require.GreaterOrEqual(t, s.Repeats, 5)
		require.Equal(t, 64, s.slots())
		for _, a := range s.Arms {
			text, err := s.variant(a)
			require.NoError(t, err)
			m, err := manifest.Parse(a.Name, text)
			require.NoError(t, err)
			own := map[string]string{"routing": m.Policies.Routing, "admission": m.Policies.Admission, "ejection": m.Policies.Ejection}
			for policy, value := range a.Policies {
				require.Equal(t, value, own[policy])
			}
			same, err := manifest.Parse("file", s.text)
			require.NoError(t, err)
			m.Policies = same.Policies
			require.Equal(t, same, m, "an arm changes policies only")
		}
	}
}

// Guards against a misspelt field or policy that is silently ignored.
func TestRefused(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(examples, "peak.yaml"))
	require.NoError(t, err)
	dir := t.TempDir()
	two, err := os.ReadFile(filepath.Join(examples, "two-sites.yaml"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "two-sites.yaml"), two, fileMode))
	for old, changed := range map[string]string{"repeats: 5": "repeat: 5", "admission: fifo": "admission: lifo", "rate: 225": "rate: 0",
		"name: doubled": "name: tripled", "name: peak": "name: ../peak", "length: 8s": "length: 8h"} {
		path := filepath.Join(dir, "changed.yaml")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), old, changed, 1)), fileMode))
		_, err := Read(path)
		require.Error(t, err, changed)
	}
}

// Guards against ratios that compare different repeats, whose load differs.
func TestRatiosArePaired(t *testing.T) {
	c := cellOf("b", map[int]float64{0: 10, 1: 40}, map[int]float64{0: 5, 1: 20}, true)
	require.Equal(t, spread{25, 10, 40}, c.Value)
	require.Equal(t, spread{2, 2, 2}, *c.Ratio)
	require.Nil(t, cellOf("b", map[int]float64{0: 10}, map[int]float64{0: 0}, true).Ratio)
	require.Zero(t, variation([]load.SecondResult{{Whole: 5}, {Whole: 5}}))
}
