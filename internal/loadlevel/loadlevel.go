// Package loadlevel follows the load of one service through the tail latencies that its tasks report, and forecasts it. It
// answers load that rises and falls within seconds: the tasks of a service share its callers, so their latencies rise together,
// and a worker that could take best-effort tasks beside the service a few seconds ago cannot take them now. The package uses no
// clock, network or goroutine.
package loadlevel

import (
	"math"
	"time"
)

const (
	// timeConstant is the age at which the weight of a report has fallen to 1/e. The load of the measured services swings within
	// about 14 s, and a service reports about 20 times a second.
	timeConstant = 800 * time.Millisecond
	// priorWeight is the weight of the assumption that the level is 0, in reports. It anchors the level of a service that reports
	// rarely.
	priorWeight = 2.0
	// maxDeviation limits how far one report moves the estimate: a task beside an unknown disturbance reports many times the
	// latency of the others.
	maxDeviation = 0.3
	// A report has its full weight if the task has not reported for reportInterval, and half of it if the rise by the best-effort
	// tasks beside it is expected to be uncertainRise. Workers on which tasks end often report often, and the rise is an estimate.
	reportInterval = 100 * time.Millisecond
	uncertainRise  = 0.1
	// maxSlope limits the forecast to a change per second; the steepest one measured is 0.25.
	maxSlope = 0.4
	// maxHorizon limits how far ahead the slope is followed.
	maxHorizon = 1500 * time.Millisecond
	// minSpread is the weighted variance of report times, in square seconds, from which a slope is estimated.
	minSpread = 0.02
)

// Level is the deviation of the logarithm of a service's tail latency from what is expected at its mean load. The zero value is a
// service without reports.
type Level struct {
	// weight, t, tt, y and ty are the weighted sums over the reports of 1, their times, squared times, values and products.
	// Times are in seconds relative to at, so they are at most 0.
	weight, t, tt, y, ty float64
	at                   time.Duration
}

// Report is what one task of a service reports.
type Report struct {
	// Deviation is the logarithm of its tail latency, less the expected one, which contains Rise for the best-effort tasks beside it.
	Deviation, Rise float64
	// Since is the time since the previous report of the task.
	Since time.Duration
}

// Observe adds a report.
func (l *Level) Observe(now time.Duration, r Report) {
	deviation := r.Deviation
	if l.weight > 0 {
		expected := l.At(now, 0)
		deviation = min(max(deviation, expected-maxDeviation), expected+maxDeviation)
	}
	l.advance(now)
	weight := min(1, float64(max(0, r.Since))/float64(reportInterval)) / (1 + (r.Rise/uncertainRise)*(r.Rise/uncertainRise))
	l.weight += weight
	l.y += weight * deviation
}

// advance moves the origin of the times to now, and lets the weights decay.
func (l *Level) advance(now time.Duration) {
	d := (now - l.at).Seconds()
	l.at = now
	if d <= 0 || l.weight == 0 {
		return
	}
	// With times relative to the new origin, t becomes t-d.
	l.tt += -2*d*l.t + d*d*l.weight
	l.ty -= d * l.y
	l.t -= d * l.weight
	decay := math.Exp(-d / timeConstant.Seconds())
	l.weight, l.t, l.tt, l.y, l.ty = decay*l.weight, decay*l.t, decay*l.tt, decay*l.y, decay*l.ty
}

// Reports returns the number of recent reports, by weight.
func (l *Level) Reports(now time.Duration) float64 {
	return l.weight * math.Exp(-max(0, now-l.at).Seconds()/timeConstant.Seconds())
}

// At returns the expected deviation ahead of now; 0 without reports.
func (l *Level) At(now, ahead time.Duration) float64 {
	if l.weight == 0 {
		return 0
	}
	reports := l.Reports(now)
	mean, meanTime := l.y/l.weight, l.t/l.weight
	slope := 0.0
	if spread := l.tt/l.weight - meanTime*meanTime; spread >= minSpread {
		slope = (l.ty/l.weight - mean*meanTime) / spread
	}
	slope = min(max(slope, -maxSlope), maxSlope)
	// The mean is that of the time meanTime.
	horizon := min(max(0, now+ahead-l.at), maxHorizon).Seconds()
	return (mean + slope*(horizon-meanTime)) * reports / (reports + priorWeight)
}
