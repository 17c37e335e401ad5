package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// server is a model server as the users' pages describe it: it sends a stream of events for each request, and may crash
// and start again at its address under its id.
type server struct {
	f           *deployment
	id, address string
	// readTime is the time to the first event, gap that between events, events their number.
	readTime, gap time.Duration
	events        int
	// onRequest is called for each request that arrives; true says that the server crashes as it begins to write.
	onRequest func(s *server, r *http.Request) (crash bool)
	// onCrash is called after a crash.
	onCrash func(s *server)

	// coldStart is how long the server is cold after it has started again.
	coldStart time.Duration

	// turn is held by the call of a stage that runs.
	turn sync.Mutex

	mu sync.Mutex
	// calls counts the calls of a stage that run or wait.
	calls    int
	listener net.Listener
	// cold is until when the server is cold.
	cold  time.Time
	conns map[net.Conn]bool
	born  int64
	// version is the version of its software.
	version string
	running int
}

func newServer(f *deployment, id string) (*server, error) {
	s := &server{f: f, id: id, address: fleettest.FreeAddress(), version: "v1", readTime: 60 * time.Millisecond, gap: 30 * time.Millisecond, events: 8}
	s.onRequest = func(*server, *http.Request) bool { return false }
	s.onCrash = func(*server) {}
	return s, s.listen()
}

// spec returns the server's entry in the store.
func (s *server) spec(service, dataCentre string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": service, "address": s.address, "zone": dataCentre, "version": s.version, "slots": 64,
		"state": "ready", "coldRemainingMs": max(time.Until(s.cold).Milliseconds(), 0), "seq": 1, "born": s.born,
	}
}

// listen starts the server, again after a crash.
func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.conns, s.born, s.running = l, make(map[net.Conn]bool), time.Now().UnixMilli(), 0
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			current := s.listener == l
			if current {
				s.conns[c] = true
			}
			s.mu.Unlock()
			if !current {
				_ = c.Close()
				continue
			}
			go s.serve(c)
		}
	}()
	return nil
}

// end closes the listener and all connections, as the kernel does for a process that has crashed.
func (s *server) end() {
	s.mu.Lock()
	l, conns := s.listener, s.conns
	s.listener, s.conns = nil, make(map[net.Conn]bool)
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for c := range conns {
		_ = c.Close()
	}
}

// coldUntil returns until when the server is cold.
func (s *server) coldUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold
}

// startAgain starts the server after a crash, at its address and under its id, with the version of its software.
func (s *server) startAgain(version string) error {
	s.mu.Lock()
	s.cold, s.version = time.Now().Add(s.coldStart), version
	s.mu.Unlock()
	return s.listen()
}

// isUp reports whether the server listens.
func (s *server) isUp() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}

// crash ends the server unless it has ended already.
func (s *server) crash() {
	s.mu.Lock()
	up := s.listener != nil
	s.mu.Unlock()
	if up {
		s.end()
		s.onCrash(s)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !s.answer(c, r) {
			return
		}
	}
}

// answer answers one request and reports whether the connection is kept.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Azurelead-Attempt-Id")
	s.mu.Lock()
	load := fmt.Sprintf("%d,0,64", s.running)
	born, version := s.born, s.version
	s.mu.Unlock()
	head := "Azurelead-Attempt-Id: " + id + "\r\nAzurelead-Server-Load: " + load + "\r\n"
	switch {
	case r.Header.Get("Azurelead-Expect-Instance") != "" && r.Header.Get("Azurelead-Expect-Instance") != s.id:
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Azurelead-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case r.URL.Path == "/stage-run":
		return s.runStage(c, r, head)
	case r.URL.Path == "/stage-free":
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	case r.URL.Path == "/report":
		body := fmt.Sprintf(`{"freeMb":36,"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"queued":0,"active":0,"kvUsed":0,"kvTotal":500000,"handles":0,"born":%d}`, born)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err == nil
	}
	if r.URL.Path == "/health" {
		if cold := time.Until(s.coldUntil()); cold > 0 {
			head += fmt.Sprintf("Azurelead-Cold-Ms: %d\r\n", cold.Milliseconds())
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Azurelead-Instance-Id: "+s.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.f.note("%s (%s) runs %s after event %q", s.id, version, id, r.Header.Get("Last-Event-Id"))
	crash := s.onRequest(s, r)
	s.mu.Lock()
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	time.Sleep(s.readTime)
	if crash {
		s.crash()
		return false
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Azurelead-Server-Signature: sig."+s.id+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= s.events; i++ {
		time.Sleep(s.gap)
		text := fmt.Sprintf("id: %d\ndata: %s %s\n\n", i, version, strings.Repeat("x", 24))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
