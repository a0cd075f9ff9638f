package attempt_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementinewalk.example/clementinewalk/internal/attempt"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/shard"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// racer is an owner that reads the log at its own pace and may be wrong about owning the shard.
type racer struct {
	id     instance.ID
	replay *shard.Replayer
	state  *attempt.State
	// sent holds records whose append may still be repeated, also long after they have become void.
	sent [][]byte
}

// race is the shared log with workers that run what a reader has read back. Workers check epoch and attempt like real ones.
type race struct {
	log     [][]byte
	owners  [2]*racer
	epoch   map[instance.ID]uint64
	running map[instance.ID]map[string]int
	ended   []upstream.TaskRef
	seen    map[string]int
	resumes map[string]int
}

func (m *race) append(data []byte) { m.log = append(m.log, data) }

func (m *race) send(t *rapid.T, o *racer, epoch uint64, b contract.Body) {
	data, err := contract.EncodeRecord(contract.NewRecordID(), epoch, b)
	require.NoError(t, err)
	o.sent = append(o.sent, data)
	switch rapid.IntRange(0, 3).Draw(t, "fate") {
	case 0: // The call is lost.
	case 1: // The answer is lost and the owner repeats the append.
		m.append(data)
		m.append(data)
	default:
		m.append(data)
	}
}

func (m *race) owner(t *rapid.T) *racer { return m.owners[rapid.IntRange(0, 1).Draw(t, "owner")] }

func (m *race) owns(o *racer) (uint64, bool) {
	own := o.replay.Owner()
	return own.Epoch, own.Epoch > 0 && !own.Released && own.Claim.Owner == o.id
}

func (m *race) read(t *rapid.T) {
	o := m.owner(t)
	n := rapid.IntRange(1, 5).Draw(t, "n")
	for i := 0; i < n && o.replay.Next() <= uint64(len(m.log)); i++ {
		at := o.replay.Next()
		_, err := o.replay.Apply(at, m.log[at-1])
		require.NoError(t, err)
	}
}

// start lets an owner start what the log gives as open on a worker that it has fenced, placements of earlier epochs included. The
// worker refuses other epochs than the one that has fenced it, and attempts that it has seen.
func (m *race) start(t *rapid.T) {
	o := m.owner(t)
	epoch, owns := m.owns(o)
	for _, w := range []instance.ID{"w0", "w1"} {
		if !owns || m.epoch[w] != epoch {
			continue
		}
		for ref, task := range o.state.Open(w) {
			m.run(t, w, ref, task.Checkpoint)
		}
	}
}

func (m *race) run(t *rapid.T, w instance.ID, ref upstream.TaskRef, checkpoint string) {
	key := fmt.Sprint(ref.Job, "/", ref.Index)
	if m.seen[string(w)+key] >= ref.Attempt {
		return
	}
	for other, tasks := range m.running {
		require.Zero(t, tasks[key], "task %s runs on %s already", key, other)
	}
	m.running[w][key], m.seen[string(w)+key] = ref.Attempt, ref.Attempt
	if checkpoint != "" {
		resume := key + checkpoint
		m.resumes[resume]++
		require.Equal(t, 1, m.resumes[resume], "checkpoint resumed twice")
	}
}

func (m *race) claim(t *rapid.T) {
	o := m.owner(t)
	m.send(t, o, 0, &contract.Claim{Owner: o.id, After: o.replay.Owner().Epoch, Snapshot: o.replay.Snapshot().First})
}

