package gatewaydaemon

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// longestAnswer is longer than the answers in these tests whose framing shows that they are cut.
	longestAnswer = 340
	// headStep is the distance between the bytes at which answers break off.
	headStep = 3
)

// headEnd ends the last line of a head.
const headEnd = "\r\n\r\n"

// answerBreaker breaks off answers after some bytes.
type answerBreaker struct {
	matches func(r *http.Request) bool

	mu sync.Mutex
	// bytes is the length at which answers break off, left the number of answers that do.
	bytes, left int
}

// set makes the next answers break off after n bytes.
func (b *answerBreaker) set(n, answers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes, b.left = n, answers
}

// limit implements the function of fleettest.Server.SetAnswerLimit.
func (b *answerBreaker) limit(r *http.Request) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 || !b.matches(r) {
		return 0, false
	}
	b.left--
	return b.bytes, true
}

// An endpoint closes its connection in the head of its answer, at any byte. No client may get a success that the
// endpoint has not sent whole, and one broken answer must not fail a request that may be repeated.
func TestAnswerThatBreaksOffInItsHead(t *testing.T) {
	const all = 100 // more answers than there are attempts
	isRequest := func(r *http.Request) bool { return r.URL.Path != "/stage-run" && r.URL.Path != "/stage-free" }
	isStageCall := func(r *http.Request) bool { return r.URL.Path == "/stage-run" }
	isContinuation := func(r *http.Request) bool { return r.Header.Get("Last-Event-Id") != "" }
	cases := []struct {
		name, method, path string
		behaviour          fleettest.Behaviour
		matches            func(r *http.Request) bool
		// broken is the number of answers that break off.
		broken int
		served bool
		// inHead is set if answers break off up to the end of their head only: nothing shows that the rest is cut, or
		// that it is not.
		inHead bool
		// interim is set if an interim response precedes each answer.
		interim bool
	}{
		{"whole answers", "GET", "/look/x", fleettest.Serve, isRequest, all, false, false, false},
		{"one whole answer", "GET", "/look/x", fleettest.Serve, isRequest, 1, true, false, false},
		{"answer without a length", "POST", "/book/x", fleettest.CloseDelimited, isRequest, all, false, true, false},
		{"answer after an interim one", "POST", "/book/x", fleettest.Interim, isRequest, all, false, false, false},
		{"stream that may not be resumed", "POST", "/stream/plain/x", fleettest.Serve, isRequest, all, false, false, false},
		{"stream without a length", "POST", "/stream/plain/x", fleettest.CloseDelimited, isRequest, all, false, true, false},
		{"one stream", "POST", "/stream/again/x", fleettest.Serve, isRequest, 1, true, true, false},
		{"rest of a stream", "POST", "/stream/again/x", fleettest.ResetMidEvent, isContinuation, all, false, false, false},
		{"stage call", "POST", "/stream/staged/x", fleettest.Serve, isStageCall, 1, true, false, false},
		{"engine without the results", "POST", "/stream/staged/x", fleettest.InputsGone, isRequest, all, false, false, false},
		{"interim response before a whole answer without a length", "POST", "/book/x", fleettest.CloseDelimited, isRequest, all, false, true, true},
		{"interim response before a stream", "POST", "/stream/plain/x", fleettest.Serve, isRequest, all, false, false, true},
		{"interim response before a stream without a length", "POST", "/stream/plain/x", fleettest.CloseDelimited, isRequest, all, false, true, true},
		{"interim response before the rest of a stream", "POST", "/stream/again/x", fleettest.ResetMidEvent, isContinuation, all, false, false, true},
		{"interim response before a stage call", "POST", "/stream/staged/x", fleettest.Serve, isStageCall, 1, true, false, true},
		{"interim response before an engine without the results", "POST", "/stream/staged/x", fleettest.InputsGone, isRequest, all, false, false, true},
		{"another success than a stream, without a length", "POST", "/stream/plain/x", fleettest.CreatedCloseDelimited, isRequest, all, false, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			api1, api2, engine1, engine2, portal := d.startEndpoints(nil)
			breaker := &answerBreaker{matches: c.matches}
			for _, s := range []*fleettest.Server{api1, api2, engine1, engine2, portal} {
				s.SetAnswerLimit(breaker.limit)
				if s != portal {
					s.SetBehaviour(func(_ int, r *http.Request) fleettest.Behaviour {
						if c.behaviour == fleettest.ResetMidEvent && isContinuation(r) {
							return fleettest.Serve
						}
						return c.behaviour
					})
				}
			}
			d.waitReady()
			limit := longestAnswer
			if c.inHead {
				limit = len(headOf(t, engine1.Address(), c.path))
			}
			if c.interim {
				limit += len(fleettest.InterimResponse)
				for _, s := range []*fleettest.Server{api1, api2, engine1, engine2, portal} {
					s.SetInterim()
				}
			}
			for n := limit; n > 0; n -= headStep {
				breaker.set(n, c.broken)
				for _, service := range []string{"api", "llm"} {
					d.entries[0].daemon.retryBudgets.For(service).Deposit(1000)
				}
				r := d.send(d.entries[0], c.method, c.path, http.Header{"Azurelead-Chunks": {"1,1"}, "Azurelead-Chunk-Key": {"k"}})
				complete := r.err == nil && r.status == http.StatusOK
				whole := strings.HasSuffix(r.body, " to "+r.id)
				if strings.HasPrefix(c.path, "/stream/") {
					whole = r.body == events(3)
				}
				if complete && !whole || c.served && !complete || r.status == http.StatusOK && !strings.HasPrefix(events(3), r.body) && !whole {
					t.Errorf("after %d bytes: %+v", n, r)
				}
			}
		})
	}
}

