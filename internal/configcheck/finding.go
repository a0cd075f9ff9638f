// Package configcheck finds the faults of a configuration of queues and pools before it is published: what cannot be decoded,
// entries that never match, limits that contradict each other, and the differences from the version in force. It has no
// clock, network or goroutines. Its load is one text of at most MaxBytes at a time.
package configcheck

import "fmt"

// Severity tells whether a finding must keep the configuration from being published.
type Severity string

// The severities. An error is a fault whatever the operator intends; a warning may be intended.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Rule identifies the check that a finding comes from.
type Rule string

// The rules.
const (
	// RuleSyntax: the text is not JSON, too long or nested too deep.
	RuleSyntax Rule = "syntax"
	// RuleType: a value has another type than its field.
	RuleType Rule = "type"
	// RuleRepeated: a field or a name is given twice, and only one of them counts.
	RuleRepeated Rule = "repeated"
	// RuleUnknown: no instance reads the field.
	RuleUnknown Rule = "unknown-field"
	// RuleMissing: a field is missing or empty.
	RuleMissing Rule = "missing"
	// RuleNeverMatches: no request, or only an unusual one, is accepted by the entry.
	RuleNeverMatches Rule = "never-matches"
	// RulePool: a pool is not configured or has no workers.
	RulePool Rule = "pool"
	// RuleUnused: no other entry uses the entry.
	RuleUnused Rule = "unused"
	// RuleLimits: limits are out of range or contradict each other.
	RuleLimits Rule = "limits"
	// RuleVersion: no instance would put the version in force.
	RuleVersion Rule = "version"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	// Line is the line in the text, starting at 1.
	Line int `json:"line"`
	// Path names the field, for example routes[2].service; empty for the whole text.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns "line 12: routes[2].service: message".
func (f Finding) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d: %s", f.Line, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message)
}

// Change is one value that differs between two configurations. Old or New is empty if the field exists in one of them only.
type Change struct {
	// Path names the field. Entries of lists are identified by name where it is unique, for example routes[till].priority.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Report is the result of a check.
type Report struct {
	Findings []Finding `json:"findings"`
	// Compared is set if the configuration was compared with the one in force, of which InForce is the version; 0 if there
	// is none.
	Compared bool     `json:"compared"`
	InForce  int64    `json:"in_force,omitempty"`
	Changes  []Change `json:"changes,omitempty"`
}

// Errors returns the number of findings that are errors.
func (r *Report) Errors() int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == Error {
			n++
		}
	}
	return n
}

// Running is what the log holds while the system runs.
type Running struct {
	// Text is the configuration in force, nil if there is none; Version is its version.
	Text    []byte
	Version int64
	// Workers is the number of listed workers of each pool.
	Workers map[string]int
}
