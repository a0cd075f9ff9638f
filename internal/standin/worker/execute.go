package worker

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

const (
	// MaxRequestBody bounds the body of a request in bytes.
	MaxRequestBody = 1 << 20
	maxName        = 256
)

// AnswerBody is the JSON form of an answer's body, followed by spaces if the kind has longer answers. A load generator recognises crossed
// answers by it.
type AnswerBody struct {
	RequestID     string      `json:"request_id"`
	Kind          string      `json:"kind"`
	RequestDigest string      `json:"request_digest"`
	Worker        instance.ID `json:"worker"`
}

// answer is what is sent for one request.
type answer struct {
	id   string
	body []byte
}

// call is one parsed execute call.
type call struct {
	id            string
	kind          string
	shard         string
	epoch         uint64
	gateway       instance.Incarnation
	generation    uint64
	nonIdempotent bool
	body          []byte
}

// parseCall returns false if a header is missing or malformed.
func parseCall(h http.Header, body []byte) (call, bool) {
	c := call{id: h.Get(upstream.HeaderRequestID), kind: h.Get(upstream.HeaderKind), shard: h.Get(upstream.HeaderShard),
		gateway: instance.Incarnation(h.Get(upstream.HeaderGateway)), nonIdempotent: h.Get(upstream.HeaderNonIdempotent) == "1",
		body: body}
	var err1, err2 error
	c.epoch, err1 = strconv.ParseUint(h.Get(upstream.HeaderEpoch), 10, 64)
	c.generation, err2 = strconv.ParseUint(h.Get(upstream.HeaderGeneration), 10, 64)
	ok := err1 == nil && err2 == nil && c.gateway != ""
	for _, s := range []string{c.id, c.kind, c.shard} {
		ok = ok && s != "" && len(s) <= maxName
	}
	// Header values share memory with the whole header, which the ledger must not keep.
	c.id = strings.Clone(c.id)
	return c, ok
}

func (w *Worker) execute(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.HeaderRequestID)
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, MaxRequestBody))
	if err != nil {
		refuseExecute(rw, id, upstream.RefusalMalformed)
		return
	}
	c, ok := parseCall(r.Header, body)
	if !ok {
		refuseExecute(rw, id, upstream.RefusalMalformed)
		return
	}
	s, refusal := w.occupy(c, connOf(r))
	if refusal != upstream.RefusalNone {
		refuseExecute(rw, id, refusal)
		return
	}
	if !w.finish(s) {
		hangUp(rw)
		return
	}
	if !w.await(r) {
		return
	}
	w.send(rw, w.makeAnswer(c))
}

// slot is one request in progress.
type slot struct {
	life     *life
	call     call
	run      time.Duration
	slowdown float64
	// cancelled is closed when the gateway cancels the request.
	cancelled chan struct{}
}

func (s *slot) key() requestKey { return requestKey{gateway: s.call.gateway, id: s.call.id} }

// occupy checks a call and takes a slot for it.
func (w *Worker) occupy(c call, conn *connMark) (*slot, upstream.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, lf := w.now(), w.life
	if lf == nil {
		return nil, upstream.RefusalLeaving
	}
	w.advance(now)
	if r := w.checkCall(now, c, conn); r != upstream.RefusalNone {
		w.refused(r)
		return nil, r
	}
	lf.busy++
	lf.inProgress[c.gateway]++
	w.ledger.Execute(w.cfg.ID, c.id, c.kind, c.nonIdempotent)
	s := &slot{life: lf, call: c, slowdown: w.slowdown(c.kind), cancelled: make(chan struct{})}
	lf.requests[s.key()] = s
	s.run = time.Duration(float64(w.cfg.Model.RequestTime(c.kind, c.id)) * s.slowdown)
	return s, upstream.RefusalNone
}

