package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
)

// The backoff between two appends of AppendUntil.
const (
	minAppendBackoff = 20 * time.Millisecond
	maxAppendBackoff = time.Second
)

// AppendUntil repeats the append of the same records until the platform answers or ctx ends. It returns the offset of
// the first record of the answered append. A repetition after a lost answer can store the records at more than one
// offset; readers ignore the copies, which carry the same record ids.
//
// If ctx ends, AppendUntil returns *UnavailableError, which reports whether any of the appends may have taken effect.
// Every other error means that the platform has refused the records and a retry would fail.
func AppendUntil(ctx context.Context, l Log, stream string, records [][]byte) (uint64, error) {
	var last error
	applied, refused := false, false
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minAppendBackoff, maxAppendBackoff
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
			// The library waits for this duration instead of its own interval.
			return 0, &backoff.RetryAfterError{Duration: max(limited.RetryAfter, minAppendBackoff)}
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
