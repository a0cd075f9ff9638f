package upstream

import (
	"strconv"
	"strings"
)

// attemptSeparator stands between the caller's request id and the number of a call to a worker.
const attemptSeparator = "."

// AttemptID returns the request id of one call to a worker. Each call has an id of its own, because a worker that was told
// to cancel one refuses it for a while. serial must be new for every call of a gateway.
func AttemptID(callerID string, serial uint64) string {
	return callerID + attemptSeparator + strconv.FormatUint(serial, 36)
}

// CallerID returns the caller's request id in an attempt id. All calls for one request have the same.
func CallerID(attemptID string) string {
	if i := strings.LastIndex(attemptID, attemptSeparator); i >= 0 {
		return attemptID[:i]
	}
	return attemptID
}
