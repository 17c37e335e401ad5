package gatewaydaemon

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// The time of a request that reaches an entry before the entry knows the platform's state must count from then: its
// client does not wait for longer.
func TestTimeOfRequestCountsBeforeStateIsKnown(t *testing.T) {
	const routeTimeout, delay = 6 * time.Second, 300 * time.Millisecond
	for range 5 {
		d := &deployment{t: t, store: fleettest.NewStore()}
		t.Cleanup(d.store.Close)
		d.store.SetFault(fleettest.Busy)
		_, _, engine1, engine2, _ := d.startEndpoints(nil)
		conn := dialStarting(t, d.startEntry())
		_, _ = io.WriteString(conn, requestHead("/stream/again/x", "early", 0))
		time.Sleep(delay)
		d.store.SetFault(fleettest.Healthy)
		if r := readResult(conn); r.status == http.StatusServiceUnavailable {
			continue // the state was learnt too late
		}
		for _, run := range append(engine1.Runs(), engine2.Runs()...) {
			if run.Timeout > routeTimeout-delay {
				t.Errorf("the engine was given %v, want at most %v", run.Timeout, routeTimeout-delay)
			}
			return
		}
		t.Fatal("no engine ran the request")
	}
	t.Fatal("no request was served")
}

// dialStarting connects to an entry that has just been started.
func dialStarting(t *testing.T, e *entry) net.Conn {
	t.Helper()
	for range 1000 {
		if c, err := net.Dial("tcp", e.front); err == nil {
			t.Cleanup(func() { _ = c.Close() })
			return c
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the entry does not listen")
	return nil
}
