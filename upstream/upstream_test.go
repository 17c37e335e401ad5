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

func TestConnectionsAreKept(t *testing.T) {
	c := New(Options{})
	defer c.Close()
	s := newServer(t, fleettest.Serve)
	for range 5 {
		if body, err := get(t, c, s, "a"); err != nil || body != "answer of s to a" {
			t.Fatal(body, err)
		}
	}
	if n := s.Connections(); n != 1 {
		t.Errorf("%d connections for five requests", n)
	}
}

// The load: a burst of requests at once, after which no more connections stay
// than the endpoint's share for this client.
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
		t.Errorf("%d idle connections, 2 are allowed", n)
	}
}

// An endpoint that nothing reaches has not seen the request; one that broke off
// may have.
func TestWhatTheEndpointCanHaveSeen(t *testing.T) {
	c := New(Options{})
	defer c.Close()
	gone := newServer(t, fleettest.Serve)
	gone.Close()
	if _, err := get(t, c, gone, "a"); !NotSent.Has(err) {
		t.Errorf("nobody listens: %v", err)
	}
	for _, b := range []fleettest.Behaviour{fleettest.ResetAfterRun, fleettest.ResetMidResponse} {
		if body, err := get(t, c, newServer(t, b), "a"); err == nil || NotSent.Has(err) {
			t.Errorf("behaviour %d: %q, %v", b, body, err)
		}
	}
}

// A second answer is no answer to the next request, however late it comes.
func TestExtraAnswersReachNobody(t *testing.T) {
	c := New(Options{})
	defer c.Close()
	s := newServer(t, fleettest.DuplicateResponse)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		if body, err := get(t, c, s, id); err == nil && body != "answer of s to "+id {
			t.Errorf("%s was answered with %q", id, body)
		}
	}
}

func TestUnframedAnswersAreWhole(t *testing.T) {
	c := New(Options{})
	defer c.Close()
	s := newServer(t, fleettest.CloseDelimited)
	for range 3 {
		if body, err := get(t, c, s, "a"); err != nil || body != "answer of s to a" {
			t.Error(body, err)
		}
	}
}

// The end of a call's context ends its connection, which tells the endpoint.
func TestCancelledCallsAreCut(t *testing.T) {
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
		t.Errorf("the call ended with %v", err)
	}
}

// Connections to an incarnation that is gone are not used for the next one at
// the same address.
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
		t.Errorf("%d connections", n)
	}
	c.Retain(func(id string) bool { return id == "next" })
	if c.takeIdle(s.ID) != nil {
		t.Error("a connection of the former incarnation is kept")
	}
}

// Nothing in a request line or header lets one request hide another.
func TestRequestsAreWrittenAsGiven(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	seen := make(chan string, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		buffer := make([]byte, 4096)
		n, _ := conn.Read(buffer)
		seen <- string(buffer[:n])
		_ = conn.Close()
	}()
	c := New(Options{})
	defer c.Close()
	_, _ = c.Do(t.Context(), Target{ID: "x", Address: l.Addr().String()}, Request{
		Method: "POST", URI: "/a%2fb?c=d", Host: "h", Header: http.Header{"X": {"1\r\nSmuggled: 2"}}, Body: []byte("POST /other HTTP/1.1\r\n\r\n"),
	})
	if got, want := <-seen, "POST /a%2fb?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 24\r\nX: 1  Smuggled: 2\r\n\r\n"; got[:len(want)] != want {
		t.Errorf("written %q", got)
	}
}
