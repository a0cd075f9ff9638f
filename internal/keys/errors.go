package keys

import (
	"fmt"
	"time"
)

// FileError reports a file of a key directory that is missing or cannot be used.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("key file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause. For a missing file it matches fs.ErrNotExist.
func (e *FileError) Unwrap() error { return e.Err }

// FormatError reports a file with unexpected content. Want describes the expected content.
type FormatError struct{ Want string }

// Error implements error.
func (e *FormatError) Error() string { return "the file does not hold " + e.Want }

// ExistsError reports that the authority to be created exists already. Path is the file of its key.
type ExistsError struct{ Path string }

// Error implements error.
func (e *ExistsError) Error() string { return "authority key " + e.Path + " exists already" }

// NameError reports an instance id or role that is not allowed in a certificate. What is "instance id" or "role".
type NameError struct {
	What  string
	Value string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("%s %q is not allowed: use 1 to 64 letters, digits, dots, dashes or underscores", e.What,
		e.Value)
}

// ValidityError reports a period of validity that is not positive.
type ValidityError struct{ Validity time.Duration }

// Error implements error.
func (e *ValidityError) Error() string {
	return fmt.Sprintf("validity %s is not allowed: it must be positive", e.Validity)
}

// Reason is why a certificate was refused. It is a label value of clementine_link_refused_peers_total.
type Reason string

// The reasons for which a certificate is refused.
const (
	// ReasonMissing is a peer that sent no certificate.
	ReasonMissing Reason = "missing"
	// ReasonExpired is a certificate outside its period of validity.
	ReasonExpired Reason = "expired"
	// ReasonUntrusted is a certificate that was not signed by the authority.
	ReasonUntrusted Reason = "untrusted"
	// ReasonMalformed is a certificate without exactly one valid identity, or with that of another instance.
	ReasonMalformed Reason = "malformed"
	// ReasonRole is a peer whose role is not allowed on the connection.
	ReasonRole Reason = "wrong-role"
	// ReasonAddress is a certificate that is not for the address that was called.
	ReasonAddress Reason = "wrong-address"
)

// RefusedError reports a certificate that was not accepted, of a peer or of the instance itself.
type RefusedError struct {
	Reason Reason
	// Peer is the identity in the certificate, empty if it cannot be read.
	Peer string
	// Detail describes what was expected or found.
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("certificate of peer %q is refused (%s): %s", e.Peer, e.Reason, e.Detail)
}
