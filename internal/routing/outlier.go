package routing

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const (
	// failuresInRow is the number of failures without a success between them that ejects a worker.
	failuresInRow = 5
	// firstEjection is the length of the first ejection; it doubles with each further one.
	firstEjection = 2 * time.Second
	maxEjection   = 2 * time.Minute
	// forgiveAfter is the time after an ejection in which one step of doubling is taken back.
	forgiveAfter = time.Minute
)

// Outliers ejects workers with repeated failures, at most half of them at once. It is not safe for concurrent use.
type Outliers struct {
	workers map[instance.ID]*outlier
	ejected int
}

type outlier struct {
	failures int
	times    int
	ejected  bool
	until    time.Time
}

// NewOutliers returns a state without failures.
func NewOutliers() *Outliers { return &Outliers{workers: map[instance.ID]*outlier{}} }

// Succeeded takes up that a worker answered a request.
func (o *Outliers) Succeeded(id instance.ID) {
	if w := o.workers[id]; w != nil {
		w.failures = 0
	}
}

// Failed takes up a failure of a worker and reports whether the worker is ejected from now on. total is the number of workers
// with grants.
func (o *Outliers) Failed(now time.Time, id instance.ID, total int) bool {
	w := o.workers[id]
	if w == nil {
		w = &outlier{}
		o.workers[id] = w
	}
	w.failures++
	if w.ejected || w.failures < failuresInRow || 2*(o.ejected+1) > total {
		return false
	}
	w.ejected, w.until = true, now.Add(min(firstEjection<<min(w.times, 10), maxEjection))
	w.times++
	o.ejected++
	return true
}

// Returned returns the workers whose ejection has ended, and forgets those without a recent failure.
func (o *Outliers) Returned(now time.Time) []instance.ID {
	var out []instance.ID
	for id, w := range o.workers {
		switch {
		case w.ejected && !now.Before(w.until):
			w.ejected = false
			// One more failure is enough to eject the worker again.
			w.failures = failuresInRow - 1
			o.ejected--
			out = append(out, id)
		case !w.ejected && w.times > 0 && now.Sub(w.until) > forgiveAfter:
			w.times--
			w.until = now
		case !w.ejected && w.times == 0 && w.failures == 0:
			delete(o.workers, id)
		}
	}
	return out
}

// Clear forgets all failures and returns the workers that were ejected.
func (o *Outliers) Clear() []instance.ID {
	var out []instance.ID
	for id, w := range o.workers {
		if w.ejected {
			out = append(out, id)
		}
	}
	*o = *NewOutliers()
	return out
}

// Ejected reports whether a worker is ejected.
func (o *Outliers) Ejected(id instance.ID) bool {
	w := o.workers[id]
	return w != nil && w.ejected
}

// Count returns the number of ejected workers.
func (o *Outliers) Count() int { return o.ejected }
