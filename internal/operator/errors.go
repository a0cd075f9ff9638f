package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
)

// The exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitConflict
	exitTimeout
	exitNotFound
)

// NoGatewayError reports that no gateway could be asked.
type NoGatewayError struct {
	// Tried holds the failure of each gateway; it is empty if no gateway is known.
	Tried []error
}

// Error implements error.
func (e *NoGatewayError) Error() string {
	if len(e.Tried) == 0 {
		return "the instance list has no live gateway"
	}
	causes := make([]string, len(e.Tried))
	for i, err := range e.Tried {
		causes[i] = err.Error()
	}
	return "no gateway answered: " + strings.Join(causes, "; ")
}

// GatewayError reports a failed call to one gateway.
type GatewayError struct {
	Gateway string
	Err     error
}

// Error implements error.
func (e *GatewayError) Error() string { return fmt.Sprintf("gateway %s: %v", e.Gateway, e.Err) }

// Unwrap returns the cause.
func (e *GatewayError) Unwrap() error { return e.Err }

// RefusedError reports a call that a gateway answered with an error status.
type RefusedError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the call was refused with status %d: %s", e.Status, e.Detail)
}

// NotFoundError reports a subject that the system does not know.
type NotFoundError struct{ What, Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s %q does not exist", e.What, e.Name) }

// SubmitUnknownError reports a submission without an answer. The job may have been accepted.
type SubmitUnknownError struct {
	Key string
	Err error
}

// Error implements error.
func (e *SubmitUnknownError) Error() string {
	return fmt.Sprintf("the submission was sent, but no answer arrived; the job may exist: %v", e.Err)
}

// Unwrap returns the cause.
func (e *SubmitUnknownError) Unwrap() error { return e.Err }

// WaitError names the instances that did not report a version in time.
type WaitError struct {
	Version uint64
	Waited  time.Duration
	// Missing holds one line for each instance. It is empty if the list named no live instance.
	Missing []string
}

// Error implements error.
func (e *WaitError) Error() string {
	if len(e.Missing) == 0 {
		return fmt.Sprintf("version %d is published, but after %s no live gateway or scheduler was listed and had answered", e.Version, e.Waited)
	}
	return fmt.Sprintf("version %d is published, but after %s these instances have not reported it:\n  %s", e.Version,
		e.Waited, strings.Join(e.Missing, "\n  "))
}

// ReconcileError reports a cost report whose sums do not agree.
type ReconcileError struct {
	Shard          string
	Report, Replay int64
}

// Error implements error.
func (e *ReconcileError) Error() string {
	return fmt.Sprintf("costs of shard %s do not agree: the report has %s, the replay of its jobs %s", e.Shard,
		manifest.FormatMoney(e.Report), manifest.FormatMoney(e.Replay))
}

// KindError reports a kind that cannot be submitted.
type KindError struct {
	Kind    string
	Allowed []string
}

// Error implements error.
func (e *KindError) Error() string {
	return fmt.Sprintf("%q is not a batch kind of the manifest in force; these are: %s", e.Kind, strings.Join(e.Allowed, ", "))
}

// NoVersionError reports that no manifest is in force.
type NoVersionError struct{}

// Error implements error.
func (e *NoVersionError) Error() string { return "no manifest is in force" }

// classify returns the exit code of an error and what the operator can do next.
func classify(err error) (code int, next string) {
	var (
		setting  *process.SettingError
		parse    *manifest.ParseError
		fixed    *manifest.ImmutableError
		conflict *config.ConflictError
		expired  *config.ExpiredError
		unknown  *config.UnknownOutcomeError
		submit   *SubmitUnknownError
		wait     *WaitError
		gateway  *NoGatewayError
		refused  *RefusedError
		missing  *NotFoundError
		version  *NoVersionError
		down     *platform.UnavailableError
		limited  *platform.RateLimitedError
		kind     *KindError
	)
	switch {
	case errors.As(err, &setting):
		return exitUsage, "correct the setting; see --help"
	case errors.As(err, &parse):
		return exitFailure, "correct the lines; docs/manifest.md describes the format"
	case errors.As(err, &fixed):
		return exitFailure, "keep the old value, or set up a new deployment with an empty log"
	case errors.As(err, &conflict):
		return exitConflict, fmt.Sprintf("compare your manifest with version %d (diff FILE), then publish again", conflict.InForce)
	case errors.As(err, &expired):
		return exitConflict, "read the version with the command instances and repeat with --replaces VERSION"
	case errors.As(err, &unknown):
		return exitTimeout, "see with the command history whether it is accepted before you publish again"
	case errors.As(err, &submit):
		return exitTimeout, "see with the command jobs whether it exists, or repeat with --key " + submit.Key
	case errors.As(err, &wait):
		return exitTimeout, "see the state of the instances with the command instances; they take the version as soon as they can read the log"
	case errors.As(err, &kind), errors.As(err, &version):
		return exitNotFound, "publish a manifest with this kind, or name another kind"
	case errors.As(err, &missing):
		return exitNotFound, "list what exists with the commands jobs, workers or instances"
	case errors.As(err, &gateway):
		return orTimeout(err), "name a gateway with --gateway, or see the command instances"
	case errors.As(err, &refused) && refused.Status == conflictStatus:
		return exitConflict, "look at the present state and decide again"
	case errors.As(err, &refused):
		return exitFailure, "correct what the answer names"
	case errors.As(err, &limited), errors.As(err, &down):
		return orTimeout(err), "repeat the command when the platform at --platform answers"
	case errors.Is(err, fs.ErrExist), errors.Is(err, fs.ErrNotExist):
		return exitFailure, "check the path"
	}
	return orTimeout(err), ""
}

func orTimeout(err error) int {
	if errors.Is(err, context.DeadlineExceeded) {
		return exitTimeout
	}
	return exitFailure
}

// reportError prints an error with the next step and returns the exit code.
func reportError(cli *CLI, w Streams, err error) int {
	code, next := classify(err)
	if cli.Output == "json" {
		_ = json.NewEncoder(w.Err).Encode(failure{Error: err.Error(), Next: next, Code: code, Problems: problemsOf(err)})
		return code
	}
	fmt.Fprintf(w.Err, "%s: %v\n", Name, err)
	if next != "" {
		fmt.Fprintf(w.Err, "Next: %s.\n", next)
	}
	return code
}

// failure is the JSON form of an error.
type failure struct {
	Error    string             `json:"error"`
	Next     string             `json:"next,omitempty"`
	Code     int                `json:"code"`
	Problems []manifest.Problem `json:"problems,omitempty"`
}

func problemsOf(err error) []manifest.Problem {
	var parse *manifest.ParseError
	if errors.As(err, &parse) {
		return parse.Problems
	}
	return nil
}
