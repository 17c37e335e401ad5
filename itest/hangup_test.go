package itest

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

// SIGHUP that reaches a gateway while it reads its settings must not terminate it.
func TestHangupDuringStartTerminatesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	gateway := exec.Command(filepath.Join(binDir, "azurelead-gateway"), "--settings", path)
	if err := gateway.Start(); err != nil {
		t.Fatal(err)
	}
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the gateway reads
	if err != nil {
		t.Fatal(err)
	}
	if err := gateway.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.WriteString("malformed"); err != nil {
		t.Errorf("the gateway does not read its settings any more: %v", err)
	}
	if err := settings.Close(); err != nil {
		t.Fatal(err)
	}
	var exit *exec.ExitError
	if err := gateway.Wait(); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("the gateway ended with %v, want exit code 1 for its settings", err)
	}
}
