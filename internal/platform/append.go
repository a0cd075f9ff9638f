package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

const (
	firstRetry = 20 * time.Millisecond
	maxRetry   = time.Second
)

// AppendUntil appends the same records until an append is answered or ctx ends, and returns the offset of the first
// record of the answered append. Records carry ids, so a repeat after a lost answer is harmless to readers, but the
// records can appear at more than one offset.
//
// When ctx ends it returns *UnavailableError, which tells whether any of the appends may have taken effect. Every other
// error means that the platform refused the records for good.
func AppendUntil(ctx context.Context, l Log, stream string, records [][]byte) (uint64, error) {
	var last error
	applied, refused := false, false
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, maxRetry
	first, err := backoff.Retry(ctx, func() (uint64, error) {
		first, err := l.Append(ctx, stream, records)
		last = err
		var unavailable *UnavailableError
		var limited *RateLimitedError
		switch {
		case err == nil:
			return first, nil
		case errors.As(err, &unavailable):
			applied = applied || unavailable.MayHaveApplied
			return 0, err
		case errors.As(err, &limited):
			// The library waits for this duration in place of its own interval.
			return 0, &backoff.RetryAfterError{Duration: max(limited.RetryAfter, firstRetry)}
		}
		refused = true
		return 0, backoff.Permanent(err)
	}, backoff.WithBackOff(b), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil:
		return first, nil
	case refused:
		return 0, last
	}
	return 0, &UnavailableError{Op: "append", MayHaveApplied: applied, Err: last}
}
