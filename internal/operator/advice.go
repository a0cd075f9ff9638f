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

// The exit codes.
const (
	exitOK = iota
	exitFailure
	exitUsage
	exitConflict
	exitTimeout
	exitNotFound
)

// advised is implemented by the errors of this package. advice returns the exit code and what the operator can do next.
type advised interface {
	error
	advice() (code int, next string)
}

func (e *SubmitUnknownError) advice() (int, string) {
	return exitTimeout, "see with the command jobs whether it exists, or repeat with --key " + e.Key
}

func (e *WaitError) advice() (int, string) {
	return exitTimeout, "see the state of the instances with the command instances; they take the version as soon as they can read the log"
}

func (e *KindError) advice() (int, string) {
	return exitNotFound, "publish a manifest with this kind, or name another kind"
}

func (e *NoVersionError) advice() (int, string) {
	return exitNotFound, "publish a manifest"
}

func (e *NotFoundError) advice() (int, string) {
	return exitNotFound, "list what exists with the commands jobs, workers or instances"
}

func (e *NoGatewayError) advice() (int, string) {
	return exitFailure, "name a gateway with --gateway, or see the command instances"
}

func (e *ReconcileError) advice() (int, string) {
	return exitFailure, "report this fault; the amounts of the shard cannot be relied on"
}

func (e *RefusedError) advice() (int, string) {
	if e.Status == http.StatusConflict {
		return exitConflict, "look at the present state and decide again"
	}
	return exitFailure, "correct what the answer names"
}

func (e *GatewayError) advice() (int, string) {
	var cause advised
	if errors.As(e.Err, &cause) {
		return cause.advice()
	}
	return orTimeout(e.Err), "repeat the command, or name another gateway with --gateway"
}

// classify returns the exit code of an error and what the operator can do next.
func classify(err error) (code int, next string) {
	var own advised
	if errors.As(err, &own) {
		return own.advice()
	}
	for _, f := range []func(error) (int, string){classifySettings, classifyConfig, classifyKeys} {
		if code, next := f(err); code != exitOK {
			return code, next
		}
	}
	var (
		down    *platform.UnavailableError
		limited *platform.RateLimitedError
	)
	if errors.As(err, &limited) || errors.As(err, &down) {
		return orTimeout(err), "repeat the command when the platform at --platform answers"
	}
	return orTimeout(err), ""
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
		parse    *manifest.ParseError
		fixed    *manifest.ImmutableError
		conflict *config.ConflictError
		expired  *config.ExpiredError
		unknown  *config.UnknownOutcomeError
	)
	switch {
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
