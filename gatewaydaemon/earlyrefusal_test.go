package gatewaydaemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azurelead/azurelead/platform/fleet"
	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// uploadSize, uploadPieces and uploadTime describe a slow upload, which lasts longer than net/http reads on after
	// a handler has returned.
	uploadSize   = 1 << 20
	uploadPieces = 20
	uploadTime   = 2 * time.Second
	// uploadLimit is the configured limit of a body, in bytes.
	uploadLimit = 2 << 20
)

// keyedDeployment starts one entry whose routes require the key "known", and whose bodies are limited.
func keyedDeployment(t *testing.T) (*deployment, []*fleettest.Server) {
	d := newDeployment(t, 1)
	api1, api2, _, _, _ := d.startEndpoints(nil)
	config := fleettest.Configuration(2, []map[string]any{fleettest.Route("book", "/book/", "non_idempotent", "api", map[string]any{"timeoutMs": 30000})},
		[]map[string]any{fleettest.Service("api"), fleettest.EngineService("llm"), fleettest.StageService("portal")}, map[string][]string{"o": {"known"}})
	config["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": uploadLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	d.store.Put(fleet.KindConfiguration, fleet.ConfigurationName, config)
	d.waitReady()
	d.eventually("the configuration is in force", func() bool { return d.entries[0].daemon.table.Load().Version == 2 })
	return d, []*fleettest.Server{api1, api2}
}

// uploadRequest is a request with a body of zeros.
type uploadRequest struct {
	path, key string
	size      int
	chunked   bool
	header    string
}

// head returns the head of the request.
func (u uploadRequest) head(id string) string {
	framing := fmt.Sprintf("Content-Length: %d", u.size)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nAzurelead-Attempt-Id: %s\r\nAzurelead-Key: %s\r\n%s\r\n%s\r\n", u.path, id, u.key, framing, u.header)
}

// write writes the body in pieces over a time.
func (u uploadRequest) write(c net.Conn, during time.Duration) error {
	piece := strings.Repeat("0", (u.size+uploadPieces-1)/uploadPieces)
	for left := u.size; left > 0; left -= len(piece) {
		text := piece[:min(left, len(piece))]
		if u.chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
		time.Sleep(during / uploadPieces)
	}
	if !u.chunked {
		return nil
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// A client that sends all of a slow upload before it reads must get its refusal, and can use the connection again.
func TestRefusalReachesClientThatUploads(t *testing.T) {
	t.Parallel()
	d, servers := keyedDeployment(t)
	cases := map[string]struct {
		request uploadRequest
		status  int
	}{
		"unknown key":             {uploadRequest{path: "/book/x", key: "gone", size: uploadSize}, http.StatusUnauthorized},
		"unknown key, chunked":    {uploadRequest{path: "/book/x", key: "gone", size: uploadSize, chunked: true}, http.StatusUnauthorized},
		"no route":                {uploadRequest{path: "/gone/x", key: "known", size: uploadSize}, http.StatusNotFound},
		"no route, chunked":       {uploadRequest{path: "/gone/x", key: "known", size: uploadSize, chunked: true}, http.StatusNotFound},
		"bad header":              {uploadRequest{path: "/book/x", key: "known", size: uploadSize, header: "Azurelead-Timeout-Ms: soon\r\n"}, http.StatusBadRequest},
		"body too large":          {uploadRequest{path: "/book/x", key: "known", size: 2 * uploadLimit}, http.StatusRequestEntityTooLarge},
		"body too large, chunked": {uploadRequest{path: "/book/x", key: "known", size: 2 * uploadLimit, chunked: true}, http.StatusRequestEntityTooLarge},
	}
	var wg sync.WaitGroup
	for name, c := range cases {
		wg.Go(func() {
			conn := d.open()
			reader := bufio.NewReader(conn)
			for i := range 2 { // the second on the kept connection
				id := fmt.Sprintf("%s %d", name, i)
				_, err := io.WriteString(conn, c.request.head(id))
				if err == nil {
					err = c.request.write(conn, uploadTime)
				}
				if err != nil {
					t.Errorf("%s: the upload failed: %v", id, err)
					return
				}
				r := readNext(reader)
				if r.err != nil || r.status != c.status || r.closes || runsOf(servers, id) > 0 {
					t.Errorf("%s: %d runs, %+v", id, runsOf(servers, id), r)
				}
			}
		})
	}
	wg.Wait()
}

// A client that waits for permission to send its body gets the refusal instead.
func TestRefusalPrecedesExpectedBody(t *testing.T) {
	t.Parallel()
	d, _ := keyedDeployment(t)
	for _, u := range []uploadRequest{
		{path: "/book/x", key: "gone", size: uploadSize}, {path: "/gone/x", key: "known", size: 1},
		{path: "/book/x", key: "known", size: 2 * uploadLimit}, {path: "/book/x", key: "gone", chunked: true},
	} {
		u.header = "Expect: 100-continue\r\n"
		conn := d.open()
		_, _ = io.WriteString(conn, u.head("waits"))
		r := readResult(conn)
		if r.err != nil || r.status < http.StatusBadRequest || !r.closes {
			t.Errorf("%+v: %+v", u, r)
		}
		if n, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%+v: the connection is still open: read %d, %v", u, n, err)
		}
	}
}

// An upload that goes on without end, or stands still, must be refused within the request's time, and not be held.
func TestEndlessUploadIsRefused(t *testing.T) {
	t.Parallel()
	d, servers := keyedDeployment(t)
	for _, u := range []uploadRequest{
		{path: "/book/x", key: "gone", size: uploadSize}, {path: "/book/x", key: "known", size: uploadSize},
		{path: "/book/x", key: "known", size: 1}, {path: "/gone/x", chunked: true},
	} {
		u.header = "Azurelead-Timeout-Ms: 300\r\n"
		conn := d.open()
		_, _ = io.WriteString(conn, u.head("idle"))
		r := readResult(conn)
		if r.err != nil || r.status < http.StatusBadRequest || r.status >= http.StatusInternalServerError || !r.closes || runsOf(servers, "idle") > 0 {
			t.Errorf("%+v: %+v", u, r)
		}
		if n, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("%+v: the connection is still open: read %d, %v", u, n, err)
		}
	}
	conn := d.open()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		_, _ = io.WriteString(conn, uploadRequest{path: "/gone/x", chunked: true}.head("endless"))
		for ctx.Err() == nil {
			if _, err := io.WriteString(conn, "10000\r\n"+strings.Repeat("0", 0x10000)+"\r\n"); err != nil {
				return
			}
		}
	}()
	if r := readResult(conn); r.err != nil || r.status != http.StatusNotFound || !r.closes {
		t.Errorf("endless: %+v", r)
	}
}

