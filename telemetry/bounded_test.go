package telemetry

import (
	"io"
	"log/slog"
	"strings"
	"testing"
)

// A stalled reader of the log must not block the callers of the logger. Once it reads again, a
// notice tells it how many lines were dropped.
func TestSlowReaderDoesNotBlockLogging(t *testing.T) {
	r, w := io.Pipe()
	logger := NewBoundedLogger(w, slog.LevelInfo)
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
