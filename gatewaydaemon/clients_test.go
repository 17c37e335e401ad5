package gatewaydaemon

import (
	"bufio"
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

// A request that arrives while the server closes, on a connection that has carried none, is answered. The server closes
// as soon as that is done.
func TestClosingServerAnswersArrivingRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(listener, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}, func() clientLimits { return clientLimits{} })
	go func() { _ = c.server.Serve(c.acceptor()) }()
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

// A connection that is in the listen queue when the server closes, with a request, is accepted, and the request answered.
func TestClosingServerAcceptsQueuedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(listener, &http.Server{IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}, func() clientLimits { return clientLimits{header: time.Hour, idle: time.Hour} })
	c.unreadTime = time.Second
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, requestHead("/book/x", "unread", 0))
	cut := make(chan int)
	go func() { cut <- c.close(time.Now().Add(time.Hour)) }()
	time.Sleep(c.unreadTime / 20)
	go func() { _ = c.server.Serve(c.acceptor()) }()
	if r := readResult(conn); r.err != nil || r.status != http.StatusServiceUnavailable {
		t.Errorf("%+v", r)
	}
	if n := <-cut; n != 0 {
		t.Errorf("%d connections were cut", n)
	}
}

// A request that net/http answers itself must get that answer, though its client reads only after a long body.
func TestMalformedUploadIsAnswered(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	d.startEndpoints(nil)
	d.waitReady()
	const size = 16 << 20 // more than the sockets' buffers hold
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
	for head, status := range map[string]int{
		"POST /book/x HTTP/1.1\r\n" + framing:                                                                  http.StatusBadRequest,
		"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nbad header: x\r\n" + framing:                           http.StatusBadRequest,
		"POST /book/x HTTP/3.0\r\nHost: shop.example\r\n" + framing:                                            http.StatusHTTPVersionNotSupported,
		"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: gzip\r\n\r\n":                       http.StatusNotImplemented,
		"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nExpect: more\r\n" + framing:                            http.StatusExpectationFailed,
		"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + framing: http.StatusRequestHeaderFieldsTooLarge,
	} {
		conn := d.open()
		if _, err := io.WriteString(conn, head); err != nil {
			t.Errorf("%.80q: the upload failed: %v", head, err)
		}
		if _, err := conn.Write(make([]byte, size)); err != nil {
			t.Errorf("%.80q: the upload failed: %v", head, err)
		}
		if r := readResult(conn); r.err != nil || r.status != status {
			t.Errorf("%.80q: %+v", head, r)
		}
	}
}

// A request whose header is arriving on a kept connection while the server closes is answered.
func TestClosingServerAnswersRequestOnKeptConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(listener, &http.Server{IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour, Handler: http.NotFoundHandler()},
		func() clientLimits { return clientLimits{header: time.Hour, idle: time.Hour} })
	go func() { _ = c.server.Serve(c.acceptor()) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	head := requestHead("/x", "kept", 0)
	_, _ = io.WriteString(conn, head)
	if r := readNext(reader); r.err != nil || r.closes {
		t.Fatalf("%+v", r)
	}
	for c.countBusy() > 0 {
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(conn, head[:20])
	for c.countBusy() == 0 {
		time.Sleep(time.Millisecond)
	}
	cut := make(chan int)
	go func() { cut <- c.close(time.Now().Add(time.Hour)) }()
	for !c.closing.Load() {
		time.Sleep(time.Millisecond)
	}
	_, _ = io.WriteString(conn, head[20:])
	if r := readNext(reader); r.err != nil || !r.closes {
		t.Errorf("%+v", r)
	}
	if n := <-cut; n != 0 {
		t.Errorf("%d connections were cut", n)
	}
}

// A header that comes more slowly than the default time-out, but within the limit of the configuration, is read. The
// limit may be raised after the connection was opened.
func TestSlowHeaderWithinRaisedLimitIsAnswered(t *testing.T) {
	t.Parallel()
	d, _ := keyedDeployment(t)
	conn := d.open()
	head := uploadRequest{path: "/gone/x", key: "known", size: 0}.head("slow")
	_, _ = io.WriteString(conn, head[:20])
	config := fleettest.Configuration(3, nil, []map[string]any{fleettest.Service("api")}, map[string][]string{"o": {"known"}})
	config["limits"] = map[string]any{"headerTimeoutMs": 600000}
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, config)
	time.Sleep(headerTimeout + time.Second)
	_, _ = io.WriteString(conn, head[20:])
	if r := readResult(conn); r.err != nil || r.status != http.StatusNotFound {
		t.Errorf("%+v", r)
	}
}

// A client that reuses a connection within the idle limit must be answered, also if the limit was raised while the
// connection was idle.
func TestIdleConnectionFollowsRaisedLimit(t *testing.T) {
	const short = 50 * time.Millisecond
	for name, raisedAfter := range map[string]int{"before the connection is opened": 0, "while it is idle": 2} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		calls := 0 // one connection's: the first header, the wait for the next, and the end of that wait
		c := newClientServer(listener, &http.Server{IdleTimeout: short, ReadHeaderTimeout: time.Hour, Handler: http.NotFoundHandler()}, func() clientLimits {
			calls++
			if calls <= raisedAfter {
				return clientLimits{header: time.Hour, idle: short}
			}
			return clientLimits{header: time.Hour, idle: time.Hour}
		})
		go func() { _ = c.server.Serve(c.acceptor()) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(conn)
		for range 2 {
			_, _ = io.WriteString(conn, requestHead("/x", "idle", 0))
			if r := readNext(reader); r.err != nil || r.status != http.StatusNotFound {
				t.Errorf("raised %s: %+v", name, r)
			}
			time.Sleep(4 * short)
		}
		_ = conn.Close()
		_ = c.server.Close()
	}
}

// A connection that stays idle for longer than the limit is closed.
func TestIdleConnectionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(listener, &http.Server{IdleTimeout: time.Hour, ReadHeaderTimeout: time.Hour, Handler: http.NotFoundHandler()}, func() clientLimits {
		return clientLimits{header: time.Hour, idle: time.Millisecond}
	})
	go func() { _ = c.server.Serve(c.acceptor()) }()
	defer func() { _ = c.server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, requestHead("/x", "idle", 0))
	reader := bufio.NewReader(conn)
	if r := readNext(reader); r.err != nil {
		t.Fatal(r.err)
	}
	if _, err := reader.ReadByte(); err != io.EOF {
		t.Errorf("the connection is open: %v", err)
	}
}
