package upstream

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// newClient returns a client of endpoints that name the request in their responses.
func newClient(o Options) *Client {
	o.ResponseID = func(h http.Header) string { return h.Get("Azurelead-Attempt-Id") }
	return New(o)
}

func get(t *testing.T, c *Client, s *fleettest.Server, id string) (string, error) {
	t.Helper()
	resp, err := c.Do(t.Context(), Target{ID: s.ID, Address: s.Address()}, Request{
		Method: "GET", URI: "/x", Host: "h", Header: http.Header{"Azurelead-Attempt-Id": {id}},
		ID: id,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func newServer(t *testing.T, b fleettest.Behaviour) *fleettest.Server {
	s := fleettest.NewServer("s")
	t.Cleanup(s.Close)
	s.SetBehaviour(func(int, *http.Request) fleettest.Behaviour { return b })
	return s
}

func TestConnectionsAreReused(t *testing.T) {
	c := newClient(Options{})
	defer c.Close()
	s := newServer(t, fleettest.Serve)
	for range 5 {
		if body, err := get(t, c, s, "a"); err != nil || body != "answer of s to a" {
			t.Fatal(body, err)
		}
	}
	if n := s.Connections(); n != 1 {
		t.Errorf("%d connections for five requests, want 1", n)
	}
}

// After a burst of requests, no more connections may stay idle than the endpoint's share for this
// client.
func TestIdleConnectionsAreBounded(t *testing.T) {
	c := newClient(Options{MaxIdle: func(id string) int { return len(id) }})
	defer c.Close()
	s := newServer(t, fleettest.Serve)
	s.ID = "s2"
	var burst []*http.Response
	for range 6 {
		resp, err := c.Do(t.Context(), Target{ID: s.ID, Address: s.Address()}, Request{
			ID: "a", Method: "GET", URI: "/x", Host: "h", Header: http.Header{"Azurelead-Attempt-Id": {"a"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		burst = append(burst, resp)
	}
	for _, resp := range burst {
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle[idleKey{id: s.ID}]); n != 2 {
		t.Errorf("%d idle connections, want 2", n)
	}
}

// An endpoint that cannot be reached has not received the request. One whose connection failed
// later may have.
func TestNotSentOnlyIfNothingWasSent(t *testing.T) {
	c := newClient(Options{})
	defer c.Close()
	closed := newServer(t, fleettest.Serve)
	closed.Close()
	if _, err := get(t, c, closed, "a"); !NotSent.Has(err) {
		t.Errorf("endpoint does not listen: error is %v, want NotSent", err)
	}
	for _, b := range []fleettest.Behaviour{fleettest.ResetAfterRun, fleettest.ResetMidResponse} {
		if body, err := get(t, c, newServer(t, b), "a"); err == nil || NotSent.Has(err) {
			t.Errorf("behaviour %d: body %q, error %v, want an error other than NotSent", b, body, err)
		}
	}
}

// An endpoint that answers a request twice must not have its second response taken for that of the
// next request, however late it arrives.
func TestDuplicateResponsesAreDiscarded(t *testing.T) {
	c := newClient(Options{})
	defer c.Close()
	s := newServer(t, fleettest.DuplicateResponse)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		if body, err := get(t, c, s, id); err == nil && body != "answer of s to "+id {
			t.Errorf("request %s was answered with %q", id, body)
		}
	}
}

func TestCloseDelimitedResponsesAreComplete(t *testing.T) {
	c := newClient(Options{})
	defer c.Close()
	s := newServer(t, fleettest.CloseDelimited)
	for range 3 {
		if body, err := get(t, c, s, "a"); err != nil || body != "answer of s to a" {
			t.Error(body, err)
		}
	}
}

// Cancelling a call must close its connection, which tells the endpoint to drop the request.
func TestCancelClosesTheConnection(t *testing.T) {
	c := newClient(Options{})
	defer c.Close()
	s := newServer(t, fleettest.Hang)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, Target{ID: s.ID, Address: s.Address()}, Request{Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
		done <- err
	}()
	for len(s.Runs()) == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-s.Runs()[0].Closed
	if err := <-done; !Lost.Has(err) {
		t.Errorf("the call ended with %v, want Lost", err)
	}
}

// Connections to an incarnation that has ended must not be used for the next one at the same
// address.
func TestConnectionsBelongToAnIncarnation(t *testing.T) {
	c := newClient(Options{})
	defer c.Close()
	s := newServer(t, fleettest.Serve)
	if _, err := get(t, c, s, "a"); err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(t.Context(), Target{ID: "next", Address: s.Address()}, Request{Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if n := s.Connections(); n != 2 {
		t.Errorf("%d connections, want one for each incarnation", n)
	}
	c.Retain(func(id string) bool { return id == "next" })
	if c.takeIdle(idleKey{id: s.ID}) != nil {
		t.Error("a connection of the previous incarnation is still idle")
	}
}

// No content of a request line, header or body may be read by the endpoint as a second request.
func TestRequestsAreWrittenAsGiven(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	received := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		n, _ := conn.Read(buffer)
		received <- string(buffer[:n])
		_ = conn.Close()
	}()
	c := newClient(Options{})
	defer c.Close()
	_, _ = c.Do(t.Context(), Target{ID: "x", Address: l.Addr().String()}, Request{
		Method: "POST", URI: "/a%2fb?c=d", Host: "h", Header: http.Header{"X": {"1\r\nSmuggled: 2"}}, Body: []byte("POST /other HTTP/1.1\r\n\r\n"),
	})
	if got, want := <-received, "POST /a%2fb?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 24\r\nX: 1  Smuggled: 2\r\n\r\n"; got[:len(want)] != want {
		t.Errorf("the endpoint received %q", got)
	}
}

// An endpoint in trouble may send bytes that are no response until the caller closes the connection.
// The call must end after a bounded number of them, long before its time-out.
func TestEndlessResponsesAreEnded(t *testing.T) {
	for name, b := range map[string]fleettest.Behaviour{
		"header": fleettest.EndlessHeader, "interim responses": fleettest.EndlessInterim, "body": fleettest.EndlessBody,
	} {
		c := newClient(Options{})
		s := newServer(t, b)
		resp, err := c.Do(t.Context(), Target{ID: s.ID, Address: s.Address()}, Request{Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
		if err == nil {
			var body []byte
			body, err = ReadBody(resp, 1<<20)
			if len(body) > 1<<20 {
				t.Errorf("%s: %d bytes were read", name, len(body))
			}
			_ = resp.Body.Close()
		}
		if !Lost.Has(err) {
			t.Errorf("%s: error is %v, want Lost", name, err)
		}
		<-s.Runs()[0].Closed
		c.Close()
	}
}

// A response that names another call is skipped, however often it comes, up to a bound. One that names no call
// is believed only as the first on its connection, and the connection is not used again after it.
func TestResponsesAreMatchedByID(t *testing.T) {
	const foreign, own, unnamed = "other", "own", ""
	for _, c := range []struct {
		responses []string
		// body is that of the response that the call gets; empty if it gets none.
		body string
		kept bool
	}{
		{[]string{own}, own, true},
		{[]string{foreign, own}, own, true},
		{[]string{foreign, foreign, foreign, foreign, own}, own, true},
		{[]string{foreign, foreign, foreign, foreign, foreign, own}, "", false},
		{[]string{unnamed}, "none", false},
		{[]string{foreign, unnamed, own}, "", false},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() }) // the garbage collector closes connections that are not referred to
			_, _ = conn.Read(make([]byte, 4096))
			for _, id := range c.responses {
				named := ""
				if id != unnamed {
					named = "Azurelead-Attempt-Id: " + id + "\r\n"
				}
				body := cmp.Or(id, "none")
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", named, len(body), body)
			}
		}()
		client := newClient(Options{})
		target := Target{ID: "x", Address: l.Addr().String()}
		resp, err := client.Do(t.Context(), target, Request{ID: own, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
		var body []byte
		if err == nil {
			body, err = ReadBody(resp, 100)
			_ = resp.Body.Close()
		}
		if string(body) != c.body || (err == nil) != (c.body != "") || err != nil && !Lost.Has(err) {
			t.Errorf("%q: body %q, error %v, want body %q", c.responses, body, err, c.body)
		}
		if kept := client.takeIdle(idleKey{id: "x"}) != nil; kept != c.kept {
			t.Errorf("%q: connection kept: %v, want %v", c.responses, kept, c.kept)
		}
		client.Close()
		_ = l.Close()
	}
}

// A faulty endpoint wrote an earlier refusal once more on a kept connection, where the answer to a request that it
// ran was expected. It must not be taken for that answer, whether it names its own request or none.
func TestSecondCopyOfARefusalIsNoAnswer(t *testing.T) {
	for name, kind := range map[string]fleettest.Copy{"exact": fleettest.ExactCopy, "unnamed": fleettest.UnnamedCopy} {
		c := newClient(Options{})
		s := newServer(t, fleettest.Serve)
		s.SetBehaviour(func(n int, _ *http.Request) fleettest.Behaviour {
			if n%4 == 1 {
				return fleettest.Shed
			}
			return fleettest.Serve
		})
		s.SetCopies(func(_ *http.Request, status int) fleettest.Copy {
			if status == http.StatusServiceUnavailable {
				return kind
			}
			return fleettest.NoCopy
		})
		for i := range 16 {
			id := fmt.Sprint("request-", i)
			resp, err := c.Do(t.Context(), Target{ID: s.ID, Address: s.Address()}, Request{
				Method: "GET", URI: "/x", Host: "h", Header: http.Header{"Azurelead-Attempt-Id": {id}},
				ID: id,
			})
			if err != nil {
				if kind == fleettest.ExactCopy || !Lost.Has(err) {
					t.Errorf("%s copies: %s ended with %v", name, id, err)
				}
				continue
			}
			runs := s.Runs()
			if resp.StatusCode == http.StatusServiceUnavailable && runs[len(runs)-1].AttemptID == id {
				t.Errorf("%s copies: %s ran and was answered as refused", name, id)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if s.SentCopies() == 0 {
			t.Errorf("%s copies: none was sent", name)
		}
		c.Close()
	}
}

// An answer that names no call leaves open what comes next on its connection. The connection then carries only calls
// that take any answer, also after further answers.
func TestConnectionsAfterUnnamedAnswersCarryNoOtherCalls(t *testing.T) {
	c := New(Options{})
	defer c.Close()
	s := newServer(t, fleettest.Serve)
	call := func(anyAnswer bool, connections int) {
		t.Helper()
		resp, err := c.Do(t.Context(), Target{ID: s.ID, Address: s.Address()}, Request{
			Method: "GET", URI: "/x", Host: "h", Header: http.Header{}, AnyAnswer: anyAnswer,
		})
		if err == nil {
			_, err = ReadBody(resp, 100)
			_ = resp.Body.Close()
		}
		if n := s.Connections(); err != nil || n != connections {
			t.Errorf("error %v, %d connections, want %d", err, n, connections)
		}
	}
	call(false, 1)
	call(true, 1)
	call(true, 1)
	call(false, 2)
	call(false, 3)
	call(true, 3)
}

// A status code that HTTP does not have is no answer. net/http panics when it is to send one below 100 to a client.
func TestStatusOutsideOfHTTPIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			raw, err := l.Accept()
			if err != nil {
				return // the test has failed
			}
			defer func() { _ = raw.Close() }()
			_, _ = http.ReadRequest(bufio.NewReader(raw))
			_, _ = io.WriteString(raw, "HTTP/1.1 "+status+" Odd\r\nAzurelead-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n")
		}()
		c := newClient(Options{})
		resp, err := c.Do(t.Context(), Target{ID: "s", Address: l.Addr().String()}, Request{ID: "a", Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
		if !Lost.Has(err) {
			t.Errorf("status %s: response %v, error %v, want a lost answer", status, resp, err)
		}
		c.Close()
		_ = l.Close()
	}
}
