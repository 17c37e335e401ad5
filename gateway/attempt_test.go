package gateway

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/azurelead/azurelead/upstream"
)

// A prompt is suspected only where its endpoint went away as a crashed process does. In a partition the
// requests of a session fail at one endpoint after the other, and the session must be served afterwards.
func TestPromptIsSuspectedOnlyAfterACrash(t *testing.T) {
	timedOut := &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	cases := []struct {
		name   string
		err    error
		events int
		want   bool
	}{
		{"reset before the answer", upstream.Lost.Wrap(syscall.ECONNRESET), 0, true},
		{"ended while the stream began", io.ErrUnexpectedEOF, beginningEvents - 1, true},
		{"ended while the stream went on", io.ErrUnexpectedEOF, beginningEvents, false},
		{"unacknowledged for too long", upstream.Lost.Wrap(timedOut), 0, false},
		{"stream unacknowledged for too long", timedOut, 1, false},
	}
	for _, c := range cases {
		a := &attempt{err: c.err, events: c.events}
		if got := a.mayHaveCrashed(); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
