package manifest

import (
	"fmt"
	"strings"
)

// Problem is one problem of a manifest.
type Problem struct {
	// Line is the line in the YAML text, starting at 1.
	Line int `json:"line"`
	// Path names the field, for example kinds[2].size.cores; empty for the whole document.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns "line 12: kinds[2].size.cores: message".
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Message)
}

// ParseError reports a manifest that is not valid. It lists the problems by line.
type ParseError struct {
	// Name identifies the manifest, for example a file name.
	Name     string
	Problems []Problem
}

// Error implements error.
func (e *ParseError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("manifest %s has %d problem(s)", e.Name, len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n  ")
}

// ImmutableError reports a change of a field that must keep its value while a deployment runs.
type ImmutableError struct {
	Path string
	Old  string
	New  string
	// Reason is why the field must not change.
	Reason string
}

// Error implements error.
func (e *ImmutableError) Error() string {
	return fmt.Sprintf("field %s must not change from %s to %s: %s", e.Path, e.Old, e.New, e.Reason)
}
