package gatewaydaemon

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/azurelead/azurelead/catalog"
	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

// The process of an engine ends between two events of a stream without a length. Its kernel closes the connection
// like that of a complete stream, which the client must not get.
func TestStreamOfExitedEngineIsNotComplete(t *testing.T) {
	const eventCount, eventGap = 12, 30 * time.Millisecond
	for _, c := range []struct {
		path      string
		resumable bool
	}{{"/stream/again/x", true}, {"/stream/plain/x", false}} {
		t.Run(c.path, func(t *testing.T) {
			d := newDeployment(t, 1)
			engines := d.startEngines(2, 2)
			for _, e := range engines {
				e.SetStream(eventCount, eventGap)
				e.SetBehaviour(alwaysBehave(fleettest.CloseDelimited))
			}
			answered := make(chan result, 1)
			go func() { answered <- d.send(d.entries[0], "POST", c.path, nil) }()
			d.eventually("an engine has the request", func() bool { return len(engines[0].Runs())+len(engines[1].Runs()) > 0 })
			time.Sleep(4 * eventGap)
			first := engines[slices.IndexFunc(engines, func(e *fleettest.Server) bool { return len(e.Runs()) > 0 })]
			first.Exit()
			r := <-answered
			switch {
			case c.resumable && (r.err != nil || r.body != events(eventCount)):
				t.Errorf("status %d, error %v, stream %q", r.status, r.err, r.body)
			case !c.resumable && r.err == nil:
				t.Errorf("%d of %d events look complete", strings.Count(r.body, "\n\n"), eventCount)
			}
		})
	}
}

// An engine ends between two events of a stream without a length, and connections to its address are accepted all the
// same, by its next process or by a relay in front of it.
func TestStreamOfReplacedProcessIsNotComplete(t *testing.T) {
	const eventCount, eventGap = 12, 30 * time.Millisecond
	ends := map[string]func(t *testing.T, e *fleettest.Server){
		"started again": func(t *testing.T, e *fleettest.Server) {
			if err := e.ExitAndRestart(); err != nil {
				t.Error(err)
			}
		},
		"behind a relay": func(_ *testing.T, e *fleettest.Server) { e.Exit() },
	}
	for name, end := range ends {
		for _, path := range []string{"/stream/again/x", "/stream/plain/x"} {
			t.Run(name+path, func(t *testing.T) {
				d := newDeployment(t, 1)
				engines := d.startEngines(2, 2)
				for _, e := range engines {
					e.SetStream(eventCount, eventGap)
					e.SetBehaviour(alwaysBehave(fleettest.CloseDelimited))
					d.relist(e, startRelay(t, e.Address()))
				}
				answered := make(chan result, 1)
				go func() { answered <- d.send(d.entries[0], "POST", path, nil) }()
				d.eventually("an engine has the request", func() bool { return len(engines[0].Runs())+len(engines[1].Runs()) > 0 })
				time.Sleep(4 * eventGap)
				end(t, engines[slices.IndexFunc(engines, func(e *fleettest.Server) bool { return len(e.Runs()) > 0 })])
				r := <-answered
				resumable := path == "/stream/again/x"
				switch {
				case resumable && (r.err != nil || r.body != events(eventCount)):
					t.Errorf("status %d, error %v, stream %q", r.status, r.err, r.body)
				case !resumable && r.err == nil:
					t.Errorf("%d of %d events look complete", strings.Count(r.body, "\n\n"), eventCount)
				}
			})
		}
	}
}

