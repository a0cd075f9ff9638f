// Package clock provides the time since the instance was booted. Unlike Go's monotonic clock it includes the time for
// which the instance was suspended, so that a lease that expired in that time is found to be expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the instance was booted. It is monotonic.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on a kernel without CLOCK_BOOTTIME. Go's monotonic clock is the closest substitute.
		return time.Since(started)
	}
	return time.Duration(ts.Nano())
}

var started = time.Now()
