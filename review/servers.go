//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// results are the results of stages that exist, by handle, with the piece that each was made for.
type results struct {
	mu sync.Mutex
	of map[string]piece
}

// piece is one piece of a stage of a request.
type piece struct {
	attempt        string
	stage, segment int
	key            string
	freed          bool
}

func (s *results) get(handle string) (piece, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.of[handle]
	return p, found && !p.freed
}

// owner returns the piece that a handle was made for, also if it was freed.
func (s *results) owner(handle string) piece {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of[handle]
}

// stageServer is a server of a stage service. It works on one call at a time.
type stageServer struct {
	id       string
	listener net.Listener
	r        *run
	results  *results
	callTime time.Duration
	itemTime time.Duration
	// fails reports whether the n-th call's items get the reason "error".
	fails func(n int) bool
	// repeats makes the server send a second copy of such an answer where the next one is expected.
	repeats bool

	work    sync.Mutex
	mu      sync.Mutex
	calls   int
	waiting int
	copies  int
}

// stageQueue is the number of calls that may wait beside the one that is worked on.
const stageQueue = 2

func (r *run) startStageServer(id string, s *stageServer) *stageServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(unusable(err.Error()))
	}
	s.id, s.listener, s.r = id, l, r
	r.closers = append(r.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *stageServer) address() string { return s.listener.Addr().String() }

// serve serves one channel, one request at a time.
func (s *stageServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	late, lateOf := "", "" // the second copy of an answer, to be sent where the next one is expected, and its request
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if late != "" {
			s.r.add("%s sends a second copy of an answer: %s", s.id, late)
			s.mu.Lock()
			s.copies++
			s.mu.Unlock()
			if s.write(c, http.StatusOK, lateOf, late) != nil {
				return
			}
			late = ""
		}
		attempt := q.Header.Get("Azurelead-Attempt-Id")
		if e := q.Header.Get("Azurelead-Expect-Instance"); e != "" && e != s.id {
			err = s.write(c, http.StatusMisdirectedRequest, attempt, "")
		} else {
			switch q.URL.Path {
			case "/stage-run":
				late, err = s.runCall(c, body, attempt)
				lateOf = attempt
			case "/stage-free":
				s.free(body)
				err = s.write(c, http.StatusOK, attempt, "")
			case "/report":
				err = s.write(c, http.StatusOK, attempt, `{"queued":0,"busy":false,"freeMb":30}`)
			default:
				err = s.write(c, http.StatusNotFound, attempt, "")
			}
		}
		if err != nil {
			return
		}
	}
}

// write sends an answer. It echoes the request's Azurelead-Attempt-Id if that has one.
func (s *stageServer) write(c net.Conn, status int, attempt, body string) error {
	h := http.Header{"Content-Type": {"application/json"}}
	if attempt != "" {
		h.Set("Azurelead-Attempt-Id", attempt)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusBadRequest {
		h.Set("Azurelead-Not-Executed", "1")
	}
	resp := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body))}
	return resp.Write(c)
}

func (s *stageServer) runCall(c net.Conn, body []byte, attempt string) (late string, err error) {
	var call struct {
		Items []struct {
			ID      string   `json:"id"`
			Stage   int      `json:"stage"`
			Segment int      `json:"segment"`
			Key     string   `json:"key"`
			Inputs  []string `json:"inputs"`
		} `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return "", s.write(c, http.StatusBadRequest, attempt, "")
	}
	s.mu.Lock()
	full := s.waiting > stageQueue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return "", s.write(c, http.StatusServiceUnavailable, attempt, "")
	}
	s.work.Lock()
	time.Sleep(s.callTime + time.Duration(len(call.Items))*s.itemTime)
	s.mu.Lock()
	n := s.calls
	s.calls++
	s.waiting--
	s.mu.Unlock()
	fails := s.fails != nil && s.fails(n)
	items := []map[string]string{}
	s.results.mu.Lock()
	for i, item := range call.Items {
		if fails {
			items = append(items, map[string]string{"reason": "error"})
			continue
		}
		handle := fmt.Sprintf("%s/%x-%d", s.address(), n+1, i)
		s.results.of[handle] = piece{attempt: item.ID, stage: item.Stage, segment: item.Segment, key: item.Key}
		items = append(items, map[string]string{"handle": handle})
	}
	s.results.mu.Unlock()
	s.work.Unlock()
	encoded, _ := json.Marshal(map[string]any{"items": items})
	s.r.add("%s call %d ran %s -> %s", s.id, n, body, encoded)
	if fails && s.repeats {
		late = string(encoded)
	}
	return late, s.write(c, http.StatusOK, attempt, string(encoded))
}

func (s *stageServer) free(body []byte) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if json.Unmarshal(body, &call) != nil {
		return
	}
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	for _, h := range call.Handles {
		if p, found := s.results.of[h]; found {
			p.freed = true
			s.results.of[h] = p
		}
	}
}

// answers returns the number of calls that were answered and the number of second copies.
func (s *stageServer) answers() (calls, copies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.copies
}

// engine is a model server.
type engine struct {
	id      string
	r       *run
	results *results
	server  *http.Server
	address string
	events  int
	gap     time.Duration

	mu sync.Mutex
	// foreign describes the runs that were given inputs of other requests.
	foreign []string
}

func (r *run) startEngine(id string, e *engine) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(unusable(err.Error()))
	}
	e.id, e.r, e.address = id, r, l.Addr().String()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	r.closers = append(r.closers, func() { _ = e.server.Close() })
	return e
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	id := q.Header.Get("Azurelead-Attempt-Id")
	if id != "" {
		h.Set("Azurelead-Attempt-Id", id)
	}
	if expect := q.Header.Get("Azurelead-Expect-Instance"); expect != "" && expect != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/report" {
		_, _ = io.WriteString(w, `{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"queued":0,"active":0,"kvUsed":0,"kvTotal":500000,"handles":0}`)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	inputs := q.Header.Get("Azurelead-Inputs")
	if e.results != nil {
		if inputs == "" {
			h.Set("Azurelead-Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, handle := range strings.Split(inputs, ",") {
			if _, exists := e.results.get(handle); !exists {
				e.r.add("%s rejects %s: the result %s does not exist", e.id, id, handle)
				h.Set("Azurelead-Not-Executed", "1")
				w.WriteHeader(http.StatusConflict)
				return
			}
		}
		for _, handle := range strings.Split(inputs, ",") {
			if p := e.results.owner(handle); p.attempt != id {
				e.mu.Lock()
				e.foreign = append(e.foreign, fmt.Sprintf("MIXED: %s runs request %s with the input %s, which was made for request %s", e.id, id, handle, p.attempt))
				e.mu.Unlock()
			}
		}
	}
	e.r.add("%s runs %s with inputs %s", e.id, id, inputs)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Azurelead-Server-Signature", e.id+"."+id)
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= e.events; i++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(e.gap):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// endpointSpec returns what a server writes of itself into the store.
func endpointSpec(service, address, zone string, slots int) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "1", "slots": slots,
		"state": "ready", "coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

// portalService returns the declaration of a stage service as on the site bmh-kingston.
func portalService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 360, "segments": map[string]any{
		"slots": 1, "queue": stageQueue, "batch": 8, "callMs": 150, "itemMs": 16, "headroomMb": 36, "handleS": 4, "linkMbps": 10000,
	}}
}
