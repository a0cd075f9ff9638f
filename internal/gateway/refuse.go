package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/ticket"
)

// refuseUnchecked answers a request that was refused before its ticket was checked. status applies unless the outcome
// is unknown.
func (g *Gateway) refuseUnchecked(w http.ResponseWriter, hr *http.Request, status int, a answer) {
	if g.mayBeRepeat(hr) {
		a.state = contract.AnswerUnknown
		status = statusOf(a)
		a.retryAfter = max(a.retryAfter, time.Second)
	}
	g.metrics.countAnswer(a)
	writeRefusal(w, status, a)
}

// mayBeRepeat reports whether an earlier call with the same ticket may have run. A gateway can refuse a repeat that it
// could have answered a moment earlier, for example after a restart or under load; the caller must not conclude that
// its first call was not run.
func (g *Gateway) mayBeRepeat(hr *http.Request) bool {
	if v := g.deps.Config.Current(); v != nil {
		if k, known := v.Manifest.Kind(hr.PathValue("kind")); known && k.Idempotent {
			return false
		}
	}
	return slices.ContainsFunc(hr.Header.Values(headerTicket), g.ticketMayBeUsed)
}

// ticketMayBeUsed reports whether a request with the ticket may have run. That is assumed of tickets of other gateways.
func (g *Gateway) ticketMayBeUsed(text string) bool {
	t, err := g.issuer.Open(time.Now(), text)
	var malformed *ticket.MalformedError
	var forged *ticket.ForgedError
	switch {
	case errors.As(err, &malformed), errors.As(err, &forged):
		return false
	case err != nil:
		return true
	}
	used, ok := postAndWait(g, func(time.Time) bool { return g.control.tickets.Used(t) })
	return used || !ok
}
