package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azurelead/azurelead/platform/fleettest"
)

const (
	// keptClientsPerEntry is the number of clients of each entry that keep their connections open.
	keptClientsPerEntry = 3
	// maxKeptConnections bounds the connections that such a client uses in turn.
	maxKeptConnections = 4
	// maxKeptIdle bounds the pause between two requests of such a client.
	maxKeptIdle = shortIdleLimit * 3 / 4
	// maxUploadTime and maxUploadBytes bound the upload of a large body, which is sent in uploadParts parts at
	// most.
	maxUploadTime  = 4 * time.Second
	maxUploadBytes = 1 << 20
	uploadParts    = 25
	// maxRequestHead bounds the head of a request.
	maxRequestHead = 2 << 10
	// slowUploadBytes is the minimum length of a body that is sent in two parts.
	slowUploadBytes = 32 << 10
	// maxUploadWork bounds the time that endpoints work on a large request.
	maxUploadWork = 800 * time.Millisecond
	// refusedPause is the pause after a request that was refused.
	refusedPause = 200 * time.Millisecond
	// dialTimeout is the time that clients allow for a new connection.
	dialTimeout = time.Second
	// afterBreak is the time in which an answer is looked for on a connection that broke during the request.
	afterBreak = 200 * time.Millisecond
)

// uploadKind are requests with large bodies, and transientKind those on a route that comes and goes.
var (
	uploadKind    = requestKind{"upload", "POST", "/upload/x"}
	transientKind = requestKind{"transient", "POST", "/transient/x"}
	shiftingKind  = requestKind{"shifting", "POST", "/stream/shifting/x"}
)

// keptKinds are the kinds of requests of clients that keep their connections open.
var keptKinds = append(slices.Clone(requestKinds), uploadKind, transientKind, transientKind, shiftingKind)

// errBrokenUpload is the error of a request that could not be sent whole.
var errBrokenUpload = errors.New("the connection broke before the whole request was sent")

// keptConnection is a connection of a keptClient.
type keptConnection struct {
	net.Conn
	reader *bufio.Reader
	// process is closed when the process at the other end has exited.
	process <-chan struct{}
}

// keptClient sends requests one after the other, each whole before it reads the answer. It closes no connection
// before the entry's process is gone, and uses those that the entry has not asked it to close.
type keptClient struct {
	r   *run
	e   *entry
	rng *rand.Rand
	// usable are the connections for further requests, left are the others.
	usable, left []*keptConnection
}

// sendKept sends requests until ctx is done.
func (r *run) sendKept(ctx context.Context, e *entry, rng *rand.Rand) {
	c := &keptClient{r: r, e: e, rng: rng}
	defer func() { closeAll(append(c.usable, c.left...)) }()
	for ctx.Err() == nil {
		kind := keptKinds[rng.IntN(len(keptKinds))]
		resp := c.send(kind, fmt.Sprintf("%s-%016x", kind.name, rng.Uint64()))
		r.mu.Lock()
		r.responses = append(r.responses, resp)
		r.mu.Unlock()
		c.closeExited()
		pause := time.Duration(rng.Int64N(int64(40 * time.Millisecond)))
		if resp.status == http.StatusServiceUnavailable {
			pause = refusedPause
		} else if rng.IntN(5) == 0 {
			pause = time.Duration(rng.Int64N(int64(maxKeptIdle)))
		}
		time.Sleep(pause)
	}
}

func closeAll(conns []*keptConnection) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// closeExited closes the connections to processes that have exited.
func (c *keptClient) closeExited() {
	c.left = slices.DeleteFunc(c.left, func(conn *keptConnection) bool {
		select {
		case <-conn.process:
			_ = conn.Close()
			return true
		default:
			return false
		}
	})
}