// A client that is uploading when the entry begins to reject must get the refusal, though it reads only afterwards.
func TestStopRefusesUploads(t *testing.T) {
	t.Parallel()
	d, servers := keyedDeployment(t)
	uploads := map[string]uploadRequest{
		"unknown key": {path: "/book/x", key: "gone", size: uploadSize}, "known key": {path: "/book/x", key: "known", size: uploadSize},
		"chunked": {path: "/book/x", key: "known", size: uploadSize, chunked: true},
	}
	conns := make(map[string]net.Conn)
	for name, u := range uploads {
		conns[name] = d.open()
		_, _ = io.WriteString(conns[name], u.head(name))
	}
	d.eventually("the requests with a known key are in flight", func() bool {
		n, _ := d.entries[0].metric(t, "azurelead_gateway_in_flight", map[string]string{})
		return n >= 2
	})
	d.entries[0].stop()
	var wg sync.WaitGroup
	for name, u := range uploads {
		wg.Go(func() {
			if err := u.write(conns[name], rejectAfter+uploadTime/2); err != nil {
				t.Errorf("%s: the upload failed: %v", name, err)
			}
			if r := readResult(conns[name]); r.err != nil || r.status != http.StatusServiceUnavailable && r.status != http.StatusUnauthorized || runsOf(servers, name) > 0 {
				t.Errorf("%s: %d runs, %+v", name, runsOf(servers, name), r)
			}
		})
	}
	wg.Wait()
	<-d.entries[0].done
}
