package process

import (
	"io"
	"strconv"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// outputLines bounds the lines that wait for a slow reader of the log.
const outputLines = 4096

// Output writes log lines without ever blocking the process: lines that a slow reader leaves no room for are dropped and counted.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
	total   prometheus.Counter
}

// NewOutput returns an output that writes to w from a goroutine of its own.
func NewOutput(w io.Writer, r prometheus.Registerer) *Output {
	o := &Output{lines: make(chan []byte, outputLines), total: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "clementine_log_lines_dropped_total", Help: "Log lines dropped because their reader was too slow."})}
	r.MustRegister(o.total)
	go o.run(w)
	return o
}

// Write implements io.Writer. It never fails.
func (o *Output) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case o.lines <- line:
	default:
		o.dropped.Add(1)
		o.total.Inc()
	}
	return len(b), nil
}

func (o *Output) run(w io.Writer) {
	var buf []byte
	for line := range o.lines {
		buf = append(buf[:0], line...)
		for more := true; more; {
			select {
			case line = <-o.lines:
				buf = append(buf, line...)
				more = len(buf) < outputBytes
			default:
				more = false
			}
		}
		if n := o.dropped.Swap(0); n > 0 {
			buf = append(buf, `{"level":"WARN","msg":"log: lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n"...)
		}
		// Nothing can be logged about a log that cannot be written.
		_, _ = w.Write(buf)
	}
}

// outputBytes is the most that is written at once.
const outputBytes = 32 << 10
