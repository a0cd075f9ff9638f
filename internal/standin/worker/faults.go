package worker

import "time"

// Faults are the injected faults of one worker. The zero value is a healthy worker.
type Faults struct {
	// Dead kills the worker: it refuses connections and loses its tasks and requests. It boots again when the fault
	// ends.
	Dead bool `json:"dead,omitempty"`
	// Frozen makes the worker accept calls without answering them until the fault ends. The clock, the tasks and the
	// lease continue.
	Frozen bool `json:"frozen,omitempty"`
	// FailTasks makes every new task fail, FailKinds every new task of the given kinds.
	FailTasks bool     `json:"fail_tasks,omitempty"`
	FailKinds []string `json:"fail_kinds,omitempty"`
	// Slow is the factor by which run times are multiplied. Values up to 1 have no effect.
	Slow float64 `json:"slow,omitempty"`
	// WrongAnswer is the probability that an answer belongs to another request, is truncated, has changed content or is
	// interrupted by a closed connection.
	WrongAnswer float64 `json:"wrong_answer,omitempty"`
	// Leaving marks the worker as leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// SetFaults replaces the faults. It does not open or close the endpoint; Fleet does that.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if w.bootState != nil {
		w.advance(now)
	}
	if w.faults.Frozen != f.Frozen {
		if f.Frozen {
			w.unfrozen = make(chan struct{})
		} else {
			close(w.unfrozen)
		}
	}
	w.faults = f
	if f.Leaving {
		w.leave(now)
	} else {
		w.leavingSince = time.Time{}
	}
	if f.Dead {
		w.kill()
		return
	}
	if w.bootState == nil {
		w.boot(now)
	}
	w.advance(now)
}

// Faults returns the current faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}