// Half a refusal does not say that the request has not run.
func TestRefusalThatBreaksOffInItsHead(t *testing.T) {
	for _, c := range []struct {
		name      string
		behaviour fleettest.Behaviour
		interim   bool
	}{
		{"refusal", fleettest.Shed, false},
		{"refusal for a time", fleettest.Pause, false},
		{"interim response before a refusal", fleettest.Shed, true},
		{"interim response before a refusal for a time", fleettest.Pause, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			api1, api2, _, _, _ := d.startEndpoints(nil)
			breaker := &answerBreaker{matches: func(*http.Request) bool { return true }}
			for _, s := range []*fleettest.Server{api1, api2} {
				s.SetAnswerLimit(breaker.limit)
				s.SetBehaviour(alwaysBehave(c.behaviour))
			}
			d.waitReady()
			head := len(headOf(t, api1.Address(), "/book/x"))
			if c.interim {
				head += len(fleettest.InterimResponse)
				api1.SetInterim()
				api2.SetInterim()
			}
			for n := 1; n < head; n += headStep {
				breaker.set(n, 1)
				if r := d.send(d.entries[0], "POST", "/book/x", nil); r.err != nil || r.status != http.StatusBadGateway {
					t.Errorf("after %d of %d bytes: %+v", n, head, r)
				}
			}
		})
	}
}

// headOf returns the head of an endpoint's answer to a request.
func headOf(t *testing.T, address, path string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, requestHead(path, "id-1", 0))
	var head []byte
	for buf := make([]byte, 1); !strings.HasSuffix(string(head), headEnd); {
		if _, err := c.Read(buf); err != nil {
			t.Fatal(err)
		}
		head = append(head, buf...)
	}
	return string(head)
}

// A client takes a stream up again, and the next engine closes its connection in the head of its answer.
func TestResumedStreamThatBreaksOffInItsHead(t *testing.T) {
	const eventCount, received = 3, 1
	rest := strings.TrimPrefix(events(eventCount), events(received))
	for _, c := range []struct {
		name      string
		behaviour fleettest.Behaviour
		interim   bool
		// broken is the number of answers that break off.
		broken int
		inHead bool
	}{
		{"one answer in chunks", fleettest.Serve, false, 1, false},
		{"all answers in chunks", fleettest.Serve, false, 100, false},
		{"all answers without a length", fleettest.CloseDelimited, false, 100, true},
		{"one answer after an interim response", fleettest.Serve, true, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			_, _, engine1, engine2, _ := d.startEndpoints(nil)
			breaker := &answerBreaker{matches: func(*http.Request) bool { return true }}
			for _, s := range []*fleettest.Server{engine1, engine2} {
				s.SetBehaviour(alwaysBehave(c.behaviour))
				s.SetAnswerLimit(breaker.limit)
			}
			d.waitReady()
			limit := longestAnswer
			if c.inHead {
				limit = len(headOf(t, engine1.Address(), "/stream/again/x"))
			}
			if c.interim {
				engine1.SetInterim()
				engine2.SetInterim()
			}
			for n := limit; n > 0; n -= headStep {
				d.entries[0].daemon.retryBudgets.For("llm").Deposit(1000)
				first := d.send(d.entries[0], "POST", "/stream/again/x", nil)
				breaker.set(n, c.broken)
				r := d.send(d.entries[0], "POST", "/stream/again/x", http.Header{"Resumes": {first.id}, "Last-Event-Id": {strconv.Itoa(received)}})
				breaker.set(0, 0)
				complete := r.err == nil && r.status == http.StatusOK
				// With nothing to add after the last event, the next engine shows no complete stream.
				ended := complete || r.body == rest
				if complete && r.body != rest || c.broken == 1 && !ended || r.status == http.StatusOK && !strings.HasPrefix(rest, r.body) {
					t.Errorf("after %d bytes: %+v", n, r)
				}
			}
		})
	}
}
