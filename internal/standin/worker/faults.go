package worker

import "time"

// Faults are the faults of one worker. The zero value is a healthy worker.
type Faults struct {
	// Dead refuses connections. Tasks and requests are gone; the worker boots again when the fault ends.
	Dead bool `json:"dead,omitempty"`
	// Frozen accepts calls but answers none until the fault ends. The clock, tasks and the lease go on.
	Frozen bool `json:"frozen,omitempty"`
	// FailTasks makes every new task fail, FailKinds those of the given kinds.
	FailTasks bool     `json:"fail_tasks,omitempty"`
	FailKinds []string `json:"fail_kinds,omitempty"`
	// Slow multiplies run times if it is above 1.
	Slow float64 `json:"slow,omitempty"`
	// WrongAnswer is the probability that an answer belongs to another request, is cut short, is changed or breaks off.
	WrongAnswer float64 `json:"wrong_answer,omitempty"`
	// Leaving marks the worker as leaving.
	Leaving bool `json:"leaving,omitempty"`
}

// SetFaults replaces the faults. The caller opens and closes the endpoint to match Dead.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if w.life != nil {
		w.advance(now)
	}
	if w.faults.Frozen != f.Frozen {
		if f.Frozen {
			w.thawed = make(chan struct{})
		} else {
			close(w.thawed)
		}
	}
	w.faults = f
	if f.Leaving {
		w.leave(now)
	} else {
		w.leaving = time.Time{}
	}
	if f.Dead {
		w.die()
		return
	}
	if w.life == nil {
		w.boot(now)
	}
	w.advance(now)
}

// Faults returns the faults in force.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}
