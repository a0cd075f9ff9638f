package node

import (
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/evacuation"
	"clementinewalk.example/clementinewalk/internal/eventlog"
)

// closures follows which data centres are closed.
type closures struct {
	decode     func(eventlog.Entry) (evacuation.Record, bool)
	state      evacuation.State
	logger     *slog.Logger
	closed     *prometheus.GaugeVec
	unreadable prometheus.Counter
}

func newClosures(decode func(eventlog.Entry) (evacuation.Record, bool), l *slog.Logger, r prometheus.Registerer) *closures {
	c := &closures{decode: decode, logger: l,
		closed: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "clementine_closed_data_centres",
			Help: "1 for each data centre in which this instance starts nothing, because the operator has closed it."},
			[]string{"data_centre"}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{Name: "clementine_closed_data_centres_unreadable_total",
			Help: "Records about a data centre that cannot be read and change nothing."})}
	r.MustRegister(c.closed, c.unreadable)
	return c
}

// apply applies a batch of the topic Config and returns the closed data centres.
func (c *closures) apply(b eventlog.Batch) evacuation.Set {
	batch := evacuation.Batch{Reset: b.Reset, Next: b.Next}
	for _, e := range b.Entries {
		if r, ok := c.decode(e); ok {
			batch.Records = append(batch.Records, r)
		}
	}
	changed, unreadable := c.state.Apply(batch)
	for _, r := range changed {
		if r.Content == evacuation.Closed {
			c.closed.WithLabelValues(r.DataCentre).Set(1)
			c.logger.Warn("data centre closed", "data_centre", r.DataCentre, "offset", r.Offset)
			continue
		}
		c.closed.DeleteLabelValues(r.DataCentre)
		c.logger.Info("data centre open again", "data_centre", r.DataCentre, "offset", r.Offset, "newest_records_loaded", b.Reset)
	}
	for _, r := range unreadable {
		c.unreadable.Inc()
		c.logger.Error("record of a data centre cannot be read, keeping its state", "data_centre", r.DataCentre, "offset", r.Offset,
			"closed", c.state.Closed().Contains(r.DataCentre))
	}
	return c.state.Closed()
}
