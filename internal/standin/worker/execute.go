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
	// MaxRequestBodyBytes is the maximum length of the body of a request.
	MaxRequestBodyBytes = 1 << 20
	// maxNameBytes is the maximum length of a request id, kind or shard.
	maxNameBytes = 256
)

// AnswerBody is the JSON form of an answer's body, which is padded with spaces to the length of the kind's answers. It
// lets a load generator detect an answer that belongs to another request.
type AnswerBody struct {
	RequestID     string      `json:"request_id"`
	Kind          string      `json:"kind"`
	RequestDigest string      `json:"request_digest"`
	Worker        instance.ID `json:"worker"`
}

// answer is the content of the answer to one request.
type answer struct {
	id   string
	body []byte
}

// call is a parsed call that executes a request.
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

// parseCall parses the headers of an execute call. It returns false if a header is missing or malformed.
func parseCall(h http.Header, body []byte) (call, bool) {
	c := call{id: h.Get(upstream.HeaderRequestID), kind: h.Get(upstream.HeaderKind), shard: h.Get(upstream.HeaderShard),
		gateway:       instance.Incarnation(h.Get(upstream.HeaderGateway)),
		nonIdempotent: h.Get(upstream.HeaderNonIdempotent) == "1", body: body}
	var err1, err2 error
	c.epoch, err1 = strconv.ParseUint(h.Get(upstream.HeaderEpoch), 10, 64)
	c.generation, err2 = strconv.ParseUint(h.Get(upstream.HeaderGeneration), 10, 64)
	ok := err1 == nil && err2 == nil && c.gateway != ""
	for _, s := range []string{c.id, c.kind, c.shard} {
		ok = ok && s != "" && len(s) <= maxNameBytes
	}
	// The ledger keeps the id; a clone does not keep the whole header in memory.
	c.id = strings.Clone(c.id)
	return c, ok
}

// execute serves a call that executes a request.
func (w *Worker) execute(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(upstream.HeaderRequestID)
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, MaxRequestBodyBytes))
	if err != nil {
		refuseExecute(rw, id, upstream.RefusalMalformed)
		return
	}
	c, ok := parseCall(r.Header, body)
	if !ok {
		refuseExecute(rw, id, upstream.RefusalMalformed)
		return
	}
	req, refusal := w.acquireSlot(c, trackedConnOf(r))
	if refusal != upstream.RefusalNone {
		refuseExecute(rw, id, refusal)
		return
	}
	if !w.runRequest(req) {
		closeConnection(rw)
		return
	}
	if !w.waitWhileFrozen(r) {
		return
	}
	w.sendAnswer(rw, w.makeAnswer(c))
}

// activeRequest is a request in progress, which occupies a slot.
type activeRequest struct {
	bootState *bootState
	call      call
	runTime   time.Duration
	slowdown  float64
	// cancelled is closed when the gateway cancels the request.
	cancelled chan struct{}
}

func (req *activeRequest) key() requestKey {
	return requestKey{gateway: req.call.gateway, id: req.call.id}
}

// acquireSlot checks a call and takes a slot for its request, or returns the reason of the refusal.
func (w *Worker) acquireSlot(c call, conn *trackedConn) (*activeRequest, upstream.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, bs := w.now(), w.bootState
	if bs == nil {
		return nil, upstream.RefusalLeaving
	}
	w.advance(now)
	if r := w.checkCall(now, c, conn); r != upstream.RefusalNone {
		w.countRefusal(r)
		return nil, r
	}
	bs.busy++
	bs.inProgress[c.gateway]++
	w.ledger.RecordExecution(w.cfg.ID, c.id, c.kind, c.nonIdempotent)
	req := &activeRequest{bootState: bs, call: c, slowdown: w.slowdown(c.kind), cancelled: make(chan struct{})}
	bs.requests[req.key()] = req
	req.runTime = time.Duration(float64(w.cfg.Model.RequestTime(c.kind, c.id)) * req.slowdown)
	return req, upstream.RefusalNone
}

