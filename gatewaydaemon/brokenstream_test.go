package gatewaydaemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// streamFaults are the ways in which an engine may answer in place of going on with a stream.
var streamFaults = map[string]fleettest.Behaviour{
	"status 404":               fleettest.NotFoundAfterRun,
	"status 204":               fleettest.NoContentAfterRun,
	"status 500":               fleettest.FailAfterRun,
	"refusal":                  fleettest.Shed,
	"unsigned stream":          fleettest.Unsigned,
	"reset before the answer":  fleettest.ResetAfterRun,
	"end before the events":    fleettest.CloseBeforeEvents,
	"page with success":        fleettest.ErrorPage,
	"empty page with success":  fleettest.EmptyPage,
	"empty stream":             fleettest.EmptyStream,
	"error event":              fleettest.ErrorEvent,
	"error between two events": fleettest.ErrorBetweenEvents,
	"error inside of an event": fleettest.ErrorInsideEvent,
	"end inside of an event":   fleettest.CloseMidEvent,
	"reset inside of an event": fleettest.ResetMidEvent,
	"gap between two events":   fleettest.SkipEvent,
	"reset between two events": fleettest.ResetMidResponse,
}

// behaveInTurn makes the engines together handle the first requests in these ways, and serve the later ones.
func behaveInTurn(engines []*fleettest.Server, behaviours ...fleettest.Behaviour) {
	var mu sync.Mutex
	for _, s := range engines {
		s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
			mu.Lock()
			defer mu.Unlock()
			if len(behaviours) == 0 {
				return fleettest.Serve
			}
			b := behaviours[0]
			behaviours = behaviours[1:]
			return b
		})
	}
}

// startEngines starts engines with streams of 12 events, and a route for them whose streams may be resumed, with
// this number of attempts.
func (d *deployment) startEngines(engines, attempts int) []*fleettest.Server {
	_, _, engine1, engine2, _ := d.startEndpoints(nil)
	list := []*fleettest.Server{engine1, engine2}
	for len(list) < engines {
		s := fleettest.NewServer("more-" + string(rune('a'+len(list))))
		d.t.Cleanup(s.Close)
		d.store.Put(fleet.KindEndpoints, s.ID, s.EndpointSpec("llm", "north"))
		list = append(list, s)
	}
	for _, s := range list {
		s.SetStream(12, 0)
	}
	overrides := map[string]any{"resumable": true, "attempts": attempts}
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(2,
		[]map[string]any{
			fleettest.Route("again", "/stream/again/", "streaming", "llm", overrides),
			fleettest.Route("plain", "/stream/plain/", "streaming", "llm", nil),
		},
		[]map[string]any{fleettest.EngineService("llm"), fleettest.StageService("portal")}, nil))
	d.waitReady()
	e := d.entries[0]
	d.eventually("the engines and the route are known", func() bool {
		return len(e.daemon.roster.Endpoints(time.Now(), "llm")) == engines && d.send(e, "GET", "/look/x", nil).status == http.StatusNotFound
	})
	return list
}

// A stream had begun and broke off, and the next engine answers with an error. No byte of the error may reach the
// client, and what the client gets must not look complete.
func TestErrorOfNextEngineStaysOutOfStream(t *testing.T) {
	for name, b := range streamFaults {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			engines := d.startEngines(2, 2)
			behaveInTurn(engines, fleettest.CloseMidEvent, b, b, b)
			r := d.send(d.entries[0], "POST", "/stream/again/x", nil)
			if r.status != http.StatusOK || r.err == nil || !strings.HasPrefix(events(12), r.body) || r.body == "" {
				t.Errorf("status %d, error %v, stream %q", r.status, r.err, r.body)
			}
		})
	}
}

// A stream goes on at a third engine where the route allows it, whatever the second one answers.
func TestStreamGoesOnAfterErrorOfNextEngine(t *testing.T) {
	for name, b := range streamFaults {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			engines := d.startEngines(3, 3)
			behaveInTurn(engines, fleettest.CloseMidEvent, b)
			r := d.send(d.entries[0], "POST", "/stream/again/x", nil)
			if r.status != http.StatusOK || r.err != nil || r.body != events(12) {
				t.Errorf("status %d, error %v, stream %q", r.status, r.err, r.body)
			}
		})
	}
}

// An engine that starts a stream again from its first event adds only what the client does not have.
func TestRestartedStreamRepeatsNothing(t *testing.T) {
	d := newDeployment(t, 1)
	engines := d.startEngines(2, 2)
	behaveInTurn(engines, fleettest.CloseMidEvent, fleettest.RestartStream)
	r := d.send(d.entries[0], "POST", "/stream/again/x", nil)
	if r.status != http.StatusOK || r.err != nil || r.body != events(12) {
		t.Errorf("status %d, error %v, stream %q", r.status, r.err, r.body)
	}
}

// The length that an engine states for its stream does not bound a stream that goes on at another engine.
func TestStreamOfStatedLengthGoesOn(t *testing.T) {
	d := newDeployment(t, 1)
	engines := d.startEngines(2, 2)
	behaveInTurn(engines, fleettest.CloseSized)
	r := d.send(d.entries[0], "POST", "/stream/again/x", nil)
	if r.status != http.StatusOK || r.err != nil || r.body != events(12) || r.header.Get("Content-Length") != "" {
		t.Errorf("status %d, error %v, header %v, stream %q", r.status, r.err, r.header, r.body)
	}
}

