package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// recordingState records the offsets of the records applied to it.
type recordingState struct{ offsets []uint64 }

func (s *recordingState) Apply(offset, _ uint64, _ contract.Body) error {
	s.offsets = append(s.offsets, offset)
	return nil
}

func (s *recordingState) Encode() ([]byte, error) {
	out := make([]byte, 0, len(s.offsets))
	for _, o := range s.offsets {
		out = append(out, byte(o>>8), byte(o))
	}
	return out, nil
}

func (s *recordingState) Decode(data []byte) error {
	s.offsets = nil
	for i := 0; i+1 < len(data); i += 2 {
		s.offsets = append(s.offsets, uint64(data[i])<<8|uint64(data[i+1]))
	}
	return nil
}

func (s *recordingState) Reset() { s.offsets = nil }

// testStream is a stream in memory.
type testStream struct {
	t       *testing.T
	records [][]byte
}

func (s *testStream) add(id contract.RecordID, epoch uint64, b contract.Body) uint64 {
	data, err := contract.EncodeRecord(id, epoch, b)
	require.NoError(s.t, err)
	s.records = append(s.records, data)
	return uint64(len(s.records))
}

func (s *testStream) put(epoch uint64, b contract.Body) uint64 {
	return s.add(contract.NewRecordID(), epoch, b)
}

// replay reads the stream from an offset to its end, restarting as EndOfStream requests, and returns the outcomes of
// the last pass.
func (s *testStream) replay(from, oldest uint64) (*Replayer, *recordingState, []Outcome) {
	st := &recordingState{}
	r := NewReplayer("a", st, from)
	for {
		var out []Outcome
		for o := r.Next(); o <= uint64(len(s.records)); o++ {
			res, err := r.Apply(o, s.records[o-1])
			require.NoError(s.t, err)
			out = append(out, res.Outcome)
		}
		at, again := r.EndOfStream(oldest)
		if !again {
			return r, st, out
		}
		r.Restart(at)
	}
}

func place(n int) *contract.Place {
	return &contract.Place{TaskRef: upstream.TaskRef{Job: "j", Index: n, Attempt: 1}}
}

// Guards against records of a superseded owner taking effect.
func TestEpochs(t *testing.T) {
	s := &testStream{t: t}
	one := s.put(0, &contract.Claim{Owner: "x"})
	s.put(one, place(1))
	two := s.put(0, &contract.Claim{Owner: "y", PreviousEpoch: one})
	s.put(one, place(2))
	s.put(two, place(3))
	s.put(0, &contract.Submit{Job: "j"})
	s.put(0, &contract.Claim{Owner: "z", PreviousEpoch: one})
	s.put(one, &contract.Release{})
	s.put(two, place(4))
	s.put(two, &contract.Release{})
	s.put(two, place(5))
	s.put(two, &contract.Release{})
	s.put(0, place(6))
	three := s.put(0, &contract.Claim{Owner: "x", PreviousEpoch: two})
	s.records = append(s.records, []byte("not a record"))
	r, st, got := s.replay(1, 1)
	require.Equal(t, []Outcome{Valid, Valid, Valid, Stale, Valid, Valid, ClaimConflict, Stale, Valid, Valid, Stale,
		Stale, Stale, Valid, Malformed}, got)
	require.Equal(t, []uint64{2, 5, 6, 9}, st.offsets)
	require.Equal(t, three, r.Ownership().Epoch)
	require.True(t, r.Ownership().AfterRelease)
	require.False(t, r.Ownership().Released)
	_, err := r.Apply(3, nil)
	var gap *GapError
	require.ErrorAs(t, err, &gap)
}

// Guards against a new owner that waits according to its own manifest while an earlier owner renews leases according to
// an older manifest with longer limits.
func TestEarlierLimits(t *testing.T) {
	s := &testStream{t: t}
	claim := func(after uint64, ttl, isolation time.Duration) uint64 {
		return s.put(0, &contract.Claim{Owner: "x", PreviousEpoch: after, TTL: ttl, Isolation: isolation})
	}
	one := claim(0, 9, 90)
	two := claim(one, 3, 30)
	three := claim(two, 4, 40)
	r, _, _ := s.replay(1, 1)
	require.Equal(t, [2]time.Duration{9, 90},
		[2]time.Duration{r.Ownership().EarlierTTL, r.Ownership().EarlierIsolation})
	s.put(three, &contract.Release{})
	claim(three, 1, 1)
	r, _, _ = s.replay(1, 1)
	require.Equal(t, [2]time.Duration{4, 0}, [2]time.Duration{r.Ownership().EarlierTTL, r.Ownership().EarlierIsolation})
	four := claim(r.Ownership().Epoch, 2, 20)
	s.put(four, &contract.Release{LeasesLeft: 7})
	five := claim(four, 1, 10)
	r, _, _ = s.replay(1, 1)
	require.Equal(t, [2]time.Duration{7, 0}, [2]time.Duration{r.Ownership().EarlierTTL, r.Ownership().EarlierIsolation},
		"the release names leases that outlast those of its epoch")
	claim(five, 3, 30)
	r, _, _ = s.replay(1, 1)
	require.Equal(t, [2]time.Duration{7, 10}, [2]time.Duration{r.Ownership().EarlierTTL, r.Ownership().EarlierIsolation},
		"without a release they still count")
}

