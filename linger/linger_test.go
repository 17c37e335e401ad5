package linger

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// dial returns both ends of a connection that lingers.
func dial(t *testing.T) (client, server net.Conn, l *Listener) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = NewListener(tcp)
	t.Cleanup(func() { _ = l.Close() })
	if client, err = net.Dial("tcp", tcp.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return client, server, l
}

// A client that writes all of its request before it reads must get the response that was sent before the request's end.
func TestResponseOutlivesUnreadRequest(t *testing.T) {
	client, server, l := dial(t)
	go func() {
		_, _ = io.WriteString(server, "refused")
		_ = server.Close()
	}()
	const size = 16 << 20 // more than the sockets' buffers hold
	if n, err := client.Write(make([]byte, size)); err != nil {
		t.Fatalf("wrote %d of %d bytes: %v", n, size, err)
	}
	if response, err := io.ReadAll(client); string(response) != "refused" || err != nil {
		t.Errorf("read %q: %v", response, err)
	}
	_ = client.Close()
	for l.CountReceiving() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A process that exits right after a refusal must not reset an upload whose client is between two writes.
func TestPausedUploadCountsAsReceiving(t *testing.T) {
	client, server, l := dial(t)
	_, _ = io.WriteString(client, "x")
	if _, err := server.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if n := l.CountReceiving(); n != 1 {
		t.Errorf("%d connections count as receiving right after the close, want 1", n)
	}
	_ = client.Close()
	for l.CountReceiving() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A client that neither sends more nor closes must not keep a closed connection for ever.
func TestIdleClientIsClosed(t *testing.T) {
	client, server, l := dial(t)
	_, _ = io.WriteString(client, "x")
	_ = server.Close()
	for l.CountReceiving() == 0 {
		time.Sleep(time.Millisecond)
	}
	for l.CountReceiving() > 0 {
		time.Sleep(time.Millisecond)
	}
	for err := error(nil); err == nil; _, err = client.Write([]byte("x")) {
		time.Sleep(time.Millisecond)
	}
}

// A read that is pending when the connection is closed must end, and not take what is read while it lingers.
func TestCloseEndsPendingRead(t *testing.T) {
	client, server, _ := dial(t)
	done := make(chan error)
	go func() {
		_, err := server.Read(make([]byte, 1))
		done <- err
	}()
	_ = server.Close()
	if err := <-done; err != net.ErrClosed {
		t.Errorf("the read returned %v", err)
	}
	if _, err := server.Read(make([]byte, 1)); err != net.ErrClosed {
		t.Errorf("a later read returned %v", err)
	}
	if err := server.Close(); err != net.ErrClosed {
		t.Errorf("a second close returned %v", err)
	}
	if _, err := client.Write([]byte("x")); err != nil {
		t.Error(err)
	}
}

// A connection with an unread part of a request counts as receiving from its close on: a process that ends meanwhile
// resets it, and the client loses the response.
func TestUnreadRequestCountsAsReceiving(t *testing.T) {
	client, server, l := dial(t)
	_, _ = io.WriteString(client, "x")
	_ = server.Close()
	if n := l.CountReceiving(); n != 1 {
		t.Errorf("%d connections receive, want 1", n)
	}
	_ = client.Close()
	for l.CountReceiving() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A request that crosses the close of an idle or unused connection gets no answer. It must not be read: a client may repeat
// a request on its own only if it was not read.
func TestRequestAfterIdleCloseIsNotRead(t *testing.T) {
	for name, used := range map[string]bool{"idle": true, "unused": false} {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l := NewListener(tcp)
		const limit = 50 * time.Millisecond
		server := &http.Server{Handler: http.NotFoundHandler(), IdleTimeout: limit, ReadHeaderTimeout: limit, ConnState: l.Track}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		client, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() })
		reader := bufio.NewReader(client)
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		if used {
			_, _ = io.WriteString(client, request)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Fatalf("%s: the connection is open: %v", name, err)
		}
		writes := 0
		for ; writes < 100; writes++ {
			if _, err := io.WriteString(client, request); err != nil {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if writes == 100 {
			t.Errorf("%s: the server reads requests after it has closed the connection", name)
		}
	}
}
