package telemetry

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the number of lines that are queued for a slow reader of the log.
const maxQueuedLines = 1024

// boundedWriter queues lines for a goroutine that writes them, so that a reader that has stalled
// never blocks the process. Lines that do not fit the queue are dropped and counted.
type boundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBoundedLogger returns a logger that writes JSON lines of the given level and above to w and
// never blocks its callers.
func NewBoundedLogger(w io.Writer, level slog.Level) *slog.Logger {
	b := &boundedWriter{lines: make(chan []byte, maxQueuedLines)}
	go b.run(w)
	return slog.New(slog.NewJSONHandler(b, &slog.HandlerOptions{Level: level}))
}

// Write implements io.Writer.
func (b *boundedWriter) Write(p []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), p...):
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

func (b *boundedWriter) run(w io.Writer) {
	for line := range b.lines {
		_, _ = w.Write(line) // there is nowhere to report the error
		if n := b.dropped.Swap(0); n > 0 {
			notice := slog.New(slog.NewJSONHandler(w, nil))
			notice.Warn("log lines dropped", "lines", n, "at", time.Now())
		}
	}
}
