package coordinate

import (
	"log/slog"
	"testing"

	"github.com/azurelead/azurelead/peers"
)

// While the dispatcher was at work for long, submissions had no answer, and changes of the configuration and the endpoints were
// not applied.
func TestBusyDispatcherIsNotAwaitedForever(t *testing.T) {
	c := New(Options{Logger: slog.New(slog.DiscardHandler)})
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.Submit(t.Context(), peers.Job{ID: "a", DeadlineMS: 20, Subject: "s"}, nil)
	if !o.Refused || o.RetryAfterMS <= 0 {
		t.Errorf("%+v, want a refusal with a time to come back", o)
	}
	c.SetServices(nil)
	c.InvalidateEndpoints()
}
