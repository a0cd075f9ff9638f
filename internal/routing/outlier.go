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
	// slowRatio is the average service time, as a multiple of the expected one, from which a worker counts as slow. A slot there serves
	// less than a third of what another one serves. Interference by tasks can reach it, too, and is treated alike.
	slowRatio = 3
	// slowWeight is the weight of a new answer in that average, slowAnswers the least number of answers.
	slowWeight  = 0.2
	slowAnswers = 5
)

// Outliers ejects workers with repeated failures, at most half of them at once. It is not safe for concurrent use.
type Outliers struct {
	workers map[instance.ID]*outlier
	ejected int
}

type outlier struct {
	failures int
	// ratio is the average service time as a multiple of the expected one, over answers.
	ratio   float64
	answers int
	// seen is the time of the last answer.
	seen time.Time
	// probation permits one request at a time until an answer shows that the worker has recovered.
	probation bool
	times     int
	ejected   bool
	until     time.Time
}

// NewOutliers returns a state without failures.
func NewOutliers() *Outliers { return &Outliers{workers: map[instance.ID]*outlier{}} }

// Succeeded takes up that a worker answered a request.
func (o *Outliers) Succeeded(id instance.ID) {
	if w := o.workers[id]; w != nil {
		w.failures = 0
	}
}

// Took takes up the service time of an answer as a multiple of the expected one, and reports whether the worker is ejected from now on
// because it is slow.
func (o *Outliers) Took(now time.Time, id instance.ID, ratio float64, total int) bool {
	w := o.workers[id]
	if w == nil {
		w = &outlier{ratio: 1}
		o.workers[id] = w
	}
	w.answers++
	w.seen = now
	w.ratio += slowWeight * (ratio - w.ratio)
	if w.ejected {
		return false
	}
	if w.probation && ratio < slowRatio {
		w.probation, w.ratio, w.answers = false, 1, 0
		return false
	}
	return (w.probation || w.answers >= slowAnswers && w.ratio >= slowRatio) && o.eject(now, w, total)
}

// Probation reports whether a worker may have one request at a time only.
func (o *Outliers) Probation(id instance.ID) bool {
	w := o.workers[id]
	return w != nil && w.probation && !w.ejected
}

// Failed takes up a failure of a worker and reports whether the worker is ejected from now on. total is the number of workers
// with grants.
func (o *Outliers) Failed(now time.Time, id instance.ID, total int) bool {
	w := o.workers[id]
	if w == nil {
		w = &outlier{ratio: 1}
		o.workers[id] = w
	}
	w.failures++
	return !w.ejected && w.failures >= failuresInRow && o.eject(now, w, total)
}

func (o *Outliers) eject(now time.Time, w *outlier, total int) bool {
	if 2*(o.ejected+1) > total {
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
			w.probation = w.answers > 0
			o.ejected--
			out = append(out, id)
		case !w.ejected && w.times > 0 && now.Sub(w.until) > forgiveAfter:
			w.times--
			w.until = now
		case !w.ejected && w.times == 0 && w.failures == 0 && now.Sub(w.seen) > forgiveAfter:
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
