package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/linger"
)

// A caller that sends all of a slow upload before it reads must get its refusal.
func TestRefusalReachesCallerThatUploads(t *testing.T) {
	const size, pieces, pause = 2 << 20, 20, 80 * time.Millisecond // longer than net/http reads on after a handler has returned
	const known = "Authorization: Bearer " + token + "\r\n"
	body := strings.Repeat("0", size)
	h := newHarness(t, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(h.e.Handler())
	server.Listener = linger.NewListener(listener)
	server.Start()
	defer server.Close()
	cases := map[string]struct {
		pipeline, header string
		status           int
	}{
		"unknown key":      {"ask", "Authorization: Bearer gone\r\n", http.StatusUnauthorized},
		"unknown pipeline": {"gone", known, http.StatusNotFound},
		"bad deadline":     {"ask", known + HeaderDeadline + ": soon\r\n", http.StatusBadRequest},
		"body too large":   {"ask", known + HeaderDeadline + ": 9000\r\n", http.StatusRequestEntityTooLarge},
	}
	var wg sync.WaitGroup
	for name, c := range cases {
		wg.Go(func() {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST /v1/pipelines/%s/runs HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n", c.pipeline, c.header, size)
			for i := 0; i < pieces && err == nil; i++ {
				_, err = io.WriteString(conn, body[i*size/pieces:(i+1)*size/pieces])
				time.Sleep(pause)
			}
			if err != nil {
				t.Errorf("%s: the upload failed: %v", name, err)
				return
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || resp.StatusCode != c.status || resp.Close {
				t.Errorf("%s: %+v, %v", name, resp, err)
			}
		})
	}
	wg.Wait()
}
