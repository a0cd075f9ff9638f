package process

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// Guards against log lines that contain the stack trace of a wrapped error.
func TestErrorsAreLoggedInOneLine(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		var out bytes.Buffer
		LogSettings{LogFormat: format}.NewLogger(&out).Error("call failed",
			"error", errors.WithStack(&StopError{Component: "link"}))
		require.Contains(t, out.String(), "link was still busy 0s after the stop began")
		require.NotContains(t, out.String(), "process.TestErrors")
	}
}
