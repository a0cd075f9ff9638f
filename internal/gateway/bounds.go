package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/ingress"
	"clementinewalk.example/clementinewalk/internal/process"
)

const (
	// bodyShare is the part of the memory for the bodies of callers, as a divisor. A body is passed on as it is, so the
	// work on it takes no more than the body itself.
	bodyShare  = 4
	workFactor = 1
	// idleTimeout is how long an unused connection of a caller stays open. It is longer than the idle timeout of common
	// load balancers (60 s), so that a balancer never sends a request on a connection that the gateway is closing.
	idleTimeout = 2 * time.Minute
)

const reasonTooMany = "too-many-requests-in-progress"

// maxQueries limits the queries of operators in progress. Their answers have no bound, and a slow client holds one for
// up to 10 s.
const maxQueries = 32

// limitQueries returns a handler that refuses queries beyond maxQueries.
func (g *Gateway) limitQueries(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case g.queries <- struct{}{}:
			defer func() { <-g.queries }()
			h(w, r)
		default:
			writeRefusal(w, http.StatusServiceUnavailable, answer{state: contract.AnswerNotRun, reason: reasonTooMany})
		}
	}
}

// newGate returns the bounds of what callers take.
func newGate(s Settings, d Deps) *ingress.Gate {
	return ingress.New(ingress.Settings{MemoryBytes: s.MemoryBytes, Descriptors: s.Descriptors, BodyShare: bodyShare,
		WorkFactor: workFactor}, process.WithPrefix(d.Logger, "ingress"), d.Registry)
}

// readBody returns the body of a request, which must be closed, or why the request is refused. A refused request was not
// run.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit int64) (*ingress.Body, *rejection) {
	b, err := g.gate.ReadBody(w, r, limit)
	var refused *ingress.RefusedError
	var tooLarge *ingress.TooLargeError
	switch {
	case err == nil:
		return b, nil
	case errors.As(err, &refused):
		return nil, reject(http.StatusServiceUnavailable, reasonTooMany, err.Error())
	case errors.As(err, &tooLarge):
		return nil, reject(http.StatusRequestEntityTooLarge, reasonBodyTooLarge,
			"the limit is "+strconv.FormatInt(limit, 10)+" bytes")
	}
	return nil, reject(http.StatusBadRequest, reasonBodyNotWhole, err.Error())
}
