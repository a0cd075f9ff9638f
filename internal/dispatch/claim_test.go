package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/catalog"
	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/queue"
	"clementinewalk.example/clementinewalk/internal/standin/memlog"
)

// fixedView is a current view of the log with a fixed round-trip time, which is unknown if it is 0.
type fixedView struct{ roundTrip time.Duration }

func (v fixedView) AsOf() (time.Duration, bool)      { return 0, true }
func (v fixedView) RoundTrip() (time.Duration, bool) { return v.roundTrip, v.roundTrip > 0 }

func TestLeasesOfAPredecessorCountFromItsLastRecord(t *testing.T) {
	const isolation = 5 * time.Second
	acting := withDrift(isolation)
	old, claim := catalog.Ownership{Epoch: 3, Instance: "x"}, catalog.Ownership{Epoch: 4, Instance: "i", Claim: "c"}
	released := catalog.Ownership{Epoch: 3, Instance: "x", Released: true}
	restarted := catalog.Ownership{Epoch: 3, Instance: "i"}
	heartbeat := catalog.Ownership{Epoch: 4, Instance: "i"}
	type read struct {
		at      time.Duration
		entries int
		newest  catalog.Ownership
	}
	for name, test := range map[string]struct {
		reads   []read
		settled int64
		want    time.Duration
	}{
		"own claim": {want: 2*time.Second + acting,
			reads: []read{{time.Second, 5, old}, {2 * time.Second, 1, old}, {4 * time.Second, 1, claim}}},
		"records before the claim": {want: 4*time.Second + acting,
			reads: []read{{time.Second, 5, old}, {4 * time.Second, 2, claim}}},
		"heartbeats after the own claim": {want: 2*time.Second + acting, reads: []read{{time.Second, 5, old},
			{2 * time.Second, 1, old}, {4 * time.Second, 1, claim}, {5 * time.Second, 2, heartbeat}}},
		"claims after the own one": {want: 5*time.Second + acting, reads: []read{{time.Second, 5, old},
			{4 * time.Second, 1, claim}, {5 * time.Second, 2, catalog.Ownership{Epoch: 5, Instance: "y", Claim: "d"}}}},
		"nothing new": {want: time.Second + acting, reads: []read{{time.Second, 5, old}, {3 * time.Second, 0, old}}},
		"released": {want: 9 * time.Second, settled: 3,
			reads: []read{{time.Second, 5, old}, {9 * time.Second, 1, released}}},
		"released before others had ended": {want: 9*time.Second + acting, settled: 2,
			reads: []read{{time.Second, 5, old}, {9 * time.Second, 1, released}}},
		"silent":          {want: time.Second + acting, settled: 3, reads: []read{{time.Second, 5, old}}},
		"earlier process": {want: time.Second, settled: 3, reads: []read{{time.Second, 5, restarted}}},
	} {
		t.Run(name, func(t *testing.T) {
			o := &Owner{settings: Settings{Instance: "i", Params: Params{Isolation: isolation}},
				events: make(chan func(time.Duration), 1), logger: discardLogger(), catalog: catalog.New(discardLogger())}
			e, err := catalog.SettledEntry(&catalog.Settled{Epoch: test.settled})
			require.NoError(t, err)
			loaded := catalog.DecodeTasks([]eventlog.Entry{e}, discardLogger())
			for _, r := range test.reads {
				entries := make([]eventlog.Entry, r.entries)
				for i := range entries {
					entries[i].Offset = o.claimOffset + int64(i)
				}
				o.ProgressRead(eventlog.Batch{Entries: entries}, r.newest)
				(<-o.events)(r.at)
				if r.newest == claim {
					o.epoch, o.claimOffset = 4, 7
				}
			}
			last := test.reads[len(test.reads)-1]
			_, settled := loaded.Settled(last.newest.Epoch)
			o.predecessorsEnded = o.ended(last.newest) && settled
			assert.Equal(t, test.want, o.predecessorUntil())
		})
	}
}

