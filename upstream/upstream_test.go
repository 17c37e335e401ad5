package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

func get(t *testing.T, c *Client, s *fleettest.Server, id string) (string, error) {
	t.Helper()
	resp, err := c.Do(t.Context(), Target{ID: s.ID, Address: s.Address()}, Request{
		Method: "GET", URI: "/x", Host: "h", Header: http.Header{"Azurelead-Attempt-Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Azurelead-Attempt-Id") == id },
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
	c := New(Options{})
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
	c := New(Options{MaxIdle: func(id string) int { return len(id) }})
	defer c.Close()
	s := newServer(t, fleettest.Serve)
	s.ID = "s2"
	var burst []*http.Response
	for range 6 {
		resp, err := c.Do(t.Context(), Target{ID: s.ID, Address: s.Address()}, Request{Method: "GET", URI: "/x", Host: "h"})
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
	if n := len(c.idle[s.ID]); n != 2 {
		t.Errorf("%d idle connections, want 2", n)
	}
}

// An endpoint that cannot be reached has not received the request. One whose connection failed
// later may have.
func TestNotSentOnlyIfNothingWasSent(t *testing.T) {
	c := New(Options{})
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
	c := New(Options{})
	defer c.Close()
	s := newServer(t, fleettest.DuplicateResponse)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		if body, err := get(t, c, s, id); err == nil && body != "answer of s to "+id {
			t.Errorf("request %s was answered with %q", id, body)
		}
	}
}

func TestCloseDelimitedResponsesAreComplete(t *testing.T) {
	c := New(Options{})
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
	c := New(Options{})
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
	c := New(Options{})
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
	if c.takeIdle(s.ID) != nil {
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
	c := New(Options{})
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
		c := New(Options{})
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

// A response that belongs to another call by its body is skipped, however often it comes, up to a
// bound.
func TestResponsesAreMatchedByBody(t *testing.T) {
	for _, c := range []struct {
		copies int
		ok     bool
	}{{0, true}, {1, true}, {maxMismatched, true}, {maxMismatched + 1, false}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			for range c.copies {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother")
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		}()
		client := New(Options{})
		resp, err := client.Do(t.Context(), Target{ID: "x", Address: l.Addr().String()}, Request{
			Method: "GET", URI: "/x", Host: "h", Header: http.Header{},
			MatchesBody: func(_ int, body []byte) bool { return string(body) == "own" },
		})
		if err == nil {
			var body []byte
			if body, err = ReadBody(resp, 100); string(body) != "own" {
				t.Errorf("%d copies: body %q", c.copies, body)
			}
		}
		if (err == nil) != c.ok {
			t.Errorf("%d copies: error %v", c.copies, err)
		}
		client.Close()
		_ = l.Close()
	}
}
