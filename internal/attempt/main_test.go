package attempt_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the defaults of the randomised test: a fixed seed, so that a failure in CI can be reproduced, and
// enough steps for several epochs with running tasks.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "300", "rapid.checks": "100"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
