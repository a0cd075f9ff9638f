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
	// ticketTTL is how long an unused ticket is kept. It is shorter than the 10 min after which gateways expire
	// tickets.
	ticketTTL = 5 * time.Minute
	// ticketBatchSize is the number of tickets per request for tickets.
	ticketBatchSize        = 50
	maxTicketsPerGateway   = 1000
	maxTicketResponseBytes = 1 << 20
	maxHealthResponseBytes = 64 << 10
	pathTickets            = "/v1/tickets"
	headerTicket           = "Clementine-Ticket"
	headerRequestID        = "Clementine-Request-Id"
	headerTeam             = "Clementine-Team"
	headerTimeout          = "Clementine-Timeout-Ms"
	headerOutcome          = "Clementine-Outcome"
	headerReason           = "Clementine-Reason"
	outcomeNotRun          = "not-run"
	pathRequests           = "/v1/requests/"
	pathJobs               = "/v1/jobs"
	contentTypeBytes       = "application/octet-stream"
)

// ticketPool holds unused tickets of one gateway. It is safe for concurrent use.
type ticketPool struct {
	mu   sync.Mutex
	free []freeTicket
}

type freeTicket struct {
	value      string
	receivedAt time.Time
}

// put adds tickets that were received at the given time. It drops empty ones and those above maxTicketsPerGateway.
func (p *ticketPool) put(now time.Time, tickets ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range tickets {
		if t != "" && len(p.free) < maxTicketsPerGateway {
			p.free = append(p.free, freeTicket{value: t, receivedAt: now})
		}
	}
}

// take removes and returns the newest ticket, or returns "" if the pool holds no ticket younger than ticketTTL.
func (p *ticketPool) take(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) == 0 {
		return ""
	}
	t := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	if now.Sub(t.receivedAt) > ticketTTL {
		p.free = nil
		return ""
	}
	return t.value
}

// acquireTicket returns an unused ticket of the gateway, from the pool or from a new batch of the gateway.
func (c *caller) acquireTicket(ctx context.Context, g *gateway) (string, error) {
	if t := g.tickets.take(time.Now()); t != "" {
		return t, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		fmt.Sprintf("%s%s?n=%d", g.url, pathTickets, ticketBatchSize), nil)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxTicketResponseBytes)).Decode(&out); err != nil {
		return "", errors.WithStack(err)
	}
	g.tickets.put(time.Now(), out.Tickets...)
	return g.tickets.take(time.Now()), nil
}
