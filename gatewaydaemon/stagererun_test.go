package gatewaydaemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// dispatcherAndOther returns the elected dispatcher of two linked entries, and the other one.
func (d *deployment) dispatcherAndOther() (dispatcher, other *entry) {
	d.t.Helper()
	d.eventually("both elect one dispatcher", func() bool {
		dispatcher, other = nil, nil
		for _, e := range d.entries {
			if len(e.daemon.mesh.LivePeers()) < len(d.entries)-1 {
				return false
			}
			if e.daemon.mesh.Dispatches() {
				dispatcher = e
			} else {
				other = e
			}
		}
		return dispatcher != nil && other != nil
	})
	return dispatcher, other
}

// The release of the former run of a request's stages reaches the dispatcher after the next run was submitted,
// and must not end that: the request would be held until its deadline.
func TestRerunOfStagesOutlivesReleaseOfFormerRun(t *testing.T) {
	d := newDeployment(t, 2)
	_, _, engine1, engine2, _ := d.startEndpoints(nil)
	var mu sync.Mutex
	refused := make(map[string]bool)
	for _, s := range []*fleettest.Server{engine1, engine2} {
		s.SetBehaviour(func(_ int, r *http.Request) fleettest.Behaviour {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("Azurelead-Attempt-Id")
			if refused[id] {
				return fleettest.Serve
			}
			refused[id] = true
			return fleettest.InputsGone
		})
	}
	d.waitReady()
	_, other := d.dispatcherAndOther()
	for i := range 10 {
		other.daemon.retryBudgets.For("llm").Deposit(1000)
		r := d.send(other, "POST", "/stream/staged/x", http.Header{"Azurelead-Chunks": {"1,2"}, "Azurelead-Chunk-Key": {fmt.Sprint("k", i)}})
		if r.status != http.StatusOK || r.body != events(3) {
			t.Errorf("request %d: %+v", i, r)
		}
	}
}
