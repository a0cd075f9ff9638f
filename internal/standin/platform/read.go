package platform

import (
	"context"
	"time"

	api "clementinewalk.example/clementinewalk/internal/platform"
)

// maxPageRecords bounds the records of one page.
const maxPageRecords = 10000

// Read implements platform.Log. An offset of zero is treated as one that is no longer kept.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (api.Page, error) {
	deadline := time.NewTimer(max(0, wait))
	defer deadline.Stop()
	if err := sleep(ctx, l.readDelay(name)); err != nil {
		return api.Page{}, &api.UnavailableError{Op: "read", Err: err}
	}
	for {
		p, changed, faults, err := l.readNow(name, from, limit)
		if err != nil || len(p.Records) > 0 || wait <= 0 {
			return p, err
		}
		select {
		case <-changed:
		case <-faults:
		case <-deadline.C:
			wait = 0
		case <-ctx.Done():
			return api.Page{}, &api.UnavailableError{Op: "read", Err: ctx.Err()}
		}
	}
}

func (l *Log) readDelay(name string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.faults.covers(name) {
		return 0
	}
	return time.Duration(l.faults.DelayMS) * time.Millisecond
}

// readNow returns a page and the channels that are closed when a repeated call can give another result.
func (l *Log) readNow(name string, from uint64, limit int) (p api.Page, appended, faults <-chan struct{}, err error) {
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
	p = api.Page{First: from, Oldest: s.oldest, End: s.end()}
	if from < s.oldest {
		return p, nil, nil, &api.RetentionError{Oldest: s.oldest}
	}
	if from < p.End {
		p.Records = s.page(from, limit)
	}
	return p, s.appended, l.faultsChanged, nil
}

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
