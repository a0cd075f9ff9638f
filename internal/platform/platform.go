// Package platform defines the interfaces of the platform's log service and instance list, and provides HTTP clients
// for them.
package platform

import (
	"context"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Page is the answer to one read of a stream.
type Page struct {
	// Records holds the payloads of the records at consecutive offsets from First on.
	Records [][]byte `cbor:"1,keyasint,omitempty"`
	First   uint64   `cbor:"2,keyasint"`
	// Oldest is the oldest offset that the log still keeps, End the offset that the next appended record gets.
	Oldest uint64 `cbor:"3,keyasint"`
	End    uint64 `cbor:"4,keyasint"`
}

// Log is the platform's append-only log service. Offsets of a stream start at 1 and have no gaps; the records of
// one append get consecutive offsets. Implementations return *UnavailableError if the service cannot be reached or the
// outcome of an append is unknown, *RateLimitedError if an append was refused because of the rate limit, and
// *RetentionError if the requested offset is older than the oldest one kept.
type Log interface {
	// Append adds records to a stream and returns the offset of the first one.
	Append(ctx context.Context, stream string, records [][]byte) (first uint64, err error)
	// Read returns records from an offset on. If there are none, it waits up to wait for the next append.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error)
}

// List is the platform's instance list. Reads may return an outdated list.
type List interface {
	// Members returns the instances with the given roles, or all of them if no role is given.
	Members(ctx context.Context, roles ...instance.Role) ([]instance.Member, error)
	// Register adds or refreshes the entry of one instance. The platform removes an entry that is not refreshed.
	Register(ctx context.Context, m instance.Member) error
	// Deregister removes the entry of one incarnation of an instance.
	Deregister(ctx context.Context, id instance.ID, inc instance.Incarnation) error
}
