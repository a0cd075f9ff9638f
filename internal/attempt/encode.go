package attempt

import (
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
)

type encodedJob struct {
	Submit    contract.Submit   `cbor:"1,keyasint"`
	Cancelled bool              `cbor:"2,keyasint,omitempty"`
	Tasks     []*Task           `cbor:"3,keyasint"`
	State     contract.JobState `cbor:"4,keyasint"`
	Order     uint64            `cbor:"5,keyasint"`
}

type encodedState struct {
	Jobs     []encodedJob           `cbor:"1,keyasint"`
	Finished []finishedJob          `cbor:"2,keyasint"`
	Drained  []instance.ID          `cbor:"3,keyasint"`
	Out      []contract.TransferOut `cbor:"4,keyasint"`
}

// Encode implements shard.State. Times keep microseconds, as in records.
func (s *State) Encode() ([]byte, error) {
	e := encodedState{Finished: s.finished, Out: s.out}
	for _, j := range s.order {
		e.Jobs = append(e.Jobs, encodedJob{j.Submit, j.Cancelled, j.Tasks, j.State, j.order})
	}
	for id := range s.drained {
		e.Drained = append(e.Drained, id)
	}
	sort.Slice(e.Drained, func(i, k int) bool { return e.Drained[i] < e.Drained[k] })
	m, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := m.Marshal(e)
	return data, errors.WithStack(err)
}

// Decode implements shard.State.
func (s *State) Decode(data []byte) error {
	var e encodedState
	if err := cbor.Unmarshal(data, &e); err != nil {
		return &contract.DecodeError{What: "shard state", Err: err}
	}
	for _, j := range e.Jobs {
		if slices.Contains(j.Tasks, nil) {
			return &contract.DecodeError{What: "shard state", Err: &EmptyTaskError{Job: j.Submit.Job}}
		}
	}
	s.Reset()
	s.finished, s.out = e.Finished, e.Out
	for _, id := range e.Drained {
		s.drained[id] = true
	}
	for _, ej := range e.Jobs {
		j := s.addJob(ej.Order, ej.Submit)
		for _, t := range ej.Tasks {
			s.addTask(j, t)
		}
		j.Cancelled, j.State = ej.Cancelled, ej.State
	}
	return nil
}
