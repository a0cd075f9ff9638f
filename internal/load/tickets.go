package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// ticketLife is how long an unused ticket is kept; gateways let them expire after 10 min.
	ticketLife = 5 * time.Minute
	// ticketBatch is the number of tickets asked for at once, ticketKeep the most kept for each gateway.
	ticketBatch      = 50
	ticketKeep       = 1000
	maxTicketAnswer  = 1 << 20
	maxProblemBytes  = 64 << 10
	pathTickets      = "/v1/tickets"
	headerTicket     = "Clementine-Ticket"
	headerRequestID  = "Clementine-Request-Id"
	headerTeam       = "Clementine-Team"
	headerTimeout    = "Clementine-Timeout-Ms"
	headerOutcome    = "Clementine-Outcome"
	headerReason     = "Clementine-Reason"
	outcomeNotRun    = "not-run"
	pathRequests     = "/v1/requests/"
	pathJobs         = "/v1/jobs"
	contentTypeBytes = "application/octet-stream"
)

// ticketPool holds unused tickets of one gateway.
type ticketPool struct {
	mu   sync.Mutex
	free []freeTicket
}

type freeTicket struct {
	text string
	at   time.Time
}

func (p *ticketPool) put(now time.Time, tickets ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range tickets {
		if t != "" && len(p.free) < ticketKeep {
			p.free = append(p.free, freeTicket{text: t, at: now})
		}
	}
}

// take returns the newest ticket, or an empty text.
func (p *ticketPool) take(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) == 0 {
		return ""
	}
	t := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	if now.Sub(t.at) > ticketLife {
		p.free = nil
		return ""
	}
	return t.text
}

// ticket returns an unused ticket of the gateway.
func (c *caller) ticket(ctx context.Context, g *gateway) (string, error) {
	if t := g.tickets.take(time.Now()); t != "" {
		return t, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("%s%s?n=%d", g.url, pathTickets, ticketBatch), nil)
	if err != nil {
		return "", errors.WithStack(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Tickets []string `json:"tickets"`
	}
	if resp.StatusCode != http.StatusOK {
		return "", &StatusError{URL: req.URL.String(), Status: resp.StatusCode}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxTicketAnswer)).Decode(&out); err != nil {
		return "", errors.WithStack(err)
	}
	g.tickets.put(time.Now(), out.Tickets...)
	return g.tickets.take(time.Now()), nil
}
