package gatewaydaemon

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// limitSettleTime is the time after which all entries keep a limit that an endpoint has stated.
	limitSettleTime = 3 * time.Second
	// limitWindow, limitTolerance and limitSlack define the largest number of requests that an endpoint
	// may get in any window: tolerance times what its limit allows, and slack further ones.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// checkLimit fails the test if an endpoint that stated a rate limit at a time got too many requests.
func checkLimit(t *testing.T, s *fleettest.Server, limit float64, namedAt time.Time) {
	t.Helper()
	allowed := int(limitTolerance*limit*limitWindow.Seconds() + limitSlack)
	most := s.MostArrivals(namedAt.Add(limitSettleTime), limitWindow)
	if most > allowed {
		t.Errorf("%s got %d requests in %v, allowed %d", s.ID, most, limitWindow, allowed)
	}
}

// sendLoad sends requests to all entries until the time until, from a fixed number of clients at each, and
// returns how many requests were sent and how many of them were not answered with status 200.
func (d *deployment) sendLoad(until time.Time, method, path string, header http.Header) (sent, failed int64) {
	const clients = 2
	var wg sync.WaitGroup
	var sentCount, failedCount atomic.Int64
	for _, e := range d.entries {
		for range clients {
			wg.Go(func() {
				for time.Now().Before(until) {
					sentCount.Add(1)
					if r := d.send(e, method, path, header); r.status != http.StatusOK || r.err != nil {
						failedCount.Add(1)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return sentCount.Load(), failedCount.Load()
}

// An endpoint that states a rate limit gets no more than that from all entries together, while the load stays
// at a hundred times the limit. The other endpoint serves the rest.
func TestEntriesKeepNamedLimitTogether(t *testing.T) {
	const limit = 1.0
	d := newDeployment(t, 6)
	limited, _, _, _, _ := d.startEndpoints(nil)
	d.waitReady()
	limited.SetLimit(limit)
	namedAt := time.Now()
	sent, failed := d.sendLoad(namedAt.Add(limitSettleTime+2*limitWindow), http.MethodGet, "/look/x", nil)
	checkLimit(t, limited, limit, namedAt)
	if failed > 0 {
		t.Errorf("%d of %d requests were not served, though one endpoint has no limit", failed, sent)
	}
}

// The calls of the stages keep a limit too.
func TestStageCallsKeepNamedLimit(t *testing.T) {
	const limit = 1.0
	d := newDeployment(t, 2)
	_, _, _, _, portal := d.startEndpoints(nil)
	d.waitReady()
	portal.SetLimit(limit)
	namedAt := time.Now()
	d.sendLoad(namedAt.Add(limitSettleTime+2*limitWindow), http.MethodPost, "/stream/staged/x", http.Header{"Azurelead-Chunks": {"1,2"}, "Azurelead-Chunk-Key": {"k"}})
	checkLimit(t, portal, limit, namedAt)
}

// All engines of a service state rate limits far below the load. Together the entries use at least half of what
// the limits allow, and requests that find no engine are refused before their stages run.
func TestLimitedEnginesAreSharedOut(t *testing.T) {
	const limit, seconds = 4.0, 10
	d := newDeployment(t, 3)
	_, _, engine1, engine2, portal := d.startEndpoints(nil)
	d.waitReady()
	engine1.SetLimit(limit)
	engine2.SetLimit(limit)
	namedAt := time.Now()
	sent, failed := d.sendLoad(namedAt.Add(seconds*time.Second), http.MethodPost, "/stream/staged/x", http.Header{"Azurelead-Chunks": {"1,0"}, "Azurelead-Chunk-Key": {"k"}})
	for _, engine := range []*fleettest.Server{engine1, engine2} {
		checkLimit(t, engine, limit, namedAt)
	}
	served, made := sent-failed, int64(portal.MadeResults())
	if allowed := int64(2 * limit * seconds); served < allowed/2 {
		t.Errorf("%d of %d requests served, want at least half of the %d that the limits allow", served, sent, allowed)
	}
	if wasted := made - served; wasted > served/4 {
		t.Errorf("stages ran for %d requests, %d of them in vain", made, wasted)
	}
}
