package gatewaydaemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// idleServer serves one client, whose connection has carried a request and is idle. stall is called when the wait for
// the next request begins, before the connection is read.
func idleServer(t *testing.T, idle time.Duration, stall func()) (c *clientServer, conn net.Conn, reader *bufio.Reader) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var calls atomic.Int64 // for the first header, then for the wait
	c = newClientServer(listener, &http.Server{IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour, Handler: http.NotFoundHandler()}, func() clientLimits {
		if calls.Add(1) == 2 {
			stall()
		}
		return clientLimits{header: time.Hour, idle: idle}
	})
	go func() { _ = c.server.Serve(c.acceptor()) }()
	t.Cleanup(func() { _ = c.server.Close() })
	if conn, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	reader = bufio.NewReader(conn)
	_, _ = io.WriteString(conn, requestHead("/x", "first", 0))
	if r := readNext(reader); r.err != nil || r.closes {
		t.Fatalf("%+v", r)
	}
	return c, conn, reader
}

// A process that stalls reads a request only after the idle limit, within which it arrived. The request must be answered.
func TestRequestWithinIdleLimitIsAnsweredAfterStall(t *testing.T) {
	const limit = 50 * time.Millisecond
	stalls, goOn := make(chan bool), make(chan bool)
	_, conn, reader := idleServer(t, limit, func() { stalls <- true; <-goOn })
	<-stalls
	_, _ = io.WriteString(conn, requestHead("/x", "next", 0))
	time.Sleep(2 * limit)
	close(goOn)
	if r := readNext(reader); r.err != nil || r.status != http.StatusNotFound {
		t.Errorf("%+v", r)
	}
}

// A request that has arrived on an idle connection and was not read yet when the server closes must be answered.
func TestClosingServerAnswersUnreadRequest(t *testing.T) {
	stalls, goOn := make(chan bool), make(chan bool)
	c, conn, reader := idleServer(t, time.Hour, func() { stalls <- true; <-goOn })
	<-stalls
	_, _ = io.WriteString(conn, requestHead("/x", "unread", 0))
	cut := make(chan int)
	go func() { cut <- c.close(time.Now().Add(time.Hour)) }()
	for !c.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(50*time.Millisecond, func() { close(goOn) })
	if r := readNext(reader); r.err != nil || r.status != http.StatusNotFound || !r.closes {
		t.Errorf("%+v", r)
	}
	if n := <-cut; n != 0 {
		t.Errorf("%d connections were cut", n)
	}
}

// A request that crosses the close of an idle connection gets no answer. It must not be read: a client may repeat a
// request on its own only if it was not read.
func TestRequestAfterIdleCloseIsNotRead(t *testing.T) {
	c, conn, reader := idleServer(t, time.Hour, func() {})
	_ = c.close(time.Now().Add(time.Second))
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Fatalf("the connection is open: %v", err)
	}
	if n := c.listener.CountReceiving(); n != 0 {
		t.Errorf("%d closed connections are read", n)
	}
	checkNotRead(t, conn)
}

// checkNotRead checks that the server does not read what is sent on a connection that it has closed.
func checkNotRead(t *testing.T, conn net.Conn) {
	t.Helper()
	for range 100 {
		if _, err := io.WriteString(conn, requestHead("/x", "late", 0)); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Error("the server reads requests after it has closed the connection")
}

// A client opens a connection and sends its first request only as the time for the header ends, or as a stop does. The
// request gets no answer, and must not be read.
func TestFirstRequestAfterCloseIsNotRead(t *testing.T) {
	for name, header := range map[string]time.Duration{"time for the header": 50 * time.Millisecond, "stop": time.Hour} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		c := newClientServer(listener, &http.Server{IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour, Handler: http.NotFoundHandler()}, func() clientLimits {
			return clientLimits{header: header, idle: time.Hour}
		})
		go func() { _ = c.server.Serve(c.acceptor()) }()
		t.Cleanup(func() { _ = c.server.Close() })
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if name == "stop" {
			for c.countOpen() == 0 {
				time.Sleep(time.Millisecond)
			}
			_ = c.close(time.Now())
		}
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("%s: the connection is open: %v", name, err)
		}
		checkNotRead(t, conn)
	}
}
