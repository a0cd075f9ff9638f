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
	// backoffDecayInterval is the time without an ejection after which one doubling is undone.
	backoffDecayInterval = time.Minute
	// slowRatio is the average service time, as a multiple of the expected one, from which a worker is slow. A
	// slot there serves less than a third of what another one serves. Interference by tasks can reach it, too, and is
	// treated alike.
	slowRatio = 3
	// answerWeight is the weight of a new answer in that moving average. minAnswers is the least number of answers for
	// which the average is used.
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
	// ratio is the moving average of the service time as a multiple of the expected one. answers is the number of
	// answers in it.
	ratio   float64
	answers int
	// lastAnswer is the time of the last answer.
	lastAnswer time.Time
	// probation reports whether the worker gets one request at a time, until an answer shows that it has recovered.
	probation bool
	ejections int
	ejected   bool
	// until is the end of the last ejection, and after it the time at which the last doubling was undone.
	until time.Time
}

// NewOutlierDetector returns a detector without recorded failures.
func NewOutlierDetector() *OutlierDetector {
	return &OutlierDetector{workers: map[instance.ID]*workerHealth{}}
}

// RecordSuccess records that a worker answered a request.
func (o *OutlierDetector) RecordSuccess(id instance.ID) {
	if w := o.workers[id]; w != nil {
		w.consecutiveFailures = 0
	}
}

// RecordServiceTime records the service time of an answer as a multiple of the expected one, and reports whether the
// worker is ejected for it. workerCount is the number of workers with grants.
func (o *OutlierDetector) RecordServiceTime(now time.Time, id instance.ID, ratio float64, workerCount int) bool {
	w := o.workers[id]
	if w == nil {
		w = &workerHealth{ratio: 1}
		o.workers[id] = w
	}
	w.answers++
	w.lastAnswer = now
	w.ratio += answerWeight * (ratio - w.ratio)
	if w.ejected {
		return false
	}
	if w.probation && ratio < slowRatio {
		w.probation, w.ratio, w.answers = false, 1, 0
		return false
	}
	return (w.probation || w.answers >= minAnswers && w.ratio >= slowRatio) && o.eject(now, w, workerCount)
}

// OnProbation reports whether a worker may have only one request at a time.
func (o *OutlierDetector) OnProbation(id instance.ID) bool {
	w := o.workers[id]
	return w != nil && w.probation && !w.ejected
}

// RecordFailure records a failure of a worker and reports whether the worker is ejected for it. workerCount is the
// number of workers with grants.
func (o *OutlierDetector) RecordFailure(now time.Time, id instance.ID, workerCount int) bool {
	w := o.workers[id]
	if w == nil {
		w = &workerHealth{ratio: 1}
		o.workers[id] = w
	}
	w.consecutiveFailures++
	return !w.ejected && w.consecutiveFailures >= ejectAfterFailures && o.eject(now, w, workerCount)
}

func (o *OutlierDetector) eject(now time.Time, w *workerHealth, workerCount int) bool {
	if 2*(o.ejected+1) > workerCount {
		return false
	}
	w.ejected, w.until = true, now.Add(min(baseEjection<<min(w.ejections, 10), maxEjection))
	w.ejections++
	o.ejected++
	return true
}

// EndEjections ends the ejections whose time has passed and returns their workers. It also removes workers without
// recent failures or answers, and must be called regularly.
func (o *OutlierDetector) EndEjections(now time.Time) []instance.ID {
	var out []instance.ID
	for id, w := range o.workers {
		switch {
		case w.ejected && !now.Before(w.until):
			w.ejected = false
			// One more failure ejects the worker again.
			w.consecutiveFailures = ejectAfterFailures - 1
			w.probation = w.answers > 0
			o.ejected--
			out = append(out, id)
		case !w.ejected && w.ejections > 0 && now.Sub(w.until) > backoffDecayInterval:
			w.ejections--
			w.until = now
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