// Guards against a record that takes effect twice after the answer to its append was lost, and against unbounded memory
// for ids.
func TestDuplicates(t *testing.T) {
	s := &testStream{t: t}
	id := contract.NewRecordID()
	s.add(id, 0, &contract.Submit{Job: "j"})
	s.add(id, 0, &contract.Submit{Job: "j"})
	for range windowSize - 1 {
		s.put(0, &contract.Cancel{Job: "k"})
	}
	s.add(id, 0, &contract.Submit{Job: "j"})
	s.put(0, &contract.Cancel{Job: "k"})
	r, _, got := s.replay(1, 1)
	require.Equal(t, Duplicate, got[1])
	require.Equal(t, Duplicate, got[windowSize+1])
	require.Len(t, r.recentIDs.set, windowSize)
	require.Len(t, r.recentIDs.ring, windowSize)
}

func (s *testStream) snapshot(r *Replayer, between func()) {
	d, err := r.Draft(contract.NewRecordID())
	require.NoError(s.t, err)
	next := r.Next()
	for _, p := range d.Parts {
		s.put(0, p)
		s.put(0, p)
		between()
	}
	for ; next <= uint64(len(s.records)); next++ {
		_, err := r.Apply(next, s.records[next-1])
		require.NoError(s.t, err)
	}
	end, ok := r.End(d)
	require.True(s.t, ok)
	s.put(0, end)
}

// Guards against a reader that starts at a snapshot and reaches a different state than a reader of the whole stream,
// because of records appended while the snapshot is written, record ids read before it, or a start in the middle of it.
func TestSnapshotReplay(t *testing.T) {
	s := &testStream{t: t}
	one := s.put(0, &contract.Claim{Owner: "x"})
	id := contract.NewRecordID()
	s.add(id, 0, &contract.Submit{Job: "before"})
	for i := range 5000 {
		s.put(one, place(i))
	}
	r, _, _ := s.replay(1, 1)
	require.Equal(t, 5002, r.RecordsSinceSnapshot())
	covers := r.Next() - 1
	s.snapshot(r, func() { s.put(0, &contract.Submit{Job: "between"}) })
	s.add(id, 0, &contract.Submit{Job: "before"})
	s.put(one, place(1))
	whole, all, _ := s.replay(1, 1)
	require.Less(t, whole.RecordsSinceSnapshot(), 30)
	for _, from := range []uint64{2, covers + 1} {
		part, st, _ := s.replay(from, from)
		require.Equal(t, all.offsets, st.offsets, from)
		require.Equal(t, whole.Ownership(), part.Ownership())
		require.Equal(t, whole.Snapshot(), part.Snapshot())
		require.Less(t, part.RecordsSinceSnapshot(), 30)
	}
	// A reader that starts after the snapshot goes back to it as long as the log retains it.
	_, st, _ := s.replay(uint64(len(s.records)), 2)
	require.Equal(t, all.offsets, st.offsets)
	// Without a complete snapshot the state starts with the oldest retained record, under the epoch that the records
	// name.
	late, st, _ := s.replay(uint64(len(s.records)), uint64(len(s.records)))
	require.Equal(t, []uint64{uint64(len(s.records))}, st.offsets)
	require.Equal(t, one, late.Ownership().Epoch)
}