// Guards against an owner that is far from the log or short of processor time while a better instance could claim.
func TestOrderOfClaims(t *testing.T) {
	instance := func(cores float64, roundTrip time.Duration) *Owner {
		return &Owner{settings: Settings{Instance: "i", Cores: cores}, catalog: catalog.New(discardLogger()),
			views: Views{Progress: fixedView{roundTrip}}}
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

// Guards against two owners in a row: an instance claims because the former owner was silent, although the catalog holds the
// claim of another instance that was read a moment ago.
func TestNoClaimAfterAClaimThatWasJustRead(t *testing.T) {
	cat, config := catalog.New(discardLogger()), &queue.Current{}
	config.Advance(testConfig())
	view := fixedView{roundTrip: time.Millisecond}
	o := NewOwner(Settings{Instance: "i", Cores: 1}, memlog.New(), noWorkers{}, nil, nil, config, cat,
		Views{Submissions: view, Progress: view}, func(bool) {}, discardLogger())
	read := func(owner catalog.Ownership) catalog.Ownership {
		e, err := catalog.OwnerEntry(&owner)
		require.NoError(t, err)
		return cat.ApplyProgress([]eventlog.Entry{e})
	}
	o.observeOwnership(read(catalog.Ownership{Epoch: 2, Instance: "x"}))
	o.lastOwnerWrite, o.closuresKnown = -2*claimSilence, true
	o.maybeClaim(t.Context(), 0)
	assert.NotZero(t, o.claimAt, "the owner has been silent")
	newest := read(catalog.Ownership{Epoch: 3, Instance: "y", Claim: "c"})
	o.maybeClaim(t.Context(), time.Second)
	assert.False(t, o.claimInFlight)
	assert.Zero(t, o.claimAt, "the silence was that of an earlier owner")
	o.observeOwnership(newest)
	o.maybeClaim(t.Context(), 0)
	assert.NotZero(t, o.claimAt, "the new owner is silent as well")
}

func TestLeasesOfAnEarlierTenureCountFromItsEnd(t *testing.T) {
	o := &Owner{predecessorsEnded: true, logger: discardLogger(), cancelTenure: func() {}, onRole: func(bool) {}}
	before := clock.Now()
	o.stepDown("test")
	assert.GreaterOrEqual(t, o.predecessorUntil(), before)
}

// Guards against an owner that is too weak for its fleet while stronger instances notice the silence a moment later.
func TestWeakInstanceLetsStrongerOnesClaimFirst(t *testing.T) {
	cat := catalog.New(discardLogger())
	for name, cores := range map[string]float64{"strong": 0.8, "equal": 0.25} {
		e, err := catalog.EndpointEntry(&catalog.Endpoint{Instance: name, Cores: cores})
		require.NoError(t, err)
		cat.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{e}})
	}
	delay := func(name string, cores float64, previous catalog.Ownership) time.Duration {
		o := &Owner{settings: Settings{Instance: name, Cores: cores}, catalog: cat,
			views: Views{Progress: fixedView{time.Millisecond}}}
		return o.claimDelay(previous)
	}
	// Reads of an idle topic begin up to 300 ms apart on different instances.
	const noticed = 300 * time.Millisecond
	for _, previous := range []catalog.Ownership{{Epoch: 3, Instance: "x"}, {Epoch: 3, Instance: "x", Released: true}} {
		assert.Greater(t, delay("weak", 0.2, previous), delay("strong", 0.8, previous)+noticed)
		assert.Less(t, delay("equal", 0.25, previous)-delay("weak", 0.3, previous), noticed)
	}
	assert.Zero(t, delay("weak", 0.2, catalog.Ownership{Epoch: 3, Instance: "weak"}))
	// Without stronger instances, nobody waits longer.
	e := catalog.RemoveEndpointEntry("strong")
	cat.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{e}})
	assert.Less(t, delay("weak", 0.2, catalog.Ownership{Epoch: 3, Instance: "x"}), weakClaimDelay)
}
