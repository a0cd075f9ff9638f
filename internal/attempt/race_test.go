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

// ownerModel is a scheduler that reads the log with any delay and may wrongly assume that it owns the shard.
type ownerModel struct {
	id     instance.ID
	replay *shard.Replayer
	state  *attempt.State
	// sent holds the records whose append may be repeated, even long after they have become void.
	sent [][]byte
}

// raceModel is a log shared by two owners, with workers that run attempts which an owner has read back. Workers check
// epochs and attempt numbers like real ones.
type raceModel struct {
	log           [][]byte
	owners        [2]*ownerModel
	fencedEpoch   map[instance.ID]uint64
	running       map[instance.ID]map[string]int
	ended         []upstream.TaskRef
	newestAttempt map[string]int
	resumes       map[string]int
}

func (m *raceModel) append(data []byte) { m.log = append(m.log, data) }

func (m *raceModel) send(t *rapid.T, o *ownerModel, epoch uint64, b contract.Body) {
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

func (m *raceModel) drawOwner(t *rapid.T) *ownerModel {
	return m.owners[rapid.IntRange(0, 1).Draw(t, "owner")]
}

func (m *raceModel) owns(o *ownerModel) (uint64, bool) {
	own := o.replay.Ownership()
	return own.Epoch, own.Epoch > 0 && !own.Released && own.Claim.Owner == o.id
}

func (m *raceModel) readRecords(t *rapid.T) {
	o := m.drawOwner(t)
	n := rapid.IntRange(1, 5).Draw(t, "n")
	for i := 0; i < n && o.replay.Next() <= uint64(len(m.log)); i++ {
		at := o.replay.Next()
		_, err := o.replay.Apply(at, m.log[at-1])
		require.NoError(t, err)
	}
}

// startOpen lets an owner start the open attempts on the workers that it has fenced, including those placed in earlier
// epochs. A worker refuses every epoch except the one that has fenced it, and attempts that it has already started.
func (m *raceModel) startOpen(t *rapid.T) {
	o := m.drawOwner(t)
	epoch, owns := m.owns(o)
	for _, w := range []instance.ID{"w0", "w1"} {
		if !owns || m.fencedEpoch[w] != epoch {
			continue
		}
		for ref, task := range o.state.Open(w) {
			m.runAttempt(t, w, ref, task.Checkpoint)
		}
	}
}

func (m *raceModel) runAttempt(t *rapid.T, w instance.ID, ref upstream.TaskRef, checkpoint string) {
	key := fmt.Sprint(ref.Job, "/", ref.Index)
	if m.newestAttempt[string(w)+key] >= ref.Attempt {
		return
	}
	for other, tasks := range m.running {
		require.Zero(t, tasks[key], "task %s runs on %s already", key, other)
	}
	m.running[w][key], m.newestAttempt[string(w)+key] = ref.Attempt, ref.Attempt
	if checkpoint != "" {
		resume := key + checkpoint
		m.resumes[resume]++
		require.Equal(t, 1, m.resumes[resume], "checkpoint resumed twice")
	}
}

func (m *raceModel) writeClaim(t *rapid.T) {
	o := m.drawOwner(t)
	m.send(t, o, 0, &contract.Claim{Owner: o.id, PreviousEpoch: o.replay.Ownership().Epoch,
		Snapshot: o.replay.Snapshot().First})
}

// fenceWorker lets an owner fence a worker, which refuses earlier epochs from then on.
func (m *raceModel) fenceWorker(t *rapid.T) {
	o := m.drawOwner(t)
	w := instance.ID(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"))
	if epoch, owns := m.owns(o); owns && epoch >= m.fencedEpoch[w] {
		m.fencedEpoch[w] = epoch
	}
}

// expireLease lets an owner close the attempts of a worker that no longer answers it, after the owner's lease has
// certainly ended. A worker that a later owner has fenced keeps running under that owner's lease.
func (m *raceModel) expireLease(t *rapid.T) {
	o := m.drawOwner(t)
	epoch, owns := m.owns(o)
	w := instance.ID(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"))
	if !owns || m.fencedEpoch[w] < epoch {
		return
	}
	if m.fencedEpoch[w] == epoch {
		clear(m.running[w])
	}
	for ref := range o.state.Open(w) {
		m.send(t, o, epoch, &contract.Close{TaskRef: ref, Outcome: upstream.OutcomeLost,
			Checkpoint: fmt.Sprint("c", ref.Attempt)})
	}
}

func (m *raceModel) placePending(t *rapid.T) {
	o := m.drawOwner(t)
	epoch, owns := m.owns(o)
	if !owns {
		return
	}
	w := instance.ID(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"))
	if m.fencedEpoch[w] != epoch {
		return
	}
	o.state.EachPending(func(j *attempt.Job, task *attempt.Task) bool {
		m.send(t, o, epoch, &contract.Place{Worker: w, Checkpoint: task.Checkpoint, At: time.Unix(1, 0),
			TaskRef: upstream.TaskRef{Job: j.Submit.Job, Index: task.Index, Attempt: task.Attempt + 1}})
		return false
	})
}

// endTasks lets workers end running attempts, and the owner that has fenced them write the Close records.
func (m *raceModel) endTasks(t *rapid.T) {
	o := m.drawOwner(t)
	epoch, owns := m.owns(o)
	for _, w := range []instance.ID{"w0", "w1"} {
		if !owns || m.fencedEpoch[w] != epoch {
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

// repeatAppend repeats an earlier append.
func (m *raceModel) repeatAppend(t *rapid.T) {
	if o := m.drawOwner(t); len(o.sent) > 0 {
		m.append(rapid.SampledFrom(o.sent).Draw(t, "record"))
	}
}

func (m *raceModel) writeSnapshot(t *rapid.T) {
	o := m.drawOwner(t)
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
	data, err := contract.EncodeRecord(contract.NewRecordID(), epoch,
		&contract.SnapshotEnd{Snapshot: d.ID, Parts: len(d.Parts),
			First: first, Covers: d.Covers})
	require.NoError(t, err)
	m.append(data)
}

// restartOwner replaces an owner by one that starts to read at any offset, and compares its state with that of a reader
// of the whole log.
func (m *raceModel) restartOwner(t *rapid.T) {
	o := m.drawOwner(t)
	from := uint64(rapid.IntRange(1, len(m.log)+1).Draw(t, "from"))
	o.state = attempt.New("a")
	o.replay = shard.NewReplayer("a", o.state, from)
	for again := true; again; {
		for at := o.replay.Next(); at <= uint64(len(m.log)); at++ {
			_, err := o.replay.Apply(at, m.log[at-1])
			require.NoError(t, err)
		}
		var back uint64
		if back, again = o.replay.EndOfStream(1); again {
			o.replay.Restart(back)
		}
	}
	whole := attempt.New("a")
	r := shard.NewReplayer("a", whole, 1)
	for i, data := range m.log {
		_, err := r.Apply(uint64(i+1), data)
		require.NoError(t, err)
	}
	require.Equal(t, r.Ownership(), o.replay.Ownership())
	want, err := whole.Encode()
	require.NoError(t, err)
	got, err := o.state.Encode()
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against two concurrent owners that run a task twice, resume a checkpoint twice, or reach different states from
// different start offsets. A violated invariant of package attempt fails the test as well.
func TestRacingOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &raceModel{fencedEpoch: map[instance.ID]uint64{},
			running: map[instance.ID]map[string]int{"w0": {}, "w1": {}}, resumes: map[string]int{},
			newestAttempt: map[string]int{}}
		for i := range m.owners {
			st := attempt.New("a")
			m.owners[i] = &ownerModel{id: instance.ID(fmt.Sprint("s", i)), state: st,
				replay: shard.NewReplayer("a", st, 1)}
		}
		m.send(t, m.owners[0], 0, &contract.Submit{Job: "a~j", Kind: "k", Tasks: 2})
		t.Repeat(map[string]func(*rapid.T){"read": m.readRecords, "claim": m.writeClaim, "fence": m.fenceWorker,
			"start": m.startOpen, "lapse": m.expireLease, "place": m.placePending, "end": m.endTasks,
			"repeat": m.repeatAppend, "snapshot": m.writeSnapshot, "restart": m.restartOwner,
			"read again": m.readRecords})
	})
}
