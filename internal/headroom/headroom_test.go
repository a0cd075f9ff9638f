package headroom

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// fakeInterference has one harmful pair of images.
type fakeInterference struct{}

func (fakeInterference) Coefficient(service, image string) float64 {
	if service == "sensitive" && image == "harmful" {
		return 4
	}
	// The error of the fit.
	return 0.9
}

// margin is the margin of the services.
const margin = 1.5

var (
	sensitive = Service{Image: "sensitive", Margin: margin}
	robust    = Service{Image: "robust", Margin: margin}
)

func TestFits(t *testing.T) {
	for _, c := range []struct {
		name     string
		load     Load
		services []Service
		image    string
		size     int64
		share    float64
		want     bool
	}{
		{"empty worker", Load{Capacity: 32000}, nil, "harmful", 4000, cautiousShare, true},
		{"a task larger than what is left is taken alone", Load{Capacity: 32000, Exclusive: 30000}, nil, "harmless",
			4000, cautiousShare, true},
		{"no second one beside it", Load{Capacity: 32000, Exclusive: 26000,
			BestEffort: map[string]int64{"harmless": 4000}}, nil, "harmless", 4000, cautiousShare, false},
		{"services use half of what they reserve", Load{Capacity: 32000, Services: 32000,
			BestEffort: map[string]int64{"harmless": 12000}}, nil, "harmless", 4000, cautiousShare, true},
		{"but not less", Load{Capacity: 32000, Services: 32000,
			BestEffort: map[string]int64{"harmless": 13000}}, nil, "harmless", 4000, cautiousShare, false},
		{"not beside a service that it disturbs", Load{Capacity: 32000, Services: 10000},
			[]Service{sensitive}, "harmful", 4000, cautiousShare, false},
		{"beside it if there is no other worker", Load{Capacity: 32000, Services: 10000},
			[]Service{sensitive}, "harmful", 4000, fullShare, true},
		{"up to the whole margin", Load{Capacity: 32000, Services: 10000,
			BestEffort: map[string]int64{"harmful": 10000}}, []Service{sensitive}, "harmful", 4000, fullShare,
			false},
		{"a harmless image beside a service whose margin is used up", Load{Capacity: 32000, Services: 10000,
			BestEffort: map[string]int64{"harmful": 16000}}, []Service{sensitive}, "harmless", 4000,
			cautiousShare, true},
		{"one of several services is disturbed", Load{Capacity: 32000, Services: 10000},
			[]Service{robust, sensitive}, "harmful", 4000, cautiousShare, false},
		{"not beside a service near its objective", Load{Capacity: 32000, Services: 10000, TailRatio: 0.8},
			[]Service{robust}, "harmless", 4000, fullShare, false},
		{"not beside a service at the peak of its load", Load{Capacity: 32000, Services: 10000},
			[]Service{{Image: "sensitive", Margin: 0.3}}, "harmful", 4000, fullShare, false},
		{"a harmless image beside a service over its target", Load{Capacity: 32000, Services: 10000},
			[]Service{{Image: "sensitive", Margin: -0.1}}, "harmless", 4000, fullShare, true},
		{"a task without size", Load{Capacity: 32000, Services: 10000}, []Service{sensitive}, "harmful", 0,
			cautiousShare, true},
		{"a worker of unknown capacity takes one task", Load{}, nil, "harmless", 4000, cautiousShare, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, c.load.Fits(fakeInterference{}, c.services, c.image, c.size, c.share))
		})
	}
}

func TestShare(t *testing.T) {
	sensitive, robust := map[string]int{"sensitive": 1}, map[string]int{"robust": 1}
	workers := func(sensitives, robusts int) []map[string]int {
		var out []map[string]int
		for range sensitives {
			out = append(out, sensitive)
		}
		for range robusts {
			out = append(out, robust)
		}
		return out
	}
	assert.Equal(t, cautiousShare, Share(fakeInterference{}, workers(17, 3), "harmful"))
	assert.Equal(t, fullShare, Share(fakeInterference{}, workers(20, 1), "harmful"), "too few workers without disturbance")
	assert.Equal(t, cautiousShare, Share(fakeInterference{}, workers(20, 0), "harmless"))
	assert.Equal(t, cautiousShare, Share(fakeInterference{}, nil, "harmless"), "no worker is known")
}

func TestKeepsMargins(t *testing.T) {
	sensitive := []Service{sensitive}
	full := Load{Capacity: 32000, Services: 32000, BestEffort: map[string]int64{"harmless": 40000}}
	assert.True(t, full.KeepsMargins(fakeInterference{}, sensitive, "harmful", 4000, fullShare), "whatever processors are left")
	disturbed := Load{Capacity: 32000, Services: 10000, BestEffort: map[string]int64{"harmful": 10000}}
	assert.False(t, disturbed.KeepsMargins(fakeInterference{}, sensitive, "harmful", 4000, fullShare))
	assert.True(t, disturbed.KeepsMargins(fakeInterference{}, nil, "harmful", 4000, cautiousShare), "no service is disturbed")
}

func TestBelowObjectives(t *testing.T) {
	assert.True(t, (&Load{}).BelowObjectives())
	assert.False(t, (&Load{TailRatio: 0.8}).BelowObjectives())
}
