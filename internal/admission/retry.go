package admission

import "time"

const (
	// retryBurst bounds the saved-up retries, so that a quiet hour does not permit a storm.
	retryBurst = 100
	// firstRetries is the budget at the start, so that the first failures after a start can be retried.
	firstRetries = 10
)

// RetryBudget permits a number of retries per hundred requests. It is not safe for concurrent use.
type RetryBudget struct {
	share float64
	left  float64
}

// NewRetryBudget returns a budget of perHundred retries for every hundred requests.
func NewRetryBudget(perHundred int) *RetryBudget {
	b := &RetryBudget{left: firstRetries}
	b.SetShare(perHundred)
	return b
}

// SetShare changes the number of retries per hundred requests.
func (b *RetryBudget) SetShare(perHundred int) {
	b.share = float64(perHundred) / 100
	if perHundred <= 0 {
		b.left = 0
	}
}

// Request counts a request that is not a retry.
func (b *RetryBudget) Request() { b.left = min(b.left+b.share, retryBurst) }

// Retry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Retry() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Left returns the number of retries that are permitted now.
func (b *RetryBudget) Left() float64 { return b.left }

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