// checkCall returns the reason to refuse a call, or RefusalNone.
func (w *Worker) checkCall(now time.Time, c call, conn *trackedConn) upstream.Refusal {
	bs := w.bootState
	if r := bs.lease.CheckEpoch(c.shard, c.epoch); r != upstream.RefusalNone {
		return r
	}
	if bs.fenced(c.gateway, c.generation) {
		return upstream.RefusalStaleGrant
	}
	key := requestKey{gateway: c.gateway, id: c.id}
	if _, ok := bs.cancelled[key]; ok || bs.requests[key] != nil {
		return upstream.RefusalCancelled
	}
	if w.refusesNewWork(now) {
		w.ledger.RecordViolation(ViolationLateWork, w.cfg.ID, "request "+c.id)
		return upstream.RefusalLeaving
	}
	if bs.busy >= w.cfg.Slots {
		w.ledger.RecordViolation(ViolationOverload, w.cfg.ID, "request "+c.id+" finds every slot in use")
		return upstream.RefusalOverload
	}
	if !conn.acquire(bs, w.cfg.Connections) {
		w.ledger.RecordViolation(ViolationOverload, w.cfg.ID, "request "+c.id+" finds every connection in use")
		return upstream.RefusalOverload
	}
	return upstream.RefusalNone
}

// runRequest waits for the run time of the request and releases its slot. It returns false if the worker died or the
// request was cancelled meanwhile. The run continues if the caller closes the connection.
func (w *Worker) runRequest(req *activeRequest) bool {
	t := time.NewTimer(req.runTime)
	defer t.Stop()
	select {
	case <-t.C:
	case <-req.bootState.ended:
		return false
	case <-req.cancelled:
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bootState != req.bootState || req.bootState.requests[req.key()] != req {
		return false
	}
	w.releaseSlot(req)
	req.bootState.usage.observeSlowdown(req.call.kind, req.slowdown)
	return true
}

func (w *Worker) makeAnswer(c call) answer {
	body, err := json.Marshal(AnswerBody{RequestID: c.id, Kind: c.kind, RequestDigest: upstream.Digest(c.body),
		Worker: w.cfg.ID})
	if err != nil {
		body = nil
	}
	if pad := min(w.cfg.Model.Kinds[c.kind].AnswerBytes, upstream.MaxAnswerBytes) - len(body); pad > 0 {
		body = append(body, bytes.Repeat([]byte{' '}, pad)...)
	}
	return answer{id: c.id, body: body}
}

// The variants of a wrong answer. wrongVariants is their number, and stands for a correct answer.
const (
	wrongCrossed = iota
	wrongTruncated
	wrongChanged
	wrongInterrupted
	wrongVariants
)

// sendAnswer sends an answer, or a wrong one with the probability of that fault.
func (w *Worker) sendAnswer(rw http.ResponseWriter, a answer) {
	w.mu.Lock()
	variant := wrongVariants
	if w.faults.WrongAnswer > 0 && w.random.Float64() < w.faults.WrongAnswer {
		variant = w.random.IntN(wrongVariants)
		w.ledger.Count("wrong_answers")
	}
	previous := w.lastAnswer
	w.lastAnswer = a
	w.mu.Unlock()
	declaredLength := len(a.body)
	digest := upstream.Digest(a.body)
	switch variant {
	case wrongCrossed:
		if previous.id == "" {
			previous = answer{id: a.id + "-crossed", body: a.body}
		}
		a, declaredLength, digest = previous, len(previous.body), upstream.Digest(previous.body)
	case wrongTruncated:
		a.body = a.body[:len(a.body)/2]
	case wrongChanged:
		a.body = bytes.ToUpper(a.body)
	}
	h := rw.Header()
	h.Set(upstream.HeaderRequestID, a.id)
	h.Set(upstream.HeaderLength, strconv.Itoa(declaredLength))
	h.Set(upstream.HeaderDigest, digest)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	h.Set("Content-Type", "application/octet-stream")
	if variant == wrongInterrupted {
		// The server closes the connection because the body is shorter than the Content-Length.
		a.body = a.body[:len(a.body)/2]
	}
	// A write error means that the caller has closed the connection.
	_, _ = rw.Write(a.body)
}

// refuseExecute answers that the request was not run and gives the reason.
func refuseExecute(rw http.ResponseWriter, id string, r upstream.Refusal) {
	rw.Header().Set(upstream.HeaderRequestID, id)
	rw.Header().Set(upstream.HeaderNotRun, string(r))
	rw.WriteHeader(http.StatusServiceUnavailable)
}