func (w *Worker) checkCall(now time.Time, c call, conn *connMark) upstream.Refusal {
	lf := w.life
	if r := lf.lease.CheckEpoch(c.shard, c.epoch); r != upstream.RefusalNone {
		return r
	}
	if lf.stale(c.gateway, c.generation) {
		return upstream.RefusalStaleGrant
	}
	key := requestKey{gateway: c.gateway, id: c.id}
	if _, ok := lf.cancelled[key]; ok || lf.requests[key] != nil {
		return upstream.RefusalCancelled
	}
	if w.late(now) {
		w.ledger.Violate(ViolationLateWork, w.cfg.ID, "request "+c.id)
		return upstream.RefusalLeaving
	}
	if lf.busy >= w.cfg.Slots {
		w.ledger.Violate(ViolationOverload, w.cfg.ID, "request "+c.id+" finds every slot in use")
		return upstream.RefusalOverload
	}
	if !conn.carry(lf, w.cfg.Connections) {
		w.ledger.Violate(ViolationOverload, w.cfg.ID, "request "+c.id+" finds every connection in use")
		return upstream.RefusalOverload
	}
	return upstream.RefusalNone
}

// finish runs the request and frees its slot. It returns false if the worker died or the request was cancelled meanwhile. A caller that goes away
// does not end the run.
func (w *Worker) finish(s *slot) bool {
	t := time.NewTimer(s.run)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.life.ended:
		return false
	case <-s.cancelled:
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != s.life || s.life.requests[s.key()] != s {
		return false
	}
	w.free(s)
	s.life.usage.observe(s.call.kind, s.slowdown)
	return true
}

func (w *Worker) makeAnswer(c call) answer {
	body, err := json.Marshal(AnswerBody{RequestID: c.id, Kind: c.kind, RequestDigest: upstream.Digest(c.body), Worker: w.cfg.ID})
	if err != nil {
		body = nil
	}
	if pad := min(w.cfg.Model.Kinds[c.kind].AnswerBytes, upstream.MaxAnswerBytes) - len(body); pad > 0 {
		body = append(body, bytes.Repeat([]byte{' '}, pad)...)
	}
	return answer{id: c.id, body: body}
}

// The ways in which an answer can be wrong.
const (
	wrongCrossed = iota
	wrongCut
	wrongChanged
	wrongBroken
	wrongWays
)

// send sends an answer, or a wrong one if that fault strikes.
func (w *Worker) send(rw http.ResponseWriter, a answer) {
	w.mu.Lock()
	way := wrongWays
	if w.faults.WrongAnswer > 0 && w.random.Float64() < w.faults.WrongAnswer {
		way = w.random.IntN(wrongWays)
		w.ledger.Count("wrong_answers")
	}
	other := w.lastAnswer
	w.lastAnswer = a
	w.mu.Unlock()
	declared := len(a.body)
	digest := upstream.Digest(a.body)
	switch way {
	case wrongCrossed:
		if other.id == "" {
			other = answer{id: a.id + "-crossed", body: a.body}
		}
		a, declared, digest = other, len(other.body), upstream.Digest(other.body)
	case wrongCut:
		a.body = a.body[:len(a.body)/2]
	case wrongChanged:
		a.body = bytes.ToUpper(a.body)
	}
	h := rw.Header()
	h.Set(upstream.HeaderRequestID, a.id)
	h.Set(upstream.HeaderLength, strconv.Itoa(declared))
	h.Set(upstream.HeaderDigest, digest)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	h.Set("Content-Type", "application/octet-stream")
	if way == wrongBroken {
		// Less than the announced content makes the server close the connection.
		a.body = a.body[:len(a.body)/2]
	}
	// A caller that went away gets no answer.
	_, _ = rw.Write(a.body)
}

func refuseExecute(rw http.ResponseWriter, id string, r upstream.Refusal) {
	rw.Header().Set(upstream.HeaderRequestID, id)
	rw.Header().Set(upstream.HeaderNotRun, string(r))
	rw.WriteHeader(http.StatusServiceUnavailable)
}
