package upstream

import (
	"strconv"
	"strings"
)

// attemptSeparator separates the caller's request id from the serial number of a call to a worker.
const attemptSeparator = "."

// AttemptID returns the request id of one call to a worker. Every call needs its own id, because a worker refuses a
// cancelled id for some time. serial must be unique among the calls of a gateway.
func AttemptID(callerID string, serial uint64) string {
	return callerID + attemptSeparator + strconv.FormatUint(serial, 36)
}

// CallerID returns the caller's request id that an attempt id was made from. It is the same for all calls of one
// request.
func CallerID(attemptID string) string {
	if i := strings.LastIndex(attemptID, attemptSeparator); i >= 0 {
		return attemptID[:i]
	}
	return attemptID
}
