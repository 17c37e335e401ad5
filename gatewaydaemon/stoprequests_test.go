package gatewaydaemon

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// graceTime is the grace period of the tests' entries.
const graceTime = 8 * time.Second

// stoppingDeployment starts one entry with endpoints of every service and routes whose time-outs exceed the grace
// period. All endpoints behave in one way.
func stoppingDeployment(t *testing.T, b fleettest.Behaviour) (*deployment, []*fleettest.Server) {
	d := newDeployment(t, 1)
	api1, api2, engine1, engine2, portal := d.startEndpoints(nil)
	servers := []*fleettest.Server{api1, api2, engine1, engine2, portal}
	for _, s := range servers {
		s.SetBehaviour(alwaysBehave(b))
	}
	long := func(more map[string]any) map[string]any {
		fields := map[string]any{"timeoutMs": 20000, "targetLatencyMs": 20000}
		for k, v := range more {
			fields[k] = v
		}
		return fields
	}
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(2,
		[]map[string]any{
			fleettest.Route("look", "/look/", "idempotent", "api", long(nil)),
			fleettest.Route("book", "/book/", "non_idempotent", "api", long(nil)),
			fleettest.Route("plain", "/stream/plain/", "streaming", "llm", long(nil)),
			fleettest.Route("again", "/stream/again/", "streaming", "llm", long(map[string]any{"resumable": true})),
			fleettest.Route("staged", "/stream/staged/", "streaming", "llm", long(map[string]any{
				"stages": []map[string]any{{"service": "portal", "after": []int{}, "bytes": 8000}},
			})),
		},
		[]map[string]any{fleettest.Service("api"), fleettest.EngineService("llm"), fleettest.StageService("portal")}, nil))
	d.waitReady()
	d.eventually("the routes are in force", func() bool { return d.entries[0].daemon.table.Load().Version == 2 })
	return d, servers
}

// open opens a client's connection to the first entry.
func (d *deployment) open() net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.entries[0].front)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = c.Close() })
	return c
}

// requestHead returns the head of a request with a body of size bytes.
func requestHead(path, id string, size int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: %s\r\nAzurelead-Timeout-Ms: 20000\r\nAzurelead-Chunks: 1\r\nAzurelead-Chunk-Key: k\r\nContent-Length: %d\r\n\r\n", path, id, size)
}

// readResult reads the response to the request on a connection.
func readResult(c net.Conn) result { return readNext(bufio.NewReader(c)) }

// readNext reads the next response on a connection.
func readNext(reader *bufio.Reader) result {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, body: string(body), err: err, header: resp.Header, closes: resp.Close}
}

// runsOf returns how often endpoints ran a request.
func runsOf(servers []*fleettest.Server, id string) int {
	n := 0
	for _, s := range servers {
		for _, run := range s.Runs() {
			if run.AttemptID == id {
				n++
			}
		}
	}
	return n
}

// A request whose body is complete only after a stopping entry has begun to reject must not be passed on: it would be
// cut at the end of the grace period.
func TestRequestReadAfterRejectionIsNotPassedOn(t *testing.T) {
	t.Parallel()
	d, servers := stoppingDeployment(t, fleettest.Hang)
	hold := d.open() // keeps the entry from ending early
	_, _ = io.WriteString(hold, requestHead("/stream/again/x", "hold", 0))
	d.eventually("a request runs", func() bool { return runsOf(servers, "hold") > 0 })
	conns := make(map[string]net.Conn)
	for _, path := range []string{"/book/x", "/look/x", "/stream/plain/x", "/stream/again/x"} {
		conns[path] = d.open()
		_, _ = io.WriteString(conns[path], requestHead(path, path, 6)+"abc")
	}
	d.entries[0].stop()
	time.Sleep(rejectAfter + 300*time.Millisecond)
	for _, c := range conns {
		_, _ = io.WriteString(c, "def")
	}
	for path, c := range conns {
		if r := readResult(c); r.err != nil || r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || runsOf(servers, path) > 0 {
			t.Errorf("%s: %d runs, %+v", path, runsOf(servers, path), r)
		}
	}
}

