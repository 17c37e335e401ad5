package itest

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// holders is the number of clients that hold the memory for bodies or for responses.
	holders = 40
	// largeBody and largeAnswer are the lengths of what they hold, and of what an ordinary client sends or gets. The kernel's
	// buffers take a part of an answer.
	largeBody   = 4 << 20
	largeAnswer = 7 << 20
	// largeAttempts is the number of ordinary requests, one of which is to be answered, and largePause the pause between them.
	largeAttempts = 40
	largePause    = 100 * time.Millisecond
)

// largeServer returns a server whose answers are large.
func largeServer(t *testing.T) *fleettest.Server {
	large := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Azurelead-Attempt-Id", r.Header.Get("Azurelead-Attempt-Id"))
		w.Header().Set("Azurelead-Server-Signature", "s")
		_, _ = w.Write(make([]byte, largeAnswer))
	}))
	t.Cleanup(large.Close)
	s := fleettest.NewServer("faulty")
	t.Cleanup(s.Close)
	s.SetListedAddress(large.Listener.Addr().String())
	return s
}

// sendLarge sends a request with a body, and reports whether it is answered whole.
func sendLarge(front, path string, body []byte, answer int) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Host, req.Close = "shop.example", true
	req.Header.Set("Azurelead-Attempt-Id", newAttemptID())
	req.Header.Set("Azurelead-Timeout-Ms", "20000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && n >= int64(answer)
}

// readSlowly reads a little of a response at a time until the connection fails.
func readSlowly(c net.Conn) {
	block := make([]byte, 2<<10)
	var err error
	for err == nil {
		time.Sleep(slowInterval)
		_, err = c.Read(block)
	}
}

// Clients that stopped short in a body, or took their time to read a response, held the memory for these from all others until their
// time was over.
func TestHoldersOfMemoryGiveWay(t *testing.T) {
	for _, c := range []struct {
		name string
		// crowd returns what a client sends before it reads.
		crowd func(i int) []byte
		// ordinary reports whether an ordinary request is answered.
		ordinary func(front string) bool
	}{
		{"bodies that stop short", func(i int) []byte {
			return append([]byte(slowHead(i, "/sound/x")+fmt.Sprintf("Content-Length: %d\r\n\r\n", largeBody)), make([]byte, largeBody-1)...)
		}, func(front string) bool { return sendLarge(front, "/sound/x", make([]byte, largeBody), 0) }},
		{"responses that are read slowly", func(i int) []byte {
			return []byte(slowHead(i, "/long/x") + "Content-Length: 0\r\n\r\n")
		}, func(front string) bool { return sendLarge(front, "/long/x", nil, largeAnswer) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			gateway, front := startGatewayOf(t, crowdGateway, "faulty", largeServer(t))
			var clients sync.WaitGroup
			for i := range holders {
				clients.Go(func() {
					conn, err := net.Dial("tcp", front)
					if err != nil {
						return
					}
					t.Cleanup(func() { _ = conn.Close() })
					_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
					_ = conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
					_, _ = conn.Write(c.crowd(i))
					go readSlowly(conn)
				})
				time.Sleep(largePause / 2) // those that come at once take the memory from each other
			}
			clients.Wait()
			time.Sleep(10 * largePause) // the crowd's requests are answered
			answered := false
			for range largeAttempts {
				if answered = c.ordinary(front); answered {
					break
				}
				time.Sleep(largePause)
			}
			if !answered {
				t.Errorf("none of %d ordinary requests is answered beside the crowd", largeAttempts)
			}
			checkLimits(t, gateway, crowdGateway)
		})
	}
}
