package routing

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const (
	// ejectAfterFailures is the number of consecutive failures that ejects a worker.
	ejectAfterFailures = 5
	// baseEjection is the duration of the first ejection. It doubles with each further one, up to maxEjection.
	baseEjection = 2 * time.Second
	maxEjection  = 2 * time.Minute
	// backoffDecayInterval is the time without an ejection after which one doubling is undone. It is also the time
	// without an answer after which the entry of a worker without ejections and failures is removed.
	backoffDecayInterval = time.Minute
	// slowRatio: a worker is slow if its mean service time is at least this multiple of the expected one; a slot there
	// serves at most a third of what another one serves. Interference by tasks can cause this, too, and is handled the
	// same way.
	slowRatio = 3
	// answerWeight is the weight of a new answer in the moving average of that ratio. minAnswers is the least number of
	// answers for which the average is used.
	answerWeight = 0.2
	minAnswers   = 5
)

// OutlierDetector ejects workers with repeated failures or slow answers, at most half of the workers at once. It is not
// safe for concurrent use.
type OutlierDetector struct {
	workers map[instance.ID]*workerHealth
	ejected int
}

// workerHealth is the record of one worker.
type workerHealth struct {
	consecutiveFailures int
	// meanRatio is the moving average of the service time as a multiple of the expected one. answers is the number of
	// answers in it.
	meanRatio float64
	answers   int
	// lastAnswer is the time of the last answer.
	lastAnswer time.Time
	// probation reports whether the worker gets one request at a time, until an answer shows that it has recovered.
	probation bool
	ejections int
	ejected   bool
	// ejectedUntil is the end of the last ejection. Later it is the time at which the back-off was last reduced.
	ejectedUntil time.Time
}

// NewOutlierDetector returns a detector without recorded failures.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{workers: map[instance.ID]*workerHealth{}}
}

// RecordSuccess records that a worker answered a request. RecordServiceTime is called for the same answer if
// slow workers are ejected and the expected service time is known.
func (o *OutlierDetector) RecordSuccess(id instance.ID) {
	if w := o.workers[id]; w != nil {
		w.consecutiveFailures = 0
	}
}

// RecordServiceTime records the service time of an answer as a multiple of the expected one, and reports whether this
// answer ejected the worker. workerCount is the number of workers with grants.
func (o *OutlierDetector) RecordServiceTime(now time.Time, id instance.ID, ratio float64, workerCount int) bool {
	w := o.workers[id]
	if w == nil {
		w = &workerHealth{meanRatio: 1}
		o.workers[id] = w
	}
	w.answers++
	w.lastAnswer = now
	w.meanRatio += answerWeight * (ratio - w.meanRatio)
	if w.ejected {
		return false
	}
	if w.probation && ratio < slowRatio {
		w.probation, w.meanRatio, w.answers = false, 1, 0
		return false
	}
	return (w.probation || w.answers >= minAnswers && w.meanRatio >= slowRatio) && o.eject(now, w, workerCount)
}

// OnProbation reports whether a worker may have only one request at a time.
func (o *OutlierDetector) OnProbation(id instance.ID) bool {
	w := o.workers[id]
	return w != nil && w.probation && !w.ejected
}

// RecordFailure records a failure of a worker and reports whether this failure ejected the worker. workerCount is the
// number of workers with grants.
func (o *OutlierDetector) RecordFailure(now time.Time, id instance.ID, workerCount int) bool {
	w := o.workers[id]
	if w == nil {
		w = &workerHealth{meanRatio: 1}
		o.workers[id] = w
	}
	w.consecutiveFailures++
	return !w.ejected && w.consecutiveFailures >= ejectAfterFailures && o.eject(now, w, workerCount)
}

func (o *OutlierDetector) eject(now time.Time, w *workerHealth, workerCount int) bool {
	if 2*(o.ejected+1) > workerCount {
		return false
	}
	w.ejected, w.ejectedUntil = true, now.Add(min(baseEjection<<min(w.ejections, 10), maxEjection))
	w.ejections++
	o.ejected++
	return true
}

// EndEjections ends the ejections whose time has passed and returns their workers. It also reduces the back-off of
// workers that were not ejected lately and removes workers without ejections, failures and recent answers, and must be
// called regularly. Consecutive failures do not age: a worker that failed is kept until it has answered again.
func (o *OutlierDetector) EndEjections(now time.Time) []instance.ID {
	var out []instance.ID
	for id, w := range o.workers {
		switch {
		case w.ejected && !now.Before(w.ejectedUntil):
			w.ejected = false
			// One more failure ejects the worker again.
			w.consecutiveFailures = ejectAfterFailures - 1
			// Probation needs an answer to compare; a worker without recorded answers gets none.
			w.probation = w.answers > 0
			o.ejected--
			out = append(out, id)
		case !w.ejected && w.ejections > 0 && now.Sub(w.ejectedUntil) > backoffDecayInterval:
			w.ejections--
			w.ejectedUntil = now
		case !w.ejected && w.ejections == 0 && w.consecutiveFailures == 0 &&
			now.Sub(w.lastAnswer) > backoffDecayInterval:
			delete(o.workers, id)
		}
	}
	return out
}

// Clear removes all state and returns the workers that were ejected.
func (o *OutlierDetector) Clear() []instance.ID {
	var out []instance.ID
	for id, w := range o.workers {
		if w.ejected {
			out = append(out, id)
		}
	}
	*o = *NewOutlierDetector()
	return out
}

// Ejected reports whether a worker is ejected.
func (o *OutlierDetector) Ejected(id instance.ID) bool {
	w := o.workers[id]
	return w != nil && w.ejected
}

// EjectedCount returns the number of ejected workers.
func (o *OutlierDetector) EjectedCount() int { return o.ejected }
