package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Limits and times of the store, as in the settings of the site.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	answerTime   = 4 * time.Millisecond
	newestKeys   = 500
	newestBytes  = 1 << 20
	lastAppends  = 5
	longestReadS = 30
)

// store is the platform's metadata store: a log of topics with one partition each, held in memory. It expires nothing,
// because a case is shorter than the time for which records are kept.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// down makes the store leave every call unanswered, without effect.
	down atomic.Bool
	// slowness is the factor by which answers take longer; 0 or 1 for none.
	slowness atomic.Int64
	// refusedRecords counts the records that were refused because they are longer than recordBytes.
	refusedRecords atomic.Int64
}

type topic struct {
	records   [][]byte
	newest    map[string]int64
	producers map[string]*producer
	changed   chan struct{}
}

// producer is the state of one producer in one partition.
type producer struct {
	epoch, seq int64
	appends    []appended
}

type appended struct{ seq, offset, end int64 }

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, which is created on first use. It requires s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put appends one keyed record on behalf of the operator or a worker; no value removes the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// add appends records. It requires the lock of the store.
func (t *topic) add(records [][]byte) {
	for _, r := range records {
		key := string(r[1 : 1+int(r[0])])
		if len(r) == 1+len(key) {
			delete(t.newest, key)
		} else {
			t.newest[key] = int64(len(t.records))
		}
		t.records = append(t.records, r)
	}
	if len(records) > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.down.Load() {
		<-r.Context().Done()
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r, body)
	case "GET /api/log-read":
		s.read(w, r)
	case "GET /api/log-newest":
		s.readNewest(w, r)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

// takeTime waits for as long as an answer takes.
func (s *store) takeTime() { time.Sleep(answerTime * time.Duration(max(1, s.slowness.Load()))) }

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	var records [][]byte
	if len(body) > callBytes {
		s.refusedRecords.Add(1)
		reply(w, http.StatusRequestEntityTooLarge, map[string]any{"reason": "call_bytes"})
		return
	}
	for rest := body; len(rest) > 0; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes {
			s.refusedRecords.Add(1)
			reply(w, http.StatusRequestEntityTooLarge, map[string]any{"reason": "record_bytes"})
			return
		}
		records, rest = append(records, rest[4:4+n]), rest[4+n:]
	}
	s.takeTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	offset := int64(len(t.records))
	end := offset + int64(len(records))
	if name := r.URL.Query().Get("producer"); name != "" {
		p := t.producers[name]
		if p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		epoch, seq := number(r, "epoch"), number(r, "seq")
		switch {
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > p.epoch:
			p.epoch, p.seq, p.appends = epoch, seq-1, nil
		}
		for _, a := range p.appends {
			if a.seq == seq {
				reply(w, http.StatusOK, map[string]any{"offset": a.offset, "end": a.end})
				return
			}
		}
		if seq != p.seq+1 {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
			return
		}
		p.seq = seq
		p.appends = append(p.appends, appended{seq, offset, end})
		p.appends = p.appends[max(0, len(p.appends)-lastAppends):]
	}
	t.add(records)
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, limit := number(r, "from"), int64(1<<20)
	if kb := number(r, "max_kb"); kb > 0 {
		limit = min(limit, kb<<10)
	}
	timeout := time.After(time.Duration(min(number(r, "wait_ms"), longestReadS*1000)) * time.Millisecond)
	for waited := false; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed := int64(len(t.records)), t.changed
		if from < end || waited {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for i := from; i < end && (i == from || int64(len(b)) < limit); i++ {
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(t.records[i]))), t.records[i]...)
			}
			s.mu.Unlock()
			s.takeTime()
			_, _ = w.Write(b)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			return
		}
		if s.down.Load() {
			<-r.Context().Done()
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size := []map[string]any{}, 0
	for _, k := range keys {
		record := t.records[t.newest[k]]
		if len(items) == newestKeys || len(items) > 0 && size+len(record) > newestBytes {
			break
		}
		size += len(record)
		items = append(items, map[string]any{"key": k, "offset": t.newest[k],
			"value": base64.StdEncoding.EncodeToString(record[1+len(k):])})
	}
	end := len(t.records)
	s.mu.Unlock()
	s.takeTime()
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": len(items) < len(keys), "end": end})
}
