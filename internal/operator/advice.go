package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io/fs"
	"net/http"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/keys"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
)

// The exit codes of the program.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitConflict
	exitTimeout
	exitNotFound
)

// withExitStatus is implemented by the errors of this package. exitStatus returns the exit code and a text that says
// what the operator can do next.
type withExitStatus interface {
	error
	exitStatus() (code int, next string)
}

func (e *SubmitUnknownError) exitStatus() (int, string) {
	return exitTimeout, "run the command jobs to see whether the job exists, or repeat with --key " + e.Key
}

func (e *WaitError) exitStatus() (int, string) {
	return exitTimeout,
		"run the command instances to see their versions; each applies this one once it can read the log"
}

func (e *KindError) exitStatus() (int, string) {
	return exitNotFound, "publish a manifest with this kind, or name another kind"
}

func (e *NoVersionError) exitStatus() (int, string) {
	return exitNotFound, "publish a manifest"
}

func (e *NotFoundError) exitStatus() (int, string) {
	return exitNotFound, "run the command jobs, workers or instances to list what exists"
}

func (e *NoGatewayError) exitStatus() (int, string) {
	return exitFailure, "name a gateway with --gateway, or run the command instances to list the gateways"
}

func (e *ReconcileError) exitStatus() (int, string) {
	return exitFailure, "report this as a fault of the program; the costs of the shard are not reliable"
}

func (e *RefusedError) exitStatus() (int, string) {
	if e.Status == http.StatusConflict {
		return exitConflict, "check the current state before you repeat the command"
	}
	return exitFailure, "correct the problem that the gateway reports"
}

func (e *GatewayError) exitStatus() (int, string) {
	var cause withExitStatus
	if errors.As(e.Err, &cause) {
		return cause.exitStatus()
	}
	return failureCode(e.Err), "repeat the command, or name another gateway with --gateway"
}

// classify returns the exit code of an error and a text that says what the operator can do next. The text is empty for
// an unknown error.
func classify(err error) (code int, next string) {
	var statusErr withExitStatus
	if errors.As(err, &statusErr) {
		return statusErr.exitStatus()
	}
	for _, f := range []func(error) (int, string){classifySettings, classifyConfig, classifyKeys} {
		if code, next := f(err); code != exitOK {
			return code, next
		}
	}
	var (
		unavailable *platform.UnavailableError
		rateLimited *platform.RateLimitedError
	)
	if errors.As(err, &rateLimited) || errors.As(err, &unavailable) {
		return failureCode(err), "repeat the command when the platform at --platform answers"
	}
	return failureCode(err), ""
}

func classifySettings(err error) (int, string) {
	var setting *process.SettingError
	switch {
	case errors.As(err, &setting):
		return exitUsage, "correct the setting; see --help"
	case errors.Is(err, fs.ErrExist), errors.Is(err, fs.ErrNotExist), errors.Is(err, fs.ErrPermission):
		return exitFailure, "check the path; for keys, the command keys init creates an authority"
	}
	return exitOK, ""
}

func classifyConfig(err error) (int, string) {
	var (
		parse     *manifest.ParseError
		immutable *manifest.ImmutableError
		conflict  *config.ConflictError
		expired   *config.ExpiredError
		unknown   *config.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &parse):
		return exitFailure, "correct the lines; docs/manifest.md describes the format"
	case errors.As(err, &immutable):
		return exitFailure, "keep the old value, or set up a new deployment with an empty log"
	case errors.As(err, &conflict):
		return exitConflict, fmt.Sprintf("compare your manifest with version %d (diff FILE), then publish again",
			conflict.InForce)
	case errors.As(err, &expired):
		return exitConflict, "run the command instances to see the version in force, and repeat with --replaces VERSION"
	case errors.As(err, &unknown):
		return exitTimeout, "run the command history to see whether it was accepted before you publish again"
	}
	return exitOK, ""
}

func classifyKeys(err error) (int, string) {
	var (
		name     *keys.NameError
		validity *keys.ValidityError
		exists   *keys.ExistsError
		file     *keys.FileError
	)
	switch {
	case errors.As(err, &name), errors.As(err, &validity):
		return exitUsage, "correct the argument; see --help"
	case errors.As(err, &exists):
		return exitFailure, "use the authority that exists, or name another directory with --dir"
	case errors.As(err, &file):
		return exitFailure, "check the file, or create an authority with the command keys init"
	}
	return exitOK, ""
}

// failureCode returns exitTimeout for an expired deadline and exitFailure otherwise.
func failureCode(err error) int {
	if errors.Is(err, context.DeadlineExceeded) {
		return exitTimeout
	}
	return exitFailure
}

// reportError prints an error and what the operator can do next, and returns the exit code.
func reportError(cli *CLI, w Streams, err error) int {
	code, next := classify(err)
	if cli.Output == "json" {
		_ = json.NewEncoder(w.Err).Encode(errorResult{Error: err.Error(), Next: next, Code: code,
			Problems: problemsOf(err)})
		return code
	}
	fmt.Fprintf(w.Err, "%s: %v\n", Name, err)
	if next != "" {
		fmt.Fprintf(w.Err, "Next: %s.\n", next)
	}
	return code
}

// errorResult is an error in JSON output.
type errorResult struct {
	Error    string             `json:"error"`
	Next     string             `json:"next,omitempty"`
	Code     int                `json:"code"`
	Problems []manifest.Problem `json:"problems,omitempty"`
}

// problemsOf returns the problems of a manifest, if err reports any.
func problemsOf(err error) []manifest.Problem {
	var parse *manifest.ParseError
	if errors.As(err, &parse) {
		return parse.Problems
	}
	return nil
}
