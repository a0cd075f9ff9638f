package catalog

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/backlog"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// backlogKey is the key of the owner's summary of its backlog in the progress topic. An instance without this key takes it
// for the id of a submission; the summary is a map, which it cannot decode as a record and ignores.
const backlogKey = "backlog"

// BacklogEntry returns the entry with a summary of the owner's backlog. The classes with the least work are left out of a
// summary that would be too long. Its error is a *workflow.EncodeError.
func BacklogEntry(s *backlog.Summary) (eventlog.Entry, error) {
	for {
		b, err := workflow.Encode("backlog", s)
		if err != nil || len(b) <= backlog.MaxBytes || !s.DropSmallest() {
			return eventlog.Entry{Key: backlogKey, Value: b}, err
		}
	}
}

// publishedBacklog is the newest summary that was read, nil if there is none.
type publishedBacklog struct {
	summary *backlog.Summary
	// storedAfter is a time before which it was not stored; 0 if unknown.
	storedAfter time.Duration
	unreadable  bool
}

// applyBacklog applies the owner's summary. It requires c.mu.
func (c *Catalog) applyBacklog(e eventlog.Entry) {
	p := &c.backlog
	if e.Value == nil {
		p.summary = nil
		return
	}
	s := &backlog.Summary{}
	if err := workflow.Decode("backlog", e.Value, s); err != nil || !s.Valid() {
		if !p.unreadable {
			c.logger.Error("cannot use summary of the backlog, admitting all submissions", "offset", e.Offset, "error", err)
		}
		p.summary, p.unreadable = nil, true
		return
	}
	p.unreadable = false
	// The owner applies its own summaries at once, and reads them again later.
	if p.summary == nil || s.Newer(p.summary) {
		p.summary, p.storedAfter = s, c.progressAsOf
	}
}

// ProgressRead notes the time up to which the progress topic was read, after what was read has been applied.
func (c *Catalog) ProgressRead(asOf time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progressAsOf = max(c.progressAsOf, asOf)
}

// Backlog returns the newest summary of the owner's backlog, which must not be changed, and a time before which it was not stored.
// It returns nil if there is none or the time is unknown, as with one that was found by the first read.
func (c *Catalog) Backlog() (*backlog.Summary, time.Duration) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.backlog.storedAfter == 0 {
		return nil, 0
	}
	return c.backlog.summary, c.backlog.storedAfter
}
