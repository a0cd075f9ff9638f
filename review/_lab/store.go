package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as the settings file of a small deployment states them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 4 * time.Millisecond
)

// storeRecord is one record of a keyed topic. A record without a value removes its key.
type storeRecord struct {
	key   string
	value []byte
	raw   []byte
}

type producerState struct {
	epoch, last int64
	seqs        []int64
	offsets     []int64
	reasons     []int
}

type topic struct {
	records   []storeRecord
	newest    map[string]int
	producers map[string]*producerState
}

// store is a stand-in of the platform's metadata store: keyed topics with one partition, conditional on epoch and sequence
// number of a producer. It loses nothing that it has acknowledged.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	changed  chan struct{}
	tooLarge map[string]int
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{}), tooLarge: map[string]int{}}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producerState{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator or a worker does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), []storeRecord{newRecord(key, value)})
}

func newRecord(key string, value []byte) storeRecord {
	raw := append([]byte{byte(len(key))}, key...)
	return storeRecord{key: key, value: value, raw: append(raw, value...)}
}

func (s *store) add(t *topic, records []storeRecord) int64 {
	first := int64(len(t.records))
	for _, r := range records {
		t.newest[r.key] = len(t.records)
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// newestValue returns the newest value of a key.
func (s *store) newestValue(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if i, ok := t.newest[key]; ok {
		return t.records[i].value
	}
	return nil
}

// refusals returns how many appends were refused for their size, by topic.
func (s *store) refusals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for name, n := range s.tooLarge {
		out[name] = n
	}
	return out
}

func parseRecords(b []byte) ([]storeRecord, int, bool) {
	var out []storeRecord
	largest := 0
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, 0, false
		}
		n := int(binary.BigEndian.Uint32(b))
		if n < 1 || len(b) < 4+n || n < 1+int(b[4]) {
			return nil, 0, false
		}
		raw := append([]byte(nil), b[4:4+n]...)
		key := 1 + int(raw[0])
		r := storeRecord{key: string(raw[1:key]), raw: raw}
		if key < n {
			r.value = raw[key:]
		}
		out, largest, b = append(out, r), max(largest, n), b[4+n:]
	}
	return out, largest, true
}

// storeFaults are the faults of the path from one node to the store. Each requests function returns how a call is treated.
type storeFaults struct {
	mu sync.Mutex
	// mode is "" (sound), "busy" (503), "silent" (no answer) or "late" (appends are carried out 1 to 6 s later, unanswered).
	mode string
	// share of the appends that mode "late" concerns.
	share  float64
	random func() float64
}

func (f *storeFaults) set(mode string, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode, f.share = mode, share
}

func (f *storeFaults) get() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode, f.random == nil || f.random() < f.share
}

// serve serves the store on a listener of its own for one node.
func (s *store) serve(ln net.Listener, f *storeFaults) {
	mux := http.NewServeMux()
	guard := func(h http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			switch mode, _ := f.get(); mode {
			case "busy":
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			case "resets":
				if f.random() < 0.5 {
					panic(http.ErrAbortHandler)
				}
			case "silent":
				for {
					if m, _ := f.get(); m != "silent" || r.Context().Err() != nil {
						panic(http.ErrAbortHandler)
					}
					time.Sleep(20 * time.Millisecond)
				}
			}
			h(w, r)
		}
	}
	mux.HandleFunc("POST /api/log-append", guard(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if mode, hit := f.get(); mode == "late" && hit {
			q := r.URL.Query()
			go func() {
				time.Sleep(time.Duration(1000+5000*f.random()) * time.Millisecond)
				s.append(q.Get("topic"), q.Get("producer"), q.Get("epoch"), q.Get("seq"), body)
			}()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(appendTime)
		q := r.URL.Query()
		status, answer := s.append(q.Get("topic"), q.Get("producer"), q.Get("epoch"), q.Get("seq"), body)
		writeJSON(w, status, answer)
	}))
	mux.HandleFunc("GET /api/log-read", guard(s.read))
	mux.HandleFunc("GET /api/log-newest", guard(s.newestPage))
	_ = http.Serve(ln, mux)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// append carries out an append and returns its status and answer.
func (s *store) append(name, producer, epochText, seqText string, body []byte) (int, map[string]any) {
	if name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, map[string]any{}
	}
	records, largest, ok := parseRecords(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !ok || largest > recordBytes || len(body) > callBytes {
		if ok {
			s.tooLarge[name]++
		}
		return http.StatusBadRequest, map[string]any{"reason": "size"}
	}
	t := s.topic(name)
	if producer != "" {
		epoch, _ := strconv.ParseInt(epochText, 10, 64)
		seq, _ := strconv.ParseInt(seqText, 10, 64)
		p := t.producers[producer]
		switch {
		case p != nil && epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case p != nil && epoch == p.epoch:
			for i, known := range p.seqs {
				if known == seq {
					return http.StatusOK, map[string]any{"offset": p.offsets[i], "end": len(t.records)}
				}
			}
			if seq != p.last+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "expected": p.last + 1}
			}
		default:
			p = &producerState{epoch: epoch}
			t.producers[producer] = p
		}
		p.last = seq
		p.seqs, p.offsets = append(p.seqs, seq), append(p.offsets, int64(len(t.records)))
		if len(p.seqs) > 5 {
			p.seqs, p.offsets = p.seqs[1:], p.offsets[1:]
		}
	}
	first := s.add(t, records)
	return http.StatusOK, map[string]any{"offset": first, "end": len(t.records)}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	maxKB, _ := strconv.ParseInt(q.Get("max_kb"), 10, 64)
	if maxKB == 0 {
		maxKB = 1024
	}
	until := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		changed := s.changed
		end := int64(len(t.records))
		if from < end || waitMS == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for i := from; i < end && int64(len(b)) < maxKB<<10; i++ {
				b = binary.BigEndian.AppendUint32(b, uint32(len(t.records[i].raw)))
				b = append(b, t.records[i].raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(b)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestPage(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k, i := range t.newest {
		if t.records[i].value != nil && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	size, more := 0, false
	for _, k := range keys {
		v := t.records[t.newest[k]].value
		if len(items) == 500 || size+len(v) > 1<<20 && len(items) > 0 {
			more = true
			break
		}
		size += len(v)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v), "offset": t.newest[k]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "end": len(t.records)})
}
