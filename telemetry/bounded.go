package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the lines that are queued for a slow reader of the log.
	maxQueuedLines = 1024
	maxQueuedBytes = 4 << 20
	// maxValueBytes bounds a text in a log line, and maxValues the texts in a list: clients choose the length of what is
	// logged of them.
	maxValueBytes = 1 << 10
	maxValues     = 64
)

// boundedWriter queues lines for a goroutine that writes them, so that a reader that has stalled
// never blocks the process. Lines that do not fit the queue are dropped and counted.
type boundedWriter struct {
	lines   chan queuedLine
	dropped atomic.Int64
	// queued is the length of the lines in the queue, in bytes.
	queued atomic.Int64
}

// DroppedLines counts the lines of the process that did not fit the queue.
var DroppedLines = prometheus.NewCounter(prometheus.CounterOpts{
	Name: "azurelead_log_lines_dropped_total", Help: "Log lines that were dropped because the reader of the log has stalled.",
})

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
	return slog.New(newHandler(b, level)), b.flush
}

// newHandler returns a handler that writes JSON lines whose texts are of limited length.
func newHandler(w io.Writer, level slog.Leveler) slog.Handler {
	return slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: shorten})
}

// shorten cuts long texts, but for the stacks of panics.
func shorten(_ []string, a slog.Attr) slog.Attr {
	if a.Key == stackKey {
		return a
	}
	switch v := a.Value.Any().(type) {
	case string:
		a.Value = slog.StringValue(shortenText(v))
	case error:
		a.Value = slog.StringValue(shortenText(fmt.Sprint(v))) // unlike Error, Sprint takes a nil pointer
	case []string:
		short := make([]string, min(len(v), maxValues))
		for i := range short {
			short[i] = shortenText(v[i])
		}
		a.Value = slog.AnyValue(short)
	}
	return a
}

// stackKey is the key of stacks in log lines.
const stackKey = "stack"

// shortenText cuts a text that is too long. Its length is appended.
func shortenText(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:maxValueBytes], len(text))
}

// Write implements io.Writer.
func (b *boundedWriter) Write(p []byte) (int, error) {
	if !b.enqueue(p) {
		b.dropped.Add(1)
		DroppedLines.Inc()
	}
	return len(p), nil
}

// enqueue queues a copy of a line. It reports false if the line does not fit the queue.
func (b *boundedWriter) enqueue(p []byte) bool {
	size := int64(len(p))
	if b.queued.Add(size) <= maxQueuedBytes {
		select {
		case b.lines <- queuedLine{text: append([]byte(nil), p...)}:
			return true
		default:
		}
	}
	b.queued.Add(-size)
	return false
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
		b.queued.Add(-int64(len(line.text)))
		if n := b.dropped.Swap(0); n > 0 {
			notice := slog.New(slog.NewJSONHandler(w, nil))
			notice.Warn("log lines dropped", "lines", n, "at", time.Now())
		}
	}
}
