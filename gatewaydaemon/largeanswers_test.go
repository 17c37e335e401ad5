package gatewaydaemon

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
	"github.com/azurelead/azurelead/roster"
)

// Answers of a sound endpoint were lost because they were large and came at once, and the endpoint counted as failed.
func TestLargeAnswersAtOnceAreServed(t *testing.T) {
	const requests, size, patience = 40, 1 << 20, time.Minute // of an instance with 256 MB
	for name, length := range map[string]string{"stated length": strconv.Itoa(size), "chunks": ""} {
		d := newDeployment(t, 1)
		api, other, _, _, _ := d.startEndpoints(nil)
		d.store.Delete(fleet.KindEndpoints, other.ID)
		arrived := make(chan bool, 2*requests)
		sound := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Azurelead-Attempt-Id", r.Header.Get("Azurelead-Attempt-Id"))
			w.Header().Set("Azurelead-Server-Signature", "s")
			if !strings.HasSuffix(r.URL.Path, "/large") {
				return
			}
			for arrived <- true; len(arrived) < requests; time.Sleep(time.Millisecond) {
				if r.Context().Err() != nil {
					return
				}
			}
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = w.Write(bytes.Repeat([]byte("x"), size))
		}))
		t.Cleanup(sound.Close)
		spec := api.EndpointSpec("api", "north")
		spec["address"] = sound.Listener.Addr().String()
		d.store.Put(fleet.KindEndpoints, api.ID, spec)
		d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(2,
			[]map[string]any{fleettest.Route("book", "/book/", "non_idempotent", "api", map[string]any{"timeoutMs": patience.Milliseconds()})},
			[]map[string]any{fleettest.Service("api")}, nil))
		d.waitReady()
		d.eventually("the route is in force", func() bool { return d.entries[0].daemon.table.Load().Version == 2 })
		healthy := func() bool {
			return len(d.entries[0].daemon.roster.Candidates(time.Now(), roster.Filter{Service: "api", Healthy: true})) == 1
		}
		d.eventually("the endpoint is known", func() bool {
			return healthy() && d.send(d.entries[0], http.MethodPost, "/book/x", nil).status == http.StatusOK
		})
		var mu sync.Mutex
		lost, failed := make(map[int]int), false // by status
		var group sync.WaitGroup
		for range requests {
			group.Go(func() {
				r := d.send(d.entries[0], http.MethodPost, "/book/large", http.Header{"Azurelead-Timeout-Ms": {fmt.Sprint(patience.Milliseconds())}})
				mu.Lock()
				defer mu.Unlock()
				if r.status != http.StatusOK || r.err != nil || len(r.body) != size {
					lost[r.status]++
				}
				failed = failed || !healthy()
			})
		}
		group.Wait()
		if len(lost) > 0 || failed {
			t.Errorf("%s: answers of %d requests were lost: %v by status, the endpoint counted as failed: %t", name, requests, lost, failed)
		}
	}
}
