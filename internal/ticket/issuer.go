// Package ticket issues tickets for non-idempotent requests and records the use of each, so that a request runs at most
// once even if its caller repeats it. It uses no clock, network or goroutine.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"sync/atomic"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const (
	formatVersion = 1
	headerBytes   = 1 + 8 + 8
	// macBytes is the length of the truncated HMAC. 16 bytes cannot be guessed within the lifetime of a ticket.
	macBytes            = 16
	maxIncarnationBytes = 64
	// maxTextBytes limits the text that parse decodes.
	maxTextBytes = 4 * (headerBytes + maxIncarnationBytes + macBytes + 2) / 3
	// DefaultLifetime is how long a ticket can be used.
	DefaultLifetime = 10 * time.Minute
)

// Ticket is the content of a ticket. Only the incarnation that issued it can verify its HMAC.
type Ticket struct {
	Incarnation instance.Incarnation
	Serial      uint64
	Expiry      time.Time
}

// MalformedError reports a text that is not a ticket.
type MalformedError struct{ Detail string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed ticket: " + e.Detail }

// ForeignError reports a ticket that another gateway incarnation issued.
type ForeignError struct{ Ticket Ticket }

// Error implements error.
func (e *ForeignError) Error() string {
	return "ticket was issued by the incarnation " + string(e.Ticket.Incarnation)
}

// ForgedError reports a ticket whose HMAC is wrong.
type ForgedError struct{ Ticket Ticket }

// Error implements error.
func (e *ForgedError) Error() string { return "ticket has a wrong seal" }

// ExpiredError reports a ticket that was issued here and has expired.
type ExpiredError struct{ Ticket Ticket }

// Error implements error.
func (e *ExpiredError) Error() string {
	return "ticket expired at " + e.Ticket.Expiry.UTC().Format(time.RFC3339)
}

// Issuer issues and verifies the tickets of one gateway incarnation. It is safe for concurrent use.
type Issuer struct {
	incarnation instance.Incarnation
	key         []byte
	lifetime    time.Duration
	serial      atomic.Uint64
}

// NewIssuer returns an issuer. key must be random and secret; lifetime is how long a ticket can be used.
func NewIssuer(incarnation instance.Incarnation, key []byte, lifetime time.Duration) *Issuer {
	return &Issuer{incarnation: incarnation, key: key, lifetime: lifetime}
}

// Issue returns a new ticket as text.
func (i *Issuer) Issue(now time.Time) string {
	b := make([]byte, headerBytes, headerBytes+len(i.incarnation)+macBytes)
	b[0] = formatVersion
	binary.BigEndian.PutUint64(b[1:], i.serial.Add(1))
	binary.BigEndian.PutUint64(b[9:], uint64(now.Add(i.lifetime).UnixMilli()))
	b = append(b, i.incarnation...)
	return base64.RawURLEncoding.EncodeToString(append(b, i.sign(b)...))
}

func (i *Issuer) sign(b []byte) []byte {
	h := hmac.New(sha256.New, i.key)
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}

// Open decodes and verifies a ticket. It returns *MalformedError, *ForeignError, *ForgedError or *ExpiredError.
func (i *Issuer) Open(now time.Time, text string) (Ticket, error) {
	t, b, mac, err := parse(text)
	switch {
	case err != nil:
		return Ticket{}, err
	case t.Incarnation != i.incarnation:
		return t, &ForeignError{Ticket: t}
	case !hmac.Equal(mac, i.sign(b)):
		return t, &ForgedError{Ticket: t}
	case !now.Before(t.Expiry):
		return t, &ExpiredError{Ticket: t}
	}
	return t, nil
}

func parse(text string) (t Ticket, content, mac []byte, err error) {
	if len(text) > maxTextBytes {
		return t, nil, nil, &MalformedError{Detail: "too long"}
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return t, nil, nil, &MalformedError{Detail: err.Error()}
	}
	if len(b) <= headerBytes+macBytes || b[0] != formatVersion {
		return t, nil, nil, &MalformedError{Detail: "wrong length or version"}
	}
	content, mac = b[:len(b)-macBytes], b[len(b)-macBytes:]
	return Ticket{Serial: binary.BigEndian.Uint64(b[1:]), Expiry: time.UnixMilli(int64(binary.BigEndian.Uint64(b[9:]))),
		Incarnation: instance.Incarnation(content[headerBytes:])}, content, mac, nil
}
