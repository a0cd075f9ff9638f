package keys

import (
	"fmt"
	"time"
)

// FileError reports a file of a key directory that is missing or unusable.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("key file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause; errors.Is(err, fs.ErrNotExist) tells a missing file.
func (e *FileError) Unwrap() error { return e.Err }

// FormatError reports a file with unexpected content.
type FormatError struct{ Want string }

// Error implements error.
func (e *FormatError) Error() string { return "the file does not hold " + e.Want }

// ExistsError reports an authority that is already there.
type ExistsError struct{ Path string }

// Error implements error.
func (e *ExistsError) Error() string { return "authority key " + e.Path + " exists already" }

// NameError reports an instance id or role that cannot stand in a certificate.
type NameError struct {
	What  string
	Value string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("%s %q is not allowed: use 1 to 64 letters, digits, dots, dashes or underscores", e.What, e.Value)
}

// ValidityError reports a validity that is not positive.
type ValidityError struct{ Validity time.Duration }

// Error implements error.
func (e *ValidityError) Error() string {
	return fmt.Sprintf("validity %s is not allowed: it must be positive", e.Validity)
}

// Reason tells why a peer was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonMissing   Reason = "missing"
	ReasonExpired   Reason = "expired"
	ReasonUntrusted Reason = "untrusted"
	ReasonMalformed Reason = "malformed"
	ReasonRole      Reason = "wrong-role"
	ReasonAddress   Reason = "wrong-address"
)

// RefusedError reports a peer whose certificate was not accepted.
type RefusedError struct {
	Reason Reason
	// Peer is the identity that the certificate claims, if it can be read.
	Peer string
	// Detail names what was expected or found.
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("certificate of peer %q is refused (%s): %s", e.Peer, e.Reason, e.Detail)
}
