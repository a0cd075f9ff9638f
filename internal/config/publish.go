package config

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/platform"
)

// History holds the retained records of the config stream, with their outcomes.
type History struct {
	Chain   *Chain
	Entries []Entry
	// Oldest is the first offset that was read, Next the offset after the last one.
	Oldest, Next uint64
}

// ReadHistory reads the config stream from the oldest retained record to its end.
func ReadHistory(ctx context.Context, log platform.Log) (*History, error) {
	h := &History{Chain: NewChain(1), Oldest: 1, Next: 1}
	for {
		end, err := h.read(ctx, log, 0)
		var retention *platform.RetentionError
		if errors.As(err, &retention) {
			h = &History{Chain: NewChain(retention.Oldest), Oldest: retention.Oldest, Next: retention.Oldest}
			continue
		}
		if err != nil || h.Next >= end {
			return h, err
		}
	}
}

// read appends the next page of records and returns the end offset of the stream. wait is the time for which the log
// may hold the read open if there is no new record.
func (h *History) read(ctx context.Context, log platform.Log, wait time.Duration) (uint64, error) {
	p, err := log.Read(ctx, datacentre.ConfigStream, h.Next, pageLimit, wait)
	if err != nil {
		return 0, err
	}
	for i, data := range p.Records {
		e := h.Chain.Apply(p.First+uint64(i), data)
		h.Entries = append(h.Entries, e)
		h.Next = e.Offset + 1
	}
	return p.End, nil
}

// Proposal is a manifest that an operator wants to activate.
type Proposal struct {
	// Name identifies the manifest in errors, for example by its file name.
	Name     string
	Manifest []byte
	// Operator is the name that is stored with the publication.
	Operator string
	// Replaces is the version that the proposal is based on; nil stands for the newest one.
	Replaces *uint64
	// At is the time of publication by the publisher's clock.
	At time.Time
}

// Publish activates a manifest and returns its version. It returns *manifest.ParseError, *manifest.ImmutableError
// or *ExpiredError before anything is written, *ConflictError if another publication has replaced the predecessor
// first, and *UnknownOutcomeError if ctx ended before the log confirmed the record.
func Publish(ctx context.Context, log platform.Log, p Proposal) (uint64, error) {
	m, err := manifest.Parse(p.Name, p.Manifest)
	if err != nil {
		return 0, err
	}
	h, err := ReadHistory(ctx, log)
	if err != nil {
		return 0, err
	}
	head, err := h.predecessor(p.Replaces)
	if err != nil {
		return 0, err
	}
	if v := h.Chain.Version(); v != nil {
		if _, err := manifest.Diff(v.Manifest, m); err != nil {
			return 0, err
		}
	}
	id := contract.NewRecordID()
	data, err := contract.EncodeRecord(id, 0,
		&contract.Publish{Replaces: head, Manifest: p.Manifest, Operator: p.Operator, At: p.At})
	if err != nil {
		return 0, err
	}
	if _, err := platform.AppendUntil(ctx, log, datacentre.ConfigStream, [][]byte{data}); err != nil {
		var unavailable *platform.UnavailableError
		if errors.As(err, &unavailable) && unavailable.MayHaveApplied {
			return 0, &UnknownOutcomeError{Err: err}
		}
		return 0, err
	}
	return h.confirm(ctx, log, id, head)
}

// predecessor returns the version that a publication replaces. named is the one that the operator gave, or nil.
func (h *History) predecessor(named *uint64) (uint64, error) {
	head := h.Chain.Head()
	if head == 0 && h.Oldest > 1 {
		if named == nil || *named >= h.Oldest {
			return 0, &ExpiredError{Oldest: h.Oldest}
		}
		return *named, nil
	}
	if named != nil && *named != head {
		return 0, &ConflictError{Replaces: *named, InForce: head}
	}
	return head, nil
}

// confirm reads the stream until it finds the record id. Only the position of the record in the log decides whether it
// takes effect.
func (h *History) confirm(
	ctx context.Context, log platform.Log, id contract.RecordID, replaces uint64,
) (uint64, error) {
	for read := len(h.Entries); ; {
		for ; read < len(h.Entries); read++ {
			e := h.Entries[read]
			if e.ID != id {
				continue
			}
			if e.Outcome == OutcomeAccepted {
				return e.Offset, nil
			}
			return 0, &ConflictError{Replaces: replaces, InForce: h.Chain.Head()}
		}
		if _, err := h.read(ctx, log, pollWait); err != nil {
			var unavailable *platform.UnavailableError
			if !errors.As(err, &unavailable) || ctx.Err() != nil {
				return 0, &UnknownOutcomeError{Err: err}
			}
			sleep(ctx, retryInitialInterval)
		}
	}
}
