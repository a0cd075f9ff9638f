package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/catalog"
)

// fixedView is a current view of the log with a fixed round-trip time, which is unknown if it is 0.
type fixedView struct{ roundTrip time.Duration }

func (v fixedView) AsOf() (time.Duration, bool)      { return 0, true }
func (v fixedView) RoundTrip() (time.Duration, bool) { return v.roundTrip, v.roundTrip > 0 }

// Guards against an owner that is far from the log or short of processor time while a better instance could claim.
func TestOrderOfClaims(t *testing.T) {
	instance := func(cores float64, roundTrip time.Duration) *Owner {
		return &Owner{settings: Settings{Instance: "i", Cores: cores}, views: Views{Progress: fixedView{roundTrip}}}
	}
	near, far := 4*time.Millisecond, 14*time.Millisecond
	for _, previous := range []catalog.Ownership{{}, {Epoch: 3, Instance: "x"},
		{Epoch: 3, Instance: "x", Released: true}} {
		assert.Less(t, instance(0.4, near).claimDelay(previous), instance(0.4, far).claimDelay(previous),
			"near before far")
		assert.Less(t, instance(0.8, far).claimDelay(previous), instance(0.2, near).claimDelay(previous),
			"strong before weak")
		assert.Less(t, instance(0.4, far).claimDelay(previous), instance(0.4, 0).claimDelay(previous),
			"measured before unknown")
	}
	assert.Zero(t, instance(0.2, far).claimDelay(catalog.Ownership{Epoch: 3, Instance: "i"}), "its own earlier process")
}
