package budget

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and length of the random runs unless the command line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "600", "rapid.steps": "1000"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
