package link

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"

	"clementinewalk.example/clementinewalk/internal/contract"
)

// Values of the labels direction and kind.
const (
	directionSent     = "sent"
	directionReceived = "received"
	kindInvalid       = "invalid"
)

// kindNames holds the values of the label kind.
var kindNames = map[contract.MessageKind]string{
	contract.KindGrantRequest: "grant-request", contract.KindGrantReply: "grant-reply",
	contract.KindForward: "forward", contract.KindForwardReply: "forward-reply",
	contract.KindHeartbeat: "heartbeat", contract.KindHeartbeatReply: "heartbeat-reply",
	contract.KindJobStatus: "job-status", contract.KindJobStatusReply: "job-status-reply",
	contract.KindExplain: "explain", contract.KindExplainReply: "explain-reply",
	contract.KindConfigFetch: "config-fetch", contract.KindConfigFetchReply: "config-fetch-reply",
	contract.KindShardStatus: "shard-status", contract.KindShardStatusReply: "shard-status-reply",
	contract.KindFailure: "failure",
}

// kindName returns the value of the label kind for a message; nil stands for bytes that could not be decoded.
func kindName(m contract.Message) string {
	if m == nil {
		return kindInvalid
	}
	if name, ok := kindNames[m.MessageKind()]; ok {
		return name
	}
	return kindInvalid
}

type metrics struct {
	bytes *prometheus.CounterVec
	calls *prometheus.CounterVec
}

func newMetrics() *metrics {
	return &metrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementine_link_bytes_total",
			Help: "Bytes of messages between the system's own processes, by kind and direction, without packet overhead.",
		}, []string{"kind", "direction"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementine_link_calls_total",
			Help: "Calls to peers, by outcome: answered, failure (answered with one), not-sent, unanswered.",
		}, []string{"outcome"}),
	}
}

// addBytes adds n bytes to the counter of a message's kind.
func (m *metrics) addBytes(msg contract.Message, direction string, n int) {
	m.bytes.WithLabelValues(kindName(msg), direction).Add(float64(n))
}

var (
	packetBytes = prometheus.NewDesc("clementine_link_packet_bytes_total",
		"Bytes of QUIC packets of closed and open connections, by direction. IP and UDP headers are not included.",
		[]string{"direction"}, nil)
	connections = prometheus.NewDesc("clementine_link_connections",
		"Number of open connections, dialled and accepted.", nil, nil)
)

// Describe implements prometheus.Collector.
func (t *Transport) Describe(ch chan<- *prometheus.Desc) {
	t.metrics.bytes.Describe(ch)
	t.metrics.calls.Describe(ch)
	ch <- packetBytes
	ch <- connections
}

// Collect implements prometheus.Collector.
func (t *Transport) Collect(ch chan<- prometheus.Metric) {
	t.metrics.bytes.Collect(ch)
	t.metrics.calls.Collect(ch)
	sent, received, open := t.packetBytes()
	ch <- prometheus.MustNewConstMetric(packetBytes, prometheus.CounterValue, float64(sent), directionSent)
	ch <- prometheus.MustNewConstMetric(packetBytes, prometheus.CounterValue, float64(received), directionReceived)
	ch <- prometheus.MustNewConstMetric(connections, prometheus.GaugeValue, float64(open))
}

// packetBytes returns the bytes sent and received on all connections so far, and the number of open connections.
func (t *Transport) packetBytes() (sent, received uint64, open int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, received = t.closedBytesSent, t.closedBytesReceived
	for c := range t.openConns {
		s := c.ConnectionStats()
		sent += s.BytesSent
		received += s.BytesReceived
	}
	return sent, received, len(t.openConns)
}

// track adds a connection to openConns. When it ends, its bytes are added to closedBytesSent and closedBytesReceived.
func (t *Transport) track(c *quic.Conn) {
	t.mu.Lock()
	t.openConns[c] = struct{}{}
	t.mu.Unlock()
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		<-c.Context().Done()
		s := c.ConnectionStats()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.openConns, c)
		t.closedBytesSent += s.BytesSent
		t.closedBytesReceived += s.BytesReceived
	}()
}
