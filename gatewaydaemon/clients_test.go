package gatewaydaemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	go func() { _ = c.server.Serve(c.listener) }()
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