// A request that waits for its stages must not be passed on so late that it is cut at the end of the grace period.
func TestWaitingRequestIsRefusedBeforeEndOfGrace(t *testing.T) {
	t.Parallel()
	d, servers := stoppingDeployment(t, fleettest.Hang)
	portal := servers[len(servers)-1]
	released := make(chan struct{})
	portal.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
		select {
		case <-released:
			return fleettest.Serve
		default:
			return fleettest.Shed
		}
	})
	c := d.open()
	_, _ = io.WriteString(c, requestHead("/stream/staged/x", "waiting", 0))
	d.eventually("the stage is called", func() bool { return portal.Requests() > 0 })
	d.entries[0].stop()
	time.AfterFunc(graceTime*2/3, func() { close(released) })
	r := readResult(c)
	if r.err != nil || r.status != http.StatusServiceUnavailable || r.header.Get("Retry-After") == "" || runsOf(servers, "waiting") > 0 {
		t.Errorf("%d runs, %+v", runsOf(servers, "waiting"), r)
	}
	select {
	case <-d.entries[0].done:
	case <-time.After(graceTime):
		t.Error("the entry has not ended")
	}
}

// Requests that endpoints still work on at the end of the grace period get an answer that does not claim that they have
// not run, and a stream that has begun is not left open. The process ends after that.
func TestRequestsAtEndOfGraceAreAnswered(t *testing.T) {
	t.Parallel()
	cases := []struct {
		path      string
		behaviour fleettest.Behaviour
		begun     bool
	}{
		{"/look/x", fleettest.Hang, false}, {"/book/x", fleettest.Hang, false}, {"/stream/plain/x", fleettest.Hang, false}, {"/stream/again/x", fleettest.Hang, false},
		{"/stream/plain/y", fleettest.StallAfterEvent, true}, {"/stream/again/y", fleettest.StallAfterEvent, true},
	}
	d, servers := stoppingDeployment(t, fleettest.Hang)
	for _, s := range servers {
		s.SetBehaviour(func(_ int, r *http.Request) fleettest.Behaviour {
			for _, c := range cases {
				if c.path == r.URL.Path {
					return c.behaviour
				}
			}
			return fleettest.Serve
		})
	}
	d.entries[0].stop()
	conns := make(map[string]net.Conn)
	for _, c := range cases {
		conns[c.path] = d.open()
		_, _ = io.WriteString(conns[c.path], requestHead(c.path, c.path, 0))
	}
	for _, c := range cases {
		d.eventually("the request runs", func() bool { return runsOf(servers, c.path) > 0 })
	}
	<-d.entries[0].done
	for _, c := range cases {
		_ = conns[c.path].SetReadDeadline(time.Now().Add(time.Second)) // all was sent before the end
		r := readResult(conns[c.path])
		var timeout net.Error
		switch {
		case c.begun && (r.err == nil || errors.As(r.err, &timeout) && timeout.Timeout() || !strings.HasPrefix(events(2), r.body)):
			t.Errorf("%s is not broken off: %+v", c.path, r)
		case !c.begun && (r.err != nil || r.status != http.StatusBadGateway):
			t.Errorf("%s: %+v", c.path, r)
		}
	}
}

// While a stopping entry still has requests in flight, it answers new ones as not run, on whatever connection they come.
func TestStoppingEntryAnswersNewRequests(t *testing.T) {
	t.Parallel()
	d, servers := stoppingDeployment(t, fleettest.Serve)
	used := d.open()
	_, _ = io.WriteString(used, requestHead("/look/x", "before", 0))
	if r := readResult(used); r.status != http.StatusOK {
		t.Fatalf("%+v", r)
	}
	conns := map[string]net.Conn{"used": used, "unused": d.open(), "partial": d.open()}
	const partial = 20 // bytes of the head
	_, _ = io.WriteString(conns["partial"], requestHead("/book/x", "partial", 0)[:partial])
	for _, s := range servers {
		s.SetBehaviour(alwaysBehave(fleettest.Hang))
	}
	_, _ = io.WriteString(d.open(), requestHead("/book/x", "hold", 0))
	d.eventually("a request is in flight", func() bool { return runsOf(servers, "hold") > 0 })
	d.entries[0].stop()
	time.Sleep(rejectAfter + 300*time.Millisecond)
	conns["new"] = d.open()
	for name, c := range conns {
		head := requestHead("/book/x", name, 0)
		if name == "partial" {
			head = head[partial:]
		}
		_, _ = io.WriteString(c, head)
		if r := readResult(c); r.err != nil || r.status != http.StatusServiceUnavailable || !r.closes || runsOf(servers, name) > 0 {
			t.Errorf("on a connection that was %s: %d runs, %+v", name, runsOf(servers, name), r)
		}
	}
}
