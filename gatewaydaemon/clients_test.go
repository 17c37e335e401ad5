package gatewaydaemon

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A request that arrives while the server closes, on a connection that has carried none, is answered. The server closes
// as soon as that is done.
func TestClosingServerAnswersArrivingRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(listener, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})})
	go func() { _ = c.server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for c.countBusy() == 0 {
		time.Sleep(time.Millisecond)
	}
	cut := make(chan int)
	go func() { cut <- c.close(time.Now().Add(time.Hour)) }()
	for listens := true; listens; time.Sleep(time.Millisecond) {
		probe, err := net.Dial("tcp", listener.Addr().String())
		if listens = err == nil; listens {
			_ = probe.Close()
		}
	}
	_, _ = io.WriteString(conn, requestHead("/book/x", "arriving", 0))
	if r := readResult(conn); r.err != nil || r.status != http.StatusServiceUnavailable || !r.closes {
		t.Errorf("%+v", r)
	}
	if n := <-cut; n != 0 {
		t.Errorf("%d connections were cut", n)
	}
}
