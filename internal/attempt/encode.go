package attempt

import (
	"slices"
	"sort"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
)

// encodedJob is the encoded form of an unfinished job in a snapshot.
type encodedJob struct {
	Submit       contract.Submit   `cbor:"1,keyasint"`
	Cancelled    bool              `cbor:"2,keyasint,omitempty"`
	Tasks        []*Task           `cbor:"3,keyasint"`
	State        contract.JobState `cbor:"4,keyasint"`
	SubmitOffset uint64            `cbor:"5,keyasint"`
}

// encodedState is the encoded form of a State in a snapshot.
type encodedState struct {
	Jobs      []encodedJob           `cbor:"1,keyasint"`
	Finished  []finishedJob          `cbor:"2,keyasint"`
	Drained   []instance.ID          `cbor:"3,keyasint"`
	Transfers []contract.TransferOut `cbor:"4,keyasint"`
}

// Encode implements shard.State. Times have a resolution of microseconds, as in records.
func (s *State) Encode() ([]byte, error) {
	e := encodedState{Finished: s.finished, Transfers: s.transfers}
	for _, j := range s.jobOrder {
		e.Jobs = append(e.Jobs, encodedJob{j.Submit, j.Cancelled, j.Tasks, j.State, j.submitOffset})
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

// Decode implements shard.State. It returns a *contract.DecodeError for malformed data.
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
	s.finished, s.transfers = e.Finished, e.Transfers
	for _, id := range e.Drained {
		s.drained[id] = true
	}
	for _, ej := range e.Jobs {
		j := s.addJob(ej.SubmitOffset, ej.Submit)
		for _, t := range ej.Tasks {
			s.addTask(j, t)
		}
		j.Cancelled, j.State = ej.Cancelled, ej.State
	}
	return nil
}
