package coordinate

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/peers"
	"github.com/azurelead/azurelead/roster"
)

// While the dispatcher was busy, submissions had no answer, and changes of the configuration and the endpoints were not applied.
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

// Handles of results were freed while the services changed.
func TestServicesChangeBesideTheirUse(t *testing.T) {
	c := New(Options{Logger: slog.New(slog.DiscardHandler), Roster: roster.New(nil)})
	var users sync.WaitGroup
	for i := range 2 {
		users.Go(func() {
			for n := range 1000 {
				if i == 0 {
					c.SetServices(map[string]*catalog.Service{fmt.Sprint("s", n%10): {Name: "s"}})
					c.expire()
				} else {
					c.FreeHandles([]string{"a"})
				}
			}
		})
	}
	users.Wait()
}
