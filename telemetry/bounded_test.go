package telemetry

import (
	"io"
	"log/slog"
	"strings"
	"testing"
)

// A reader that never reads blocks nobody, and one that reads again is told how
// much it missed.
func TestBlockedReaderBlocksNobody(t *testing.T) {
	r, w := io.Pipe()
	logger := NewBoundedLogger(w, slog.LevelInfo)
	for i := range 3 * boundedLines {
		logger.Info("line", "n", i) // would wait for ever on the pipe itself
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
