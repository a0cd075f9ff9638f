package process

import (
	"io"
	"strconv"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines bounds the lines that wait while the reader of the log is slow.
const maxQueuedLines = 4096

// LogWriter is an asynchronous writer for log lines that never blocks the process. While the reader of the log is slow
// and the queue is full, lines are dropped and counted.
type LogWriter struct {
	lines        chan []byte
	dropped      atomic.Int64
	droppedTotal prometheus.Counter
}

// NewLogWriter returns a writer whose goroutine writes to w. It registers clementine_log_lines_dropped_total with r.
func NewLogWriter(w io.Writer, r prometheus.Registerer) *LogWriter {
	l := &LogWriter{lines: make(chan []byte, maxQueuedLines),
		droppedTotal: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "clementine_log_lines_dropped_total", Help: "Log lines dropped because their reader was too slow."})}
	r.MustRegister(l.droppedTotal)
	go l.run(w)
	return l
}

// Write implements io.Writer. b is one or more whole lines, which are written or dropped together. It never returns an
// error.
func (l *LogWriter) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
		l.droppedTotal.Inc()
	}
	return len(b), nil
}

// run writes the queued lines, several at once if they are waiting.
func (l *LogWriter) run(w io.Writer) {
	var buf []byte
	for line := range l.lines {
		buf = append(buf[:0], line...)
		for more := true; more; {
			select {
			case line = <-l.lines:
				buf = append(buf, line...)
				more = len(buf) < maxWriteBytes
			default:
				more = false
			}
		}
		if n := l.dropped.Swap(0); n > 0 {
			buf = append(buf, `{"level":"WARN","msg":"log: lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n"...)
		}
		// An error is ignored, because it could only be reported in the log that cannot be written.
		_, _ = w.Write(buf)
	}
}

// maxWriteBytes is the size from which no more lines are added to one write.
const maxWriteBytes = 32 << 10
