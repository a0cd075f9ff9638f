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

// Guards against an example file that Read rejects, and against an arm whose policies are missing from its manifest or
// that changes other parts of the manifest.
func TestExamples(t *testing.T) {
	for name, arms := range map[string]int{"routing-60": 3, "routing-90": 3, "peak": 2, "slow-worker": 3,
		"healthy": 2} {
		s, err := Read(filepath.Join(examples, name+".yaml"))
		require.NoError(t, err)
		require.Len(t, s.Arms, arms)
		require.GreaterOrEqual(t, s.Repeats, 5)
		require.Equal(t, 64, s.slots())
		for _, a := range s.Arms {
			text, err := s.armManifest(a)
			require.NoError(t, err)
			m, err := manifest.Parse(a.Name, text)
			require.NoError(t, err)
			got := map[string]string{"routing": m.Policies.Routing, "admission": m.Policies.Admission,
				"ejection": m.Policies.Ejection}
			for policy, value := range a.Policies {
				require.Equal(t, value, got[policy])
			}
			original, err := manifest.Parse("file", s.manifestText)
			require.NoError(t, err)
			m.Policies = original.Policies
			require.Equal(t, original, m, "an arm must only change policies")
		}
	}
}

// Guards against a misspelt field or policy, a value out of range, a duplicate name, or a name that is not safe as a
// directory name, that is accepted without an error.
func TestInvalidSpecs(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(examples, "peak.yaml"))
	require.NoError(t, err)
	dir := t.TempDir()
	two, err := os.ReadFile(filepath.Join(examples, "two-sites.yaml"))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "two-sites.yaml"), two, fileMode))
	for old, changed := range map[string]string{"repeats: 5": "repeat: 5", "admission: fifo": "admission: lifo",
		"rate: 225": "rate: 0", "name: doubled": "name: tripled", "name: peak": "name: ../peak",
		"length: 8s": "length: 8h"} {
		path := filepath.Join(dir, "changed.yaml")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), old, changed, 1)), fileMode))
		_, err := Read(path)
		require.Error(t, err, changed)
	}
}

// Guards against ratios between different repeats: their seeds and thus their loads differ.
func TestRatiosArePaired(t *testing.T) {
	c := newCell("b", map[int]float64{0: 10, 1: 40}, map[int]float64{0: 5, 1: 20}, true)
	require.Equal(t, summary{25, 10, 40}, c.Value)
	require.Equal(t, summary{2, 2, 2}, *c.Ratio)
	require.Nil(t, newCell("b", map[int]float64{0: 10}, map[int]float64{0: 0}, true).Ratio)
	require.Zero(t, coefficientOfVariation([]load.SecondResult{{AnsweredInTime: 5}, {AnsweredInTime: 5}}))
}
