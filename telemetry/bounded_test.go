package telemetry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"strings"
	"testing"
)

// A stalled reader of the log must not block the callers of the logger. Once it reads again, a
// notice tells it how many lines were dropped.
func TestSlowReaderDoesNotBlockLogging(t *testing.T) {
	r, w := io.Pipe()
	logger, _ := NewBoundedLogger(w, slog.LevelInfo)
	for i := range 3 * maxQueuedLines {
		logger.Info("line", "n", i) // would block forever if it were written to the pipe directly
	}
	logger.Debug("not logged")
	buffer := make([]byte, 4096)
	var text strings.Builder
	for !strings.Contains(text.String(), "log lines dropped") {
		n, err := r.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		text.Write(buffer[:n])
	}
	if strings.Contains(text.String(), "not logged") {
		t.Error("a line below the level was logged")
	}
}

// The last lines of a process that ends tell how its requests ended. A flush writes them, and waits for no stalled reader.
func TestFlushWritesQueuedLines(t *testing.T) {
	var written bytes.Buffer
	logger, flush := NewBoundedLogger(&written, slog.LevelInfo)
	for i := range 100 {
		logger.Info("line", "n", i)
	}
	flush(t.Context())
	if n := strings.Count(written.String(), "\n"); n != 100 {
		t.Errorf("%d of 100 lines were written", n)
	}
	_, w := io.Pipe()
	stalled, flushStalled := NewBoundedLogger(w, slog.LevelInfo)
	for range 2 * maxQueuedLines {
		stalled.Info("line")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	flushStalled(ctx)
}

// Clients choose the length of what is logged of them, which a queue for a stalled reader held as a whole.
func TestLinesAreShort(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	var written bytes.Buffer
	logger, flush := NewBoundedLogger(&written, slog.LevelInfo)
	logger.Info("line", "text", long, "error", errors.New(long), "list", slices.Repeat([]string{long}, 100), "after", "end")
	flush(t.Context())
	if n, limit := written.Len(), (maxValues+4)*(maxValueBytes+100); n > limit || !strings.Contains(written.String(), `"after":"end"`) {
		t.Errorf("a line of %d bytes, limit %d: %.100s", n, limit, written.String())
	}
	b := &boundedWriter{lines: make(chan queuedLine, maxQueuedLines)}
	for range maxQueuedLines {
		_, _ = b.Write(make([]byte, 100<<10))
	}
	if n := b.queued.Load(); n > maxQueuedBytes || b.dropped.Load() == 0 {
		t.Errorf("%d bytes are queued, limit %d", n, maxQueuedBytes)
	}
}
