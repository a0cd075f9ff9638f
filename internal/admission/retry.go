package admission

import "time"

const (
	// maxSavedRetries limits the unused retries that are saved, so that a long time without failures does not permit a
	// retry storm.
	maxSavedRetries = 100
	// initialRetries is the budget at the start, so that the first failures after a start can be retried.
	initialRetries = 10
)

// RetryBudget permits a percentage of requests to be retried. It is not safe for concurrent use.
type RetryBudget struct {
	perRequest float64
	available  float64
}

// NewRetryBudget returns a budget that permits percent retries per hundred requests.
func NewRetryBudget(percent int) *RetryBudget {
	b := &RetryBudget{available: initialRetries}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the number of retries per hundred requests. Zero withdraws the saved retries, too.
func (b *RetryBudget) SetPercent(percent int) {
	b.perRequest = float64(percent) / 100
	if percent <= 0 {
		b.available = 0
	}
}

// CountRequest adds the share of a request that is not a retry to the budget.
func (b *RetryBudget) CountRequest() { b.available = min(b.available+b.perRequest, maxSavedRetries) }

// TakeRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Available returns the number of retries that are permitted now.
func (b *RetryBudget) Available() float64 { return b.available }

// Limit can restrict the requests in progress to fewer than the granted slots.
type Limit interface {
	// Allow reports whether another request may start while inUse are in progress.
	Allow(inUse int) bool
	// Observe records the service time of an answer, or a failure.
	Observe(now time.Time, service time.Duration, failed bool)
}

// Unlimited permits a request on every slot.
type Unlimited struct{}

// Allow implements Limit.
func (Unlimited) Allow(int) bool { return true }

// Observe implements Limit.
func (Unlimited) Observe(time.Time, time.Duration, bool) {}
