package dispatch

import (
	"math"
	"time"

	"clementinewalk.example/clementinewalk/internal/durations"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// predictionInterval is how long the predictions for a round are used before they are made anew. A kind is learned within a
// few seconds, and the objectives of what waits change with it.
const predictionInterval = time.Second

// predictable reports whether the durations of a step's tasks are learned. Long-running tasks have none, and a task of a gang
// waits for the others.
func predictable(s *workflow.Step) bool { return !s.LongRunning && !s.Gang }

func (s *step) kind() durations.Kind {
	return durations.Kind{Queue: s.round.job.terms.Queue, Step: s.index, Image: s.def.Image}
}

// predict sets the expected durations and the paths of the steps, and the objective of the submission, which depends on the
// longest path. A step depends on earlier ones only.
func (r *round) predict(now time.Duration) {
	r.predictedAt = now
	j := r.job
	for _, s := range r.steps {
		s.path, s.shortestPath = 0, 0
	}
	chain := time.Duration(0)
	for i := len(r.steps) - 1; i >= 0; i-- {
		s := r.steps[i]
		p := durations.Prediction{Expected: s.def.Estimate}
		if predictable(s.def) {
			p = j.durations.Predict(s.kind(), s.def.Estimate)
		}
		s.duration, s.known = p.Expected, p.AtLeast > 0
		s.path += p.Expected
		s.shortestPath += p.AtLeast
		chain = max(chain, s.path)
		for _, a := range s.def.After {
			r.steps[a].path = max(r.steps[a].path, s.path)
			r.steps[a].shortestPath = max(r.steps[a].shortestPath, s.shortestPath)
		}
	}
	j.setObjective(chain)
}

// refresh makes the predictions for the round anew if they are old.
func (r *round) refresh(now time.Duration) {
	if now-r.predictedAt >= predictionInterval {
		r.predict(now)
	}
}

// setObjective sets the objective for the expected duration of the longest chain of steps. A submission that was late when
// this owner read it counts as due then.
func (j *job) setObjective(chain time.Duration) {
	j.latencyObjective = j.terms.Objective(chain)
	j.objectiveAt = max(j.addedAt, j.acceptedAt+j.latencyObjective)
}

// isTimed reports whether the duration of an attempt whose start was just confirmed will be that of a whole task: the time of
// its start is known, and it begins at the beginning, undisturbed, near its data.
func (t *task) isTimed(now time.Duration, checkpoint string) bool {
	def, w := t.step.def, t.worker
	return predictable(def) && checkpoint == "" && !t.hadUnansweredStart && t.evictions == 0 && t.stallMoves == 0 &&
		w.coldUntil <= now && w.failingSince == 0 && (def.DataRack == "" || def.DataRack == w.Rack)
}

// learnDuration learns from the success of an attempt.
func (c *Core) learnDuration(now time.Duration, t *task) {
	def := t.step.def
	if !predictable(def) {
		return
	}
	if !t.timed || t.adopted {
		c.durationStats.ignored++
		return
	}
	actual := now - t.startedAt
	c.durationStats.observe(actual, def.Estimate, t.step.duration)
	c.durations.Observe(t.step.kind(), actual, def.Estimate, 1/float64(def.Count))
}

// durationStats compares estimates and predictions with the durations since the last summary.
type durationStats struct {
	// learned and ignored count the tasks that completed, by whether their durations were used.
	learned, ignored int
	// compared counts the learned tasks with an estimate; the sums are of the logarithms of the factors by which the estimates
	// and the predictions for them were wrong.
	compared                       int
	estimateErrors, predictionErrs float64
}

func (d *durationStats) observe(actual, estimate, predicted time.Duration) {
	d.learned++
	if estimate <= 0 {
		return
	}
	d.compared++
	d.estimateErrors += math.Abs(logRatio(actual, estimate))
	d.predictionErrs += math.Abs(logRatio(actual, predicted))
}

func logRatio(a, b time.Duration) float64 {
	return math.Log(float64(max(a, time.Millisecond)) / float64(max(b, time.Millisecond)))
}

// meanFactor returns the factor for a sum of logarithms; 1 if nothing was compared.
func (d *durationStats) meanFactor(sum float64) float64 {
	return math.Exp(sum / float64(max(1, d.compared)))
}

func (d *durationStats) estimateFactor() float64   { return d.meanFactor(d.estimateErrors) }
func (d *durationStats) predictionFactor() float64 { return d.meanFactor(d.predictionErrs) }

// summarizeDurations logs what was learned since the last summary.
func (c *Core) summarizeDurations() {
	s := &c.durationStats
	c.metrics.setDurations(c.durations.Kinds(), s)
	if s.learned+s.ignored > 0 {
		c.logger.Info("durations summary", "kinds", c.durations.Kinds(), "learned", s.learned, "ignored", s.ignored,
			"without_estimate", s.learned-s.compared, "estimates_wrong_by", s.estimateFactor(),
			"predictions_wrong_by", s.predictionFactor())
	}
	*s = durationStats{}
}
