package telemetry

import (
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

// boundedLines is how many lines wait for a slow reader of the log.
const boundedLines = 1024

// boundedWriter hands lines to a goroutine, so that a reader that does not read
// never blocks the writer. Lines beyond the bound are dropped and counted.
type boundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewBoundedLogger returns a logger that writes JSON lines of at least a level
// to w and never blocks.
func NewBoundedLogger(w io.Writer, least slog.Level) *slog.Logger {
	b := &boundedWriter{lines: make(chan []byte, boundedLines)}
	go b.run(w)
	return slog.New(slog.NewJSONHandler(b, &slog.HandlerOptions{Level: least}))
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
		_, _ = w.Write(line) // nobody is left to be told
		if n := b.dropped.Swap(0); n > 0 {
			notice := slog.New(slog.NewJSONHandler(w, nil))
			notice.Warn("log lines dropped", "lines", n, "at", time.Now())
		}
	}
}
