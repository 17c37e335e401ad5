package gatewaydaemon

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// A stream whose first event does not come while its client waits must be answered before the client leaves, although
// its deadline is much later.
func TestStreamWithoutFirstEventIsAnswered(t *testing.T) {
	const deadline = 20 * time.Second // the route's clients wait two seconds for an event
	fields := map[string]any{"timeoutMs": deadline.Milliseconds(), "attempts": 2}
	cases := []struct {
		name    string
		change  map[string]any
		prepare func(d *deployment, engines []*fleettest.Server)
	}{
		{"one attempt", map[string]any{"attempts": 1}, func(*deployment, []*fleettest.Server) {}},
		{"retry budget spent", nil, func(d *deployment, _ []*fleettest.Server) {
			for budget := d.entries[0].daemon.retryBudgets.For("llm"); budget.TryWithdraw(); {
			}
		}},
		{"not to be repeated", map[string]any{"resumable": false}, func(*deployment, []*fleettest.Server) {}},
		{"replacement hangs as well", nil, func(*deployment, []*fleettest.Server) {}},
		{"comments before the first event", nil, func(_ *deployment, engines []*fleettest.Server) {
			for _, e := range engines {
				e.SetEndlessPace(0, 200*time.Millisecond)
				e.SetBehaviour(alwaysBehave(fleettest.EndlessStream))
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d, engines, _ := silentDeployment(t)
			for _, e := range engines {
				e.SetBehaviour(alwaysBehave(fleettest.Hang))
			}
			changes := maps.Clone(fields)
			maps.Copy(changes, c.change)
			d.putSilentRoutes(3, changes)
			d.eventually("the route is in force", func() bool { return d.entries[0].daemon.table.Load().Version == 3 })
			c.prepare(d, engines)
			start := time.Now()
			r := d.send(d.entries[0], "POST", "/stream/long/x", http.Header{
				"Azurelead-Chunks": {"1"}, "Azurelead-Chunk-Key": {"k"}, "Azurelead-Timeout-Ms": {fmt.Sprint(deadline.Milliseconds())},
			})
			if took := time.Since(start); r.err != nil || r.status != http.StatusGatewayTimeout || took > deadline/2 {
				t.Errorf("status %d, error %v after %v, want status 504 within the client's patience", r.status, r.err, took)
			}
		})
	}
}

// A body that takes longer to arrive than its client would wait for an event must not leave its stream without time: the
// client begins to wait when it has sent the request.
func TestStreamOfSlowUploadIsServed(t *testing.T) {
	const parts = 10
	d, _, _ := silentDeployment(t)
	conn := d.open()
	_, _ = fmt.Fprintf(conn, "POST /stream/long/x HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: slow\r\nAzurelead-Chunks: 1\r\n"+
		"Azurelead-Chunk-Key: k\r\nAzurelead-Timeout-Ms: 9000\r\nContent-Length: %d\r\n\r\n", parts)
	for range parts {
		time.Sleep(250 * time.Millisecond)
		_, _ = io.WriteString(conn, "x")
	}
	if r := readResult(conn); r.err != nil || r.status != http.StatusOK {
		t.Errorf("%+v", r)
	}
}
