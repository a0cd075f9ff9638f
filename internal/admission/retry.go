package admission

import "time"

const (
	// maxSavedRetries bounds the saved-up retries, so that a quiet hour does not permit a storm.
	maxSavedRetries = 100
	// initialRetries is the budget at the start, so that the first failures after a start can be retried.
	initialRetries = 10
)

// RetryBudget permits a number of retries per hundred requests. It is not safe for concurrent use.
type RetryBudget struct {
	perRequest float64
	available  float64
}

// NewRetryBudget returns a budget of perHundred retries for every hundred requests.
func NewRetryBudget(percent int) *RetryBudget {
	b := &RetryBudget{available: initialRetries}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the number of retries per hundred requests.
func (b *RetryBudget) SetPercent(percent int) {
	b.perRequest = float64(percent) / 100
	if percent <= 0 {
		b.available = 0
	}
}

// CountRequest counts a request that is not a retry.
func (b *RetryBudget) CountRequest() { b.available = min(b.available+b.perRequest, maxSavedRetries) }

// TakeRetry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Available returns the number of retries that are permitted now.
func (b *RetryBudget) Available() float64 { return b.available }

// Limit bounds the requests in progress below the slots that a gateway holds.
type Limit interface {
	// Allow reports whether another request may start while inUse are in progress.
	Allow(inUse int) bool
	// Observe takes up how a request ended.
	Observe(now time.Time, service time.Duration, failed bool)
}

// Unlimited uses every slot of the grants.
type Unlimited struct{}

// Allow implements Limit.
func (Unlimited) Allow(int) bool { return true }

// Observe implements Limit.
func (Unlimited) Observe(time.Time, time.Duration, bool) {}
