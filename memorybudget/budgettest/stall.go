// Package budgettest serves answers without end to tests of clients, and measures the memory that they take.
package budgettest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
)

// Answer is the beginning of an answer that stalls.
type Answer struct {
	// Start is followed by Bytes bytes: of one line, or of header lines if InHead is set.
	Start  string
	InHead bool
	Bytes  int
}

// Serve answers a number of requests of one method until the test ends. It returns the
// server's URL, and a function that returns the live heap in megabytes once all answers have stalled or were closed.
func Serve(t *testing.T, method string, a Answer, calls int) (url string, liveHeapMB func() int) {
	text := strings.Repeat("x", 1000)
	if a.InHead {
		text = "X-Filler: " + text + "\r\n"
	}
	var sent sync.WaitGroup
	sent.Add(calls)
	finish := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != method {
			return // a probe
		}
		raw, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = raw.Close() }()
		_, err = io.WriteString(raw, a.Start)
		for n := 0; n < a.Bytes && err == nil; n += len(text) {
			_, err = io.WriteString(raw, text)
		}
		sent.Done()
		<-finish
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(finish) })
	return server.URL, func() int {
		sent.Wait()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc >> 20)
	}
}