// fence makes a worker refuse earlier epochs.
func (m *race) fence(t *rapid.T) {
	o := m.owner(t)
	w := instance.ID(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"))
	if epoch, owns := m.owns(o); owns && epoch >= m.epoch[w] {
		m.epoch[w] = epoch
	}
}

// lapse lets an owner close the attempts of a worker that does not answer it any more. The lease of that owner has certainly ended;
// a worker that a later owner has fenced runs on under that owner's lease.
func (m *race) lapse(t *rapid.T) {
	o := m.owner(t)
	epoch, owns := m.owns(o)
	w := instance.ID(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"))
	if !owns || m.epoch[w] < epoch {
		return
	}
	if m.epoch[w] == epoch {
		clear(m.running[w])
	}
	for ref := range o.state.Open(w) {
		m.send(t, o, epoch, &contract.Close{TaskRef: ref, Outcome: upstream.OutcomeLost, Checkpoint: fmt.Sprint("c", ref.Attempt)})
	}
}

func (m *race) place(t *rapid.T) {
	o := m.owner(t)
	epoch, owns := m.owns(o)
	if !owns {
		return
	}
	w := instance.ID(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"))
	if m.epoch[w] != epoch {
		return
	}
	o.state.EachPending(func(j *attempt.Job, task *attempt.Task) bool {
		m.send(t, o, epoch, &contract.Place{Worker: w, Checkpoint: task.Checkpoint, At: time.Unix(1, 0),
			TaskRef: upstream.TaskRef{Job: j.Submit.Job, Index: task.Index, Attempt: task.Attempt + 1}})
		return false
	})
}

// end lets a worker end what it runs and the owner that has fenced it write the Close.
func (m *race) end(t *rapid.T) {
	o := m.owner(t)
	epoch, owns := m.owns(o)
	for _, w := range []instance.ID{"w0", "w1"} {
		if !owns || m.epoch[w] != epoch {
			continue
		}
		for ref := range o.state.Open(w) {
			key := fmt.Sprint(ref.Job, "/", ref.Index)
			if m.running[w][key] == ref.Attempt && rapid.Bool().Draw(t, "ends") {
				delete(m.running[w], key)
				m.ended = append(m.ended, ref)
			}
		}
	}
	for _, ref := range m.ended {
		if owns && o.state.IsOpen(ref) {
			m.send(t, o, epoch, &contract.Close{TaskRef: ref, Outcome: upstream.OutcomeEvicted,
				Checkpoint: fmt.Sprint("c", ref.Attempt)})
		}
	}
}

// repeat delivers an old append once more.
func (m *race) repeat(t *rapid.T) {
	if o := m.owner(t); len(o.sent) > 0 {
		m.append(rapid.SampledFrom(o.sent).Draw(t, "record"))
	}
}

func (m *race) snapshot(t *rapid.T) {
	o := m.owner(t)
	epoch, owns := m.owns(o)
	if !owns {
		return
	}
	d, err := o.replay.Draft(contract.NewRecordID())
	require.NoError(t, err)
	first := uint64(len(m.log) + 1)
	for _, p := range d.Parts {
		data, err := contract.EncodeRecord(contract.NewRecordID(), epoch, p)
		require.NoError(t, err)
		m.append(data)
	}
	data, err := contract.EncodeRecord(contract.NewRecordID(), epoch, &contract.SnapshotEnd{Snapshot: d.ID, Parts: len(d.Parts),
		First: first, Covers: d.Covers})
	require.NoError(t, err)
	m.append(data)
}

// restart replaces an owner by one that starts somewhere in the log, and compares it with a reader of the whole log.
func (m *race) restart(t *rapid.T) {
	o := m.owner(t)
	from := uint64(rapid.IntRange(1, len(m.log)+1).Draw(t, "from"))
	o.state = attempt.New("a")
	o.replay = shard.NewReplayer("a", o.state, from)
	for again := true; again; {
		for at := o.replay.Next(); at <= uint64(len(m.log)); at++ {
			_, err := o.replay.Apply(at, m.log[at-1])
			require.NoError(t, err)
		}
		var back uint64
		if back, again = o.replay.Settle(1); again {
			o.replay.Restart(back)
		}
	}
	whole := attempt.New("a")
	r := shard.NewReplayer("a", whole, 1)
	for i, data := range m.log {
		_, err := r.Apply(uint64(i+1), data)
		require.NoError(t, err)
	}
	require.Equal(t, r.Owner(), o.replay.Owner())
	want, err := whole.Encode()
	require.NoError(t, err)
	got, err := o.state.Encode()
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against two owners that race over one log running a task twice, resuming a checkpoint twice, or reaching different
// states from different starting points. The broken assertions of package attempt fail it as well.
func TestRacingOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &race{epoch: map[instance.ID]uint64{}, running: map[instance.ID]map[string]int{"w0": {}, "w1": {}}, resumes: map[string]int{}, seen: map[string]int{}}
		for i := range m.owners {
			st := attempt.New("a")
			m.owners[i] = &racer{id: instance.ID(fmt.Sprint("s", i)), state: st, replay: shard.NewReplayer("a", st, 1)}
		}
		m.send(t, m.owners[0], 0, &contract.Submit{Job: "a~j", Kind: "k", Tasks: 2})
		t.Repeat(map[string]func(*rapid.T){"read": m.read, "claim": m.claim, "fence": m.fence, "start": m.start, "lapse": m.lapse, "place": m.place, "end": m.end,
			"repeat": m.repeat, "snapshot": m.snapshot, "restart": m.restart, "read again": m.read})
	})
}