// Guards against claims of a shard whose owner is alive, claims before the peers are known, and shards that are never
// claimed.
func TestClaimant(t *testing.T) {
	start := time.Unix(1000, 0)
	findOwnShard := func(live ...instance.ID) string {
		for i := range 100 {
			ownShard := fmt.Sprintf("shard-%d", i)
			if Choose(ownShard, append(live, "self")) == "self" {
				return ownShard
			}
		}
		return ""
	}
	ownShard := findOwnShard("peer")
	peerShard := func() string {
		for i := range 100 {
			n := fmt.Sprintf("shard-%d", i)
			if Choose(n, []instance.ID{"peer", "self"}) == "peer" {
				return n
			}
		}
		return ""
	}()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	claimBy := func(o instance.ID, inc instance.Incarnation) *Ownership {
		return &Ownership{Epoch: 7, Claim: contract.Claim{Owner: o, Incarnation: inc}}
	}
	live := Peer{ID: "peer", Incarnation: "p1", Listed: true, LastHeartbeat: at(10 * time.Second)}
	owns := live
	owns.Owned = map[string]uint64{ownShard: 7}
	silent := owns
	silent.LastHeartbeat = at(7 * time.Second)
	tests := map[string]struct {
		shard        string
		now          time.Duration
		peer         *Peer
		read         *Ownership
		logReachable bool
		want         Step
	}{
		"no claim before the peers are known": {now: time.Second, peer: &Peer{ID: "peer", Listed: true},
			want: StepNone},
		"selected without a known owner": {now: 10 * time.Second, peer: &live, want: StepRead},
		"another one is selected":        {shard: peerShard, now: 10 * time.Second, peer: &live, want: StepNone},
		"owner reports the shard":        {now: 10 * time.Second, peer: &owns, want: StepNone},
		"owner is silent":                {now: 10 * time.Second, peer: &silent, want: StepRead},
		"no claim yet": {now: 10 * time.Second, peer: &live, read: &Ownership{}, logReachable: true,
			want: StepClaim},
		"log is down": {now: 10 * time.Second, peer: &live, read: &Ownership{}, want: StepRead},
		"released": {now: 10 * time.Second, peer: &live, logReachable: true, want: StepClaim,
			read: &Ownership{Epoch: 7, Released: true, Claim: contract.Claim{Owner: "peer", Incarnation: "p1"}}},
		"owner has just claimed": {now: 10 * time.Second, peer: &live, read: claimBy("peer", "p1"), logReachable: true,
			want: StepRead},
		"owner is silent, read": {now: 10 * time.Second, peer: &silent, read: claimBy("peer", "p1"), logReachable: true,
			want: StepClaim},
		"owner restarted": {now: 10 * time.Second, peer: &live, read: claimBy("peer", "p0"), logReachable: true,
			want: StepClaim},
		"owner is absent": {now: 10 * time.Second, peer: &live, read: claimBy("gone", "g1"), logReachable: true,
			want: StepRead},
		"own earlier incarnation": {now: 10 * time.Second, peer: &live, read: claimBy("self", "s0"), logReachable: true,
			want: StepClaim},
		"own claim": {now: 10 * time.Second, peer: &live, read: claimBy("self", "s1"), logReachable: true,
			want: StepOwn},
		"own claim, another one is selected": {shard: peerShard, now: 10 * time.Second, peer: &live,
			read:         claimBy("self", "s1"),
			logReachable: true, want: StepOwn},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if c.shard == "" {
				c.shard = ownShard
			}
			v := View{Now: at(c.now), Self: "self", Start: start, OwnerTimeout: 3 * time.Second,
				LogReachable: c.logReachable,
				Peers:        map[instance.ID]Peer{"peer": *c.peer}}
			require.Equal(t, c.want, NewClaimant(c.shard, "s1").Next(v, c.read))
		})
	}
	// The instance list lags, so an unlisted owner counts as gone only after the timeout. A claim that is read
	// meanwhile shows that its owner is alive.
	absent, absentView := NewClaimant(ownShard, "s1"),
		View{Now: at(10 * time.Second), Self: "self", Start: start, OwnerTimeout: 3 * time.Second, LogReachable: true}
	require.Equal(t, StepRead, absent.Next(absentView, claimBy("gone", "g1")))
	absentView.Now = at(13 * time.Second)
	require.Equal(t, StepRead, absent.Next(absentView, &Ownership{Epoch: 8, Claim: contract.Claim{Owner: "other"}}))
	absentView.Now = at(15 * time.Second)
	require.Equal(t, StepRead, absent.Next(absentView, &Ownership{Epoch: 8, Claim: contract.Claim{Owner: "other"}}))
	absentView.Now = at(16 * time.Second)
	require.Equal(t, StepClaim, absent.Next(absentView, &Ownership{Epoch: 8, Claim: contract.Claim{Owner: "other"}}))
	// A peer that has just appeared in the list counts as live before its first heartbeat.
	absentView.Peers = map[instance.ID]Peer{"peer": {ID: "peer", Listed: true, ListedSince: at(15 * time.Second)}}
	require.ElementsMatch(t, []instance.ID{"self", "peer"}, absentView.Live())
	absentView.Now = at(18 * time.Second)
	require.Equal(t, []instance.ID{"self"}, absentView.Live())
	c := NewClaimant(peerShard, "s1")
	v := View{Now: at(10 * time.Second), Self: "self", Start: start, OwnerTimeout: time.Hour, LogReachable: true,
		Peers: map[instance.ID]Peer{"peer": live}}
	require.Equal(t, StepOwn, c.Next(v, claimBy("self", "s1")))
	v.Now = v.Now.Add(rebalanceDelay + time.Second)
	require.Equal(t, StepRelease, c.Next(v, claimBy("self", "s1")),
		"another scheduler is selected for longer than the limit")
}

// Guards against a hash that moves shards between remaining schedulers when another one leaves.
func TestChooseIsStable(t *testing.T) {
	for i := range 200 {
		name := fmt.Sprint("shard-", i)
		before := Choose(name, []instance.ID{"a", "b", "c"})
		if after := Choose(name, []instance.ID{"a", "b"}); before != "c" {
			require.Equal(t, before, after)
		}
	}
}