// An endpoint of an application service takes the question for its report for a request that no client has sent.
func TestApplicationEndpointIsNotAskedForReport(t *testing.T) {
	for name, behaviours := range map[string][]fleettest.Behaviour{
		"end of a response without a length": {fleettest.CloseDelimited},
		"stream that goes on elsewhere":      {fleettest.CloseMidEvent, fleettest.Serve},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			api1, api2, _, _, _ := d.startEndpoints(nil)
			d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, fleettest.Configuration(2,
				[]map[string]any{fleettest.Route("again", "/stream/again/", "streaming", "api", map[string]any{"resumable": true, "attempts": 2})},
				[]map[string]any{fleettest.Service("api")}, nil))
			d.waitReady()
			d.eventually("the configuration is known", func() bool { return d.send(d.entries[0], "GET", "/look/x", nil).status == http.StatusNotFound })
			servers := []*fleettest.Server{api1, api2}
			before := api1.Requests() + api2.Requests()
			behaveInTurn(servers, behaviours...)
			r := d.send(d.entries[0], "POST", "/stream/again/x", nil)
			got := api1.Requests() + api2.Requests() - before
			if r.err != nil || r.body != events(3) || got != len(behaviours) {
				t.Errorf("%d requests, want %d; error %v, stream %q", got, len(behaviours), r.err, r.body)
			}
		})
	}
}

// startRelay starts a relay that accepts connections whether or not anything listens at target. It returns its address.
func startRelay(t *testing.T, target string) string {
	l, err := fleettest.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			downstream, err := l.Accept()
			if err != nil {
				return
			}
			go relay(downstream, target)
		}
	}()
	return l.Addr().String()
}

// relay passes bytes on between a connection and a target until one side closes.
func relay(downstream net.Conn, target string) {
	defer func() { _ = downstream.Close() }()
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{upstream, downstream}, {downstream, upstream}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1])
			done <- struct{}{}
		}()
	}
	<-done
}

// relist lists an engine of the service llm at another address.
func (d *deployment) relist(e *fleettest.Server, address string) {
	d.t.Helper()
	e.SetListedAddress(address)
	d.store.Put(fleet.KindEndpoints, e.ID, e.EndpointSpec("llm", "north"))
	d.eventually("the engine is known at its new address", func() bool {
		return slices.ContainsFunc(d.entries[0].daemon.roster.Endpoints(time.Now(), "llm"), func(c catalog.Endpoint) bool { return c.ID == e.ID && c.Address == address })
	})
}

// The process of an endpoint ends in the middle of a body without a length.
func TestBodyOfExitedEndpointIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		method, path string
		want         int
	}{{"GET", "/look/x", http.StatusOK}, {"POST", "/book/x", http.StatusBadGateway}} {
		t.Run(c.path, func(t *testing.T) {
			d := newDeployment(t, 1)
			api1, api2, _, _, _ := d.startEndpoints(nil)
			d.waitReady()
			for _, s := range []*fleettest.Server{api1, api2} {
				s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour {
					if len(api1.Runs())+len(api2.Runs()) > 0 {
						return fleettest.Serve
					}
					return fleettest.ExitMidResponse
				})
			}
			r := d.send(d.entries[0], c.method, c.path, nil)
			complete := strings.HasSuffix(r.body, " to "+r.id)
			if r.err != nil || r.status != c.want || r.status == http.StatusOK && !complete {
				t.Errorf("%+v", r)
			}
		})
	}
}

// An engine answers with another success than a stream, without a length, and its process or the connection ends before
// the body does. The client must not get the beginning of the body as a whole answer.
func TestBodyOfExitedEngineIsNotComplete(t *testing.T) {
	for name, prepare := range map[string]func(s *fleettest.Server){
		"the process ends inside of the body": func(s *fleettest.Server) { s.SetBehaviour(alwaysBehave(fleettest.ExitMidCreated)) },
		"the answer ends after its head": func(s *fleettest.Server) {
			s.SetBehaviour(alwaysBehave(fleettest.CreatedCloseDelimited))
			head := len(headOf(t, s.Address(), "/stream/plain/x"))
			s.SetAnswerLimit(func(*http.Request) (int, bool) { return head, true })
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			for _, s := range d.startEngines(2, 2) {
				prepare(s)
			}
			if r := d.send(d.entries[0], "POST", "/stream/plain/x", nil); r.err == nil && r.status/100 == 2 {
				t.Errorf("%+v", r)
			}
		})
	}
}