// connect returns a connection for a request: one that is open, or a new one.
func (c *keptClient) connect() (*keptConnection, error) {
	for len(c.usable) > 0 && (len(c.usable) == maxKeptConnections || c.rng.IntN(6) > 0) {
		i := c.rng.IntN(len(c.usable))
		conn := c.usable[i]
		c.usable = slices.Delete(c.usable, i, i+1)
		if conn.isOpen() {
			return conn, nil
		}
		c.left = append(c.left, conn)
	}
	process := c.e.exited()
	conn, err := net.DialTimeout("tcp", c.e.clientAddress, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &keptConnection{Conn: conn, reader: bufio.NewReader(conn), process: process}, nil
}

// isOpen reports whether the other side has not closed the connection.
func (conn *keptConnection) isOpen() bool {
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return false
	}
	_, err := conn.reader.Peek(1)
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// send sends a request and reads its answer.
func (c *keptClient) send(kind requestKind, id string) response {
	resp := response{id: id, kind: kind.name, kept: true, startedAt: time.Now()}
	conn, err := c.connect()
	if err != nil {
		resp.err = err
		return resp
	}
	req, err := http.NewRequest(kind.method, "http://"+c.e.clientAddress+kind.path, strings.NewReader(c.r.requestBody(id)))
	if err != nil {
		resp.err = err
		return resp
	}
	req.Host = "shop.example"
	key := apiKey
	if kind == transientKind && c.rng.IntN(2) == 0 {
		key = transientKey
	}
	fleettest.SetClientHeaders(req.Header, id, key, c.r.requestTimeout())
	resp.startedAt = time.Now()
	resp.err = resp.write(conn, req)
	reusable := resp.err == nil && resp.readKept(conn, req, c.r)
	resp.latency = resp.endedAt.Sub(resp.startedAt)
	resp.pastGrace = c.e.isPastGrace()
	resp.endOfGrace = c.e.isAtEndOfGrace(resp.sentAt)
	if reusable {
		c.usable = append(c.usable, conn)
	} else {
		c.left = append(c.left, conn)
	}
	return resp
}

// write sends the whole request, a large body in parts of which the first bears the head.
func (resp *response) write(conn *keptConnection, req *http.Request) error {
	var text bytes.Buffer
	if err := req.Write(&text); err != nil {
		return err
	}
	parts := [][]byte{text.Bytes()}
	var pause time.Duration
	if isLarge(resp.id) {
		size := max((text.Len()+uploadParts-1)/uploadParts, maxRequestHead)
		parts = slices.Collect(slices.Chunk(text.Bytes(), size))
		pause = time.Duration(xxhash.Sum64String("time of "+resp.id)%uint64(maxUploadTime)) / uploadParts
	}
	for _, part := range parts {
		if resp.sentAt.IsZero() {
			resp.sentAt = time.Now()
		} else {
			time.Sleep(pause)
		}
		if _, err := conn.Write(part); err != nil {
			resp.endedAt = time.Now()
			return fmt.Errorf("%w: %w, %s", errBrokenUpload, err, conn.lateAnswer(req))
		}
		resp.sentAt = time.Now()
	}
	resp.endedAt = resp.sentAt
	return nil
}

// lateAnswer describes the answer that a connection holds which broke during the request.
func (conn *keptConnection) lateAnswer(req *http.Request) string {
	if err := conn.SetReadDeadline(time.Now().Add(afterBreak)); err != nil {
		return "no answer could be read: " + err.Error()
	}
	answer, err := http.ReadResponse(conn.reader, req)
	if err != nil {
		return "no answer could be read: " + err.Error()
	}
	_ = answer.Body.Close()
	return "the answer that could still be read has status " + answer.Status
}

// readKept reads the answer, until the client's deadline or, for a stream, until it has waited for an event for longer
// than its patience. It reports whether the connection can carry another request.
func (resp *response) readKept(conn *keptConnection, req *http.Request, r *run) bool {
	deadline := resp.startedAt.Add(r.requestTimeout())
	last := resp.sentAt
	limit := func() error {
		if resp.isStream() {
			return conn.SetReadDeadline(last.Add(r.patience()))
		}
		return conn.SetReadDeadline(deadline)
	}
	defer func() {
		resp.endedAt = time.Now()
		resp.longestWait = max(resp.longestWait, resp.endedAt.Sub(last))
	}()
	if resp.err = limit(); resp.err != nil {
		return false
	}
	answer, err := http.ReadResponse(conn.reader, req)
	if err != nil {
		resp.err = err
		return false
	}
	defer func() { _ = answer.Body.Close() }()
	resp.status = answer.StatusCode
	var text strings.Builder
	for buf := make([]byte, 4096); err == nil; {
		var n int
		n, err = answer.Body.Read(buf)
		text.Write(buf[:n])
		resp.body = text.String()
		if n > 0 && (!resp.isStream() || strings.Contains(string(buf[:n]), "\n\n")) {
			resp.longestWait = max(resp.longestWait, time.Since(last))
			last = time.Now()
		}
		if limitErr := limit(); limitErr != nil && err == nil {
			err = limitErr
		}
	}
	if err != io.EOF {
		resp.err = err
		return false
	}
	return !answer.Close
}

// isLarge reports whether a request has a large body.
func isLarge(id string) bool {
	return strings.HasPrefix(id, uploadKind.name+"-") || strings.HasPrefix(id, transientKind.name+"-")
}

// requestBody returns the body of a request. Half of the large ones are longer than what net/http discards. A body that
// is sent in two parts is longer than the buffer in which net/http withholds the head and the first part.
func (r *run) requestBody(id string) string {
	text := "body of " + id
	switch {
	case isLarge(id):
		text += strings.Repeat(".", int(xxhash.Sum64String("size of "+id)%maxUploadBytes))
	case r.uploadPause(id) > 0:
		text += strings.Repeat(".", slowUploadBytes)
	}
	return text
}

// isPastGrace reports whether the entry is in the last sixth of its grace period or has exited since.
func (e *entry) isPastGrace() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.terms, isPastGrace)
}

// isPastGrace reports whether the grace period of a stop is in its last sixth or has just ended.
func isPastGrace(termAt time.Time) bool {
	elapsed := time.Since(termAt)
	return elapsed > gracePeriod*5/6 && elapsed < gracePeriod+time.Second
}

// checkKept checks, for a client that keeps its connections, that a request which the entry has taken got a whole
// answer or a refusal. An entry that closes a connection within lossSlack of a request's first bytes has not taken it.
func (r *run) checkKept(resp response, runs []fleettest.Run) {
	var opErr *net.OpError
	if errors.As(resp.err, &opErr) && opErr.Op == "dial" {
		return
	}
	broken := resp.err != nil && !reachedTimeout(resp, min(r.requestTimeout(), r.shortTimeout()))
	switch {
	case resp.longestWait > r.longestAllowedWait(resp):
		r.recordHeld(resp, runs)
	case !broken:
	case errors.Is(resp.err, errBrokenUpload):
		if resp.latency > lossSlack && !resp.pastGrace {
			r.recordHeld(resp, runs)
		}
	case resp.endOfGrace && isInProgress(runs, resp.endedAt):
	case len(runs) > 0 || resp.endedAt.Sub(resp.sentAt) > lossSlack:
		r.recordHeld(resp, runs)
	}
}
