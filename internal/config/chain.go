package config

import (
	"fmt"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

// Outcome is the result of applying one record of the config stream.
type Outcome string

// The outcomes. They are the same at every reader, except for OutcomeUnreadable and OutcomeSkipped, which depend on
// the formats that the reader's build knows.
const (
	// OutcomeAccepted is a publication that is part of the chain and active until the next accepted one.
	OutcomeAccepted Outcome = "accepted"
	// OutcomeSkipped is a publication that is part of the chain, but whose manifest cannot be parsed. The previous
	// version stays active.
	OutcomeSkipped Outcome = "skipped"
	// OutcomeConflict is a publication that does not replace the newest one in the chain, usually because another one
	// replaced it first.
	OutcomeConflict Outcome = "conflict"
	// OutcomeDuplicate is a record whose id was applied before.
	OutcomeDuplicate Outcome = "duplicate"
	// OutcomeUnreadable is a record that cannot be decoded or is not a publication.
	OutcomeUnreadable Outcome = "unreadable"
)

// Chain decides which publications of the config stream become active. It is a state machine without clock, network
// access or goroutines, and is not safe for concurrent use.
//
// A publication joins the chain if it replaces the newest one in the chain. This does not depend on whether its
// manifest parses, so that readers of different builds agree on the chain and on every later conflict.
//
// A reader that starts after offset 1 does not know the chain before its first offset. Publishers name only versions
// that were in the chain, so of the publications whose predecessor was not read, the first one with the greatest
// predecessor is part of the chain; all others conflicted with it or with an earlier publication.
type Chain struct {
	// base is the first offset that is read; records below it are unknown.
	base uint64
	// head is the offset of the newest publication in the chain, 0 if there is none.
	head uint64
	// root is the predecessor of the first publication of the chain that was read, noRoot before that.
	root int64
	// seen holds the offset at which each record id was first read.
	seen map[contract.RecordID]uint64
	// prunedBelow is the offset below which seen holds no ids.
	prunedBelow uint64
	// version is the newest publication whose manifest could be parsed.
	version *Version
}

// noRoot is the root of a chain without a publication.
const noRoot = -1

// NewChain returns an empty chain whose first record has the offset base.
func NewChain(base uint64) *Chain {
	return &Chain{base: base, root: noRoot, seen: map[contract.RecordID]uint64{}}
}

// Head returns the offset of the newest publication in the chain, which the next one has to replace. It returns zero if
// there is none.
func (c *Chain) Head() uint64 { return c.head }

// Version returns the newest publication of the chain whose manifest could be parsed, or nil.
func (c *Chain) Version() *Version { return c.version }

// Restart continues at the oldest retained offset after records were removed by retention before they were read. The
// head and the version of the chain do not change.
func (c *Chain) Restart(oldest uint64) {
	c.base = oldest
	if c.head > 0 {
		c.root = int64(c.head)
	}
	c.PruneIDs(oldest)
}

// PruneIDs removes the ids of records below the oldest retained offset.
func (c *Chain) PruneIDs(oldest uint64) {
	if oldest <= c.prunedBelow {
		return
	}
	c.prunedBelow = oldest
	for id, offset := range c.seen {
		if offset < oldest {
			delete(c.seen, id)
		}
	}
}

// InitHead makes v, a version from a peer, the head of the chain if the chain has no head and v is older than the first
// offset that is read. Otherwise it has no effect.
func (c *Chain) InitHead(v *Version) {
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
	// Err is the reason for OutcomeSkipped or OutcomeUnreadable. It may be nil for a record that is not a publication.
	Err error
}

// Apply applies the record at offset. The caller passes records in ascending order of offsets.
func (c *Chain) Apply(offset uint64, data []byte) Entry {
	r, body, err := contract.DecodeRecord(data)
	e := Entry{Offset: offset, ID: r.ID, Outcome: OutcomeUnreadable, Err: err}
	p, ok := body.(*contract.Publish)
	if err != nil || !ok {
		return e
	}
	e.Publication = p
	if _, duplicate := c.seen[r.ID]; duplicate {
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

// follows reports whether a publication that replaces the given version extends the chain.
func (c *Chain) follows(replaces uint64) bool {
	if c.head > 0 && replaces == c.head {
		return true
	}
	return replaces < c.base && int64(replaces) > c.root
}

func versionName(offset uint64) string { return fmt.Sprintf("version %d", offset) }
