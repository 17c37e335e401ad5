package telemetry

import (
	"context"
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
	lines   chan queuedLine
	dropped atomic.Int64
}

// queuedLine is a line to be written, or a request to close flushed once the lines before it are written.
type queuedLine struct {
	text    []byte
	flushed chan struct{}
}

// NewBoundedLogger returns a logger that writes JSON lines of the given level and above to w and
// never blocks its callers. flush waits until the lines logged so far are written, or until ctx ends.
func NewBoundedLogger(w io.Writer, level slog.Level) (logger *slog.Logger, flush func(ctx context.Context)) {
	b := &boundedWriter{lines: make(chan queuedLine, maxQueuedLines)}
	go b.run(w)
	return slog.New(slog.NewJSONHandler(b, &slog.HandlerOptions{Level: level})), b.flush
}

// Write implements io.Writer.
func (b *boundedWriter) Write(p []byte) (int, error) {
	select {
	case b.lines <- queuedLine{text: append([]byte(nil), p...)}:
	default:
		b.dropped.Add(1)
	}
	return len(p), nil
}

func (b *boundedWriter) flush(ctx context.Context) {
	flushed := make(chan struct{})
	select {
	case b.lines <- queuedLine{flushed: flushed}:
	case <-ctx.Done():
		return
	}
	select {
	case <-flushed:
	case <-ctx.Done():
	}
}

func (b *boundedWriter) run(w io.Writer) {
	for line := range b.lines {
		if line.flushed != nil {
			close(line.flushed)
			continue
		}
		_, _ = w.Write(line.text) // there is nowhere to report the error
		if n := b.dropped.Swap(0); n > 0 {
			notice := slog.New(slog.NewJSONHandler(w, nil))
			notice.Warn("log lines dropped", "lines", n, "at", time.Now())
		}
	}
}
