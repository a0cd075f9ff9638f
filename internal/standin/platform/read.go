package platform

import (
	"context"
	"time"

	api "clementinewalk.example/clementinewalk/internal/platform"
)

// maxPageRecords is the largest number of records in one page.
const maxPageRecords = 10000

// Read implements platform.Log. Offset 0 does not exist and is answered like an offset below the retained range.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (api.Page, error) {
	waitCtx, stopWaiting := context.WithTimeout(ctx, wait)
	defer stopWaiting()
	if err := sleep(ctx, l.readDelay(name)); err != nil {
		return api.Page{}, &api.UnavailableError{Op: "read", Err: err}
	}
	for {
		p, appended, faultsChanged, err := l.tryRead(name, from, limit)
		if err != nil || len(p.Records) > 0 || wait <= 0 {
			return p, err
		}
		select {
		case <-appended:
		case <-faultsChanged:
		case <-waitCtx.Done():
			if ctx.Err() != nil {
				return api.Page{}, &api.UnavailableError{Op: "read", Err: ctx.Err()}
			}
			wait = 0
		}
	}
}

// readDelay returns the injected delay of reads of a stream.
func (l *Log) readDelay(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.faults.targets(name) {
		return 0
	}
	return time.Duration(l.faults.DelayMS) * time.Millisecond
}

// tryRead reads without waiting. It returns a page and the channels that are closed at the next append and the next
// change of the faults, after which another call can give a different result.
func (l *Log) tryRead(
	name string, from uint64, limit int,
) (p api.Page, appended, faultsChanged <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.downFor(name, true) {
		l.stats.Failed++
		return p, nil, nil, &api.UnavailableError{Op: "read", Err: &DownError{Part: "log"}}
	}
	s, err := l.stream(name)
	if err != nil {
		return p, nil, nil, err
	}
	l.expire(s)
	l.stats.Reads++
	s.stats.Reads++
	p = api.Page{First: from, Oldest: s.oldest, End: s.nextOffset()}
	if from < s.oldest {
		return p, nil, nil, &api.RetentionError{Oldest: s.oldest}
	}
	if from < p.End {
		p.Records = s.page(from, limit)
	}
	return p, s.appended, l.faultsChanged, nil
}

// page returns up to limit records from an offset on and up to api.MaxPageBytes bytes, but one record at least.
func (s *stream) page(from uint64, limit int) [][]byte {
	if limit <= 0 || limit > maxPageRecords {
		limit = maxPageRecords
	}
	var out [][]byte
	size := 0
	for _, e := range s.entries[from-s.oldest:] {
		if len(out) == limit || (len(out) > 0 && size+len(e.data) > api.MaxPageBytes) {
			break
		}
		out = append(out, e.data)
		size += len(e.data)
	}
	s.stats.BytesOut += int64(size)
	return out
}