// An engine that sends an error in place of its stream, or inside it, has not answered: the client of a stream that
// may not be resumed gets no success that looks complete.
func TestErrorInPlaceOfStreamIsNoSuccess(t *testing.T) {
	for _, name := range []string{"page with success", "empty page with success", "error event", "error between two events", "error inside of an event"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			engines := d.startEngines(2, 2)
			behaveInTurn(engines, streamFaults[name])
			r := d.send(d.entries[0], "POST", "/stream/plain/x", nil)
			complete := r.status == http.StatusOK && r.err == nil
			if complete || r.status == http.StatusOK && !strings.HasPrefix(events(12), r.body) {
				t.Errorf("status %d, error %v, stream %q", r.status, r.err, r.body)
			}
		})
	}
}

// An engine broke off a stream after its last event and before its end. The next one has nothing to add, which shows
// no complete stream; the client resumes it and then gets its end.
func TestStreamThatBrokeOffBeforeItsEnd(t *testing.T) {
	d := newDeployment(t, 1)
	engines := d.startEngines(2, 2)
	behaveInTurn(engines, fleettest.CloseBeforeEnd)
	r := d.send(d.entries[0], "POST", "/stream/again/x", nil)
	if r.status != http.StatusOK || r.err == nil || r.body != events(12) {
		t.Errorf("status %d, error %v, stream %q", r.status, r.err, r.body)
	}
	r = d.send(d.entries[0], "POST", "/stream/again/x", http.Header{"Resumes": {r.id}, "Last-Event-Id": {"12"}})
	if r.status != http.StatusOK || r.err != nil || r.body != "" {
		t.Errorf("resumed: status %d, error %v, stream %q", r.status, r.err, r.body)
	}
}

// A client that closes its side of the connection for writing counts as gone, and may still read. What it has got
// must not look complete, and if it has got nothing, it must be told that the request may have run.
func TestClosedClientGetsNoCompleteAnswer(t *testing.T) {
	cases := []struct {
		name, path string
		behaviour  fleettest.Behaviour
		begun      bool
	}{
		{"stream that has begun", "/stream/again/x", fleettest.Trickle, true},
		{"stream that has begun and may not be resumed", "/stream/plain/x", fleettest.Trickle, true},
		{"stream that has not begun", "/stream/plain/x", fleettest.Hang, false},
		{"whole answer", "/look/x", fleettest.Hang, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t, 1)
			api1, api2, engine1, engine2, _ := d.startEndpoints(nil)
			servers := []*fleettest.Server{api1, api2, engine1, engine2}
			for _, s := range servers {
				s.SetBehaviour(alwaysBehave(c.behaviour))
			}
			d.waitReady()
			conn, err := net.Dial("tcp", d.entries[0].front)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: left\r\nAzurelead-Timeout-Ms: 60000\r\nContent-Length: 0\r\n\r\n", c.path)
			d.eventually("the request runs", func() bool {
				return len(api1.Runs())+len(api2.Runs())+len(engine1.Runs())+len(engine2.Runs()) > 0
			})
			br := bufio.NewReader(conn)
			if c.begun {
				_, err = br.Peek(1)
			}
			if closeErr := conn.(*net.TCPConn).CloseWrite(); err != nil || closeErr != nil {
				t.Fatal(err, closeErr)
			}
			resp, err := http.ReadResponse(br, nil)
			if err != nil || !c.begun && resp.StatusCode != http.StatusBadGateway {
				t.Fatalf("response %+v, error %v", resp, err)
			}
			if body, err := io.ReadAll(resp.Body); c.begun != (err != nil) {
				t.Errorf("error %v after %q", err, body)
			}
			if _, err := br.ReadByte(); err != io.EOF {
				t.Errorf("the connection is still open: %v", err)
			}
		})
	}
}

// A client that closes its side of the connection with its request must get an answer, and a promise that the request
// has not run must be true.
func TestRequestOfHalfClosedClientIsAnswered(t *testing.T) {
	d, servers := stoppingDeployment(t, fleettest.Hang)
	for path, statuses := range map[string][]int{
		"/gone/x": {http.StatusNotFound}, "/look/x": {http.StatusBadGateway, http.StatusServiceUnavailable}, "/book/x": {http.StatusBadGateway, http.StatusServiceUnavailable},
		"/stream/plain/x": {http.StatusBadGateway, http.StatusServiceUnavailable}, "/stream/staged/x": {http.StatusBadGateway, http.StatusServiceUnavailable},
	} {
		for i := range 10 {
			id := fmt.Sprint(path, i)
			conn := d.open()
			_, _ = io.WriteString(conn, requestHead(path, id, 0))
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			r := readResult(conn)
			promised := r.status == http.StatusServiceUnavailable
			if r.err != nil || !slices.Contains(statuses, r.status) || promised && runsOf(servers, id) > 0 {
				t.Errorf("%s: %d runs, %+v", id, runsOf(servers, id), r)
			}
		}
	}
}

// A stream that broke off must not look complete to a client of HTTP/1.0, for which the end of the connection is the end
// of the response.
func TestBrokenStreamIsNoWholeResponseOfOldHTTP(t *testing.T) {
	d := newDeployment(t, 1)
	behaveInTurn(d.startEngines(2, 1), fleettest.CloseMidEvent)
	conn := d.open()
	_, _ = io.WriteString(conn, "POST /stream/plain/x HTTP/1.0\r\nHost: shop.example\r\nAzurelead-Attempt-Id: old\r\nAzurelead-Timeout-Ms: 6000\r\nContent-Length: 0\r\n\r\n")
	if r := readResult(conn); r.err == nil && r.status == http.StatusOK {
		t.Errorf("a whole response: %+v", r)
	}
}
