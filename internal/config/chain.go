package config

import (
	"fmt"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

// Outcome tells what a reader did with one record of the config stream.
type Outcome string

// The outcomes. They are the same at every reader, except for OutcomeUnreadable and OutcomeSkipped, which depend on
// the formats that the reader's build knows.
const (
	// OutcomeAccepted publications are part of the chain and in force until the next one.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeSkipped publications are part of the chain, but their manifest cannot be parsed. The version before stays in
	// force.
	OutcomeSkipped Outcome = "skipped"
	// OutcomeConflict publications name a predecessor that another publication replaced first.
	OutcomeConflict   Outcome = "conflict"
	OutcomeDuplicate  Outcome = "duplicate"
	OutcomeUnreadable Outcome = "unreadable"
)

// Chain decides which publications of the config stream are in force. It holds no clock, network or goroutine.
//
// A publication joins the chain if it replaces the newest one in the chain. Whether its manifest parses does not matter for
// that, so that readers of different builds agree on the chain and on every later conflict.
//
// A reader that starts behind offset 1 cannot know the chain before its first offset. Publishers name only versions
// that were in the chain, so the first publication that names the greatest unknown predecessor is the true one: every other
// one lost against it or against an earlier publication.
type Chain struct {
	base uint64
	head uint64
	// root is the predecessor of the chain's first publication that was read, noRoot before that.
	root int64
	seen map[contract.RecordID]uint64
	// forgotten is the offset below which seen holds no ids.
	forgotten uint64
	version   *Version
}

const noRoot = -1

// NewChain returns an empty chain whose first record has the offset base.
func NewChain(base uint64) *Chain {
	return &Chain{base: base, root: noRoot, seen: map[contract.RecordID]uint64{}}
}

// Head returns the offset of the newest publication in the chain, which the next one has to replace; zero if there is none.
func (c *Chain) Head() uint64 { return c.head }

// Version returns the newest publication of the chain whose manifest could be parsed, or nil.
func (c *Chain) Version() *Version { return c.version }

// Restart continues at the oldest kept offset after records were lost. What is known of the chain stays.
func (c *Chain) Restart(oldest uint64) {
	c.base = oldest
	if c.head > 0 {
		c.root = int64(c.head)
	}
	c.Forget(oldest)
}

// Forget drops the record ids below the oldest kept offset.
func (c *Chain) Forget(oldest uint64) {
	if oldest <= c.forgotten {
		return
	}
	c.forgotten = oldest
	for id, offset := range c.seen {
		if offset < oldest {
			delete(c.seen, id)
		}
	}
}

// Adopt takes a version from a peer that is older than every record kept. It has no effect if the chain has a head.
func (c *Chain) Adopt(v *Version) {
	if c.head == 0 && v.Offset < c.base {
		c.head, c.root, c.version = v.Offset, int64(v.Offset), v
	}
}

// Entry is one record of the config stream and its outcome.
type Entry struct {
	Offset      uint64
	ID          contract.RecordID
	Publication *contract.Publish
	Outcome     Outcome
	// Err is the reason of OutcomeSkipped and OutcomeUnreadable.
	Err error
}

// Apply consumes the record at offset. Records are given in order of offsets.
func (c *Chain) Apply(offset uint64, data []byte) Entry {
	r, body, err := contract.DecodeRecord(data)
	e := Entry{Offset: offset, ID: r.ID, Outcome: OutcomeUnreadable, Err: err}
	p, ok := body.(*contract.Publish)
	if err != nil || !ok {
		return e
	}
	e.Publication = p
	if _, again := c.seen[r.ID]; again {
		e.Outcome = OutcomeDuplicate
		return e
	}
	c.seen[r.ID] = offset
	if !c.follows(p.Replaces) {
		e.Outcome = OutcomeConflict
		return e
	}
	if p.Replaces < c.base {
		c.root = int64(p.Replaces)
	}
	c.head = offset
	m, err := manifest.Parse(versionName(offset), p.Manifest)
	if err != nil {
		e.Outcome, e.Err = OutcomeSkipped, err
		return e
	}
	c.version = &Version{Offset: offset, Manifest: m, Raw: p.Manifest, Published: p.At}
	e.Outcome = OutcomeAccepted
	return e
}

func (c *Chain) follows(replaces uint64) bool {
	if c.head > 0 && replaces == c.head {
		return true
	}
	return replaces < c.base && int64(replaces) > c.root
}

func versionName(offset uint64) string { return fmt.Sprintf("version %d", offset) }
