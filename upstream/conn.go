package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/azurelead/azurelead/memorybudget"
)

const (
	// readBufferSize is the size of a read buffer, in bytes. It is enough for the header of a
	// response and a few events.
	readBufferSize = 4 << 10
	// maxHeadBytes bounds what is read of a connection, in bytes, until the header of the response
	// has been read, without the bodies of mismatched responses.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of what maxHeadBytes bounds, and headLineCost is the memory that a line takes beside
	// its bytes once it has been parsed, in bytes.
	maxHeadLines = 256
	headLineCost = 256
	// maxStatus is the largest status code of HTTP.
	maxStatus = 599
	// maxMismatched bounds the mismatched responses that are skipped before that of a request.
	maxMismatched = 4
	// maxMismatchedBody bounds the body of a mismatched response that is read and discarded, in bytes.
	maxMismatchedBody = 1 << 20
	// inlineBodySize is the size, in bytes, up to which a body is written without a goroutine of
	// its own, because the socket accepts it without blocking.
	inlineBodySize = 2 << 10
	// uploadEndTimeout is how long an endpoint whose answer has ended with its side of the connection may take to read the
	// rest of the request. A sound endpoint may be silent for a second or so.
	uploadEndTimeout = 2 * time.Second
	// idleMargin is subtracted from the idle time-out that the endpoint announces, so that no
	// request is sent while the endpoint closes the connection.
	idleMargin = time.Second
)

// conn is one connection. Its reader goroutine reads the responses and notices when the endpoint
// closes the idle connection.
type conn struct {
	client *Client
	id     string
	raw    net.Conn
	// input reads from raw, with a limit while the head of a response is read.
	input  limitedInput
	reused bool
	// idleUntil is the time after which the endpoint may close the idle connection.
	idleUntil time.Time
	// used is set once a request has been sent.
	used bool
	// uncorrelated is set once an answer was read that need not be that of its call. From then on responses
	// show which call they answer only by their IDs.
	uncorrelated bool

	mu        sync.Mutex
	current   *exchange
	closed    bool
	closeOnce sync.Once
}

// exchange is one request on a connection and its response.
type exchange struct {
	request Request
	// first is set if no request was sent on the connection before.
	first bool
	// responseTo tells the parser of the response which method was used.
	responseTo *http.Request
	response   chan result
	// bodyDone receives whether the body of the response was read to its end.
	bodyDone chan bool
	// written is closed when the request has been written or its writing has failed, with writeErr if it has.
	written  chan struct{}
	writeErr error
	// held is what the response holds of the client's budget, head the part of its head.
	held     *memorybudget.Reservation
	head     int64
	refusals prometheus.Counter
	// released is closed when the connection is idle again or given up.
	released chan struct{}
}

// holdHead states the memory that the head of the response takes.
func (x *exchange) holdHead(n int64) error {
	x.head = n
	return x.hold(n)
}

// hold states the memory that the response takes.
func (x *exchange) hold(n int64) error {
	if err := x.held.Resize(n); err != nil {
		x.refusals.Inc()
		return Lost.Wrap(err)
	}
	return nil
}

type result struct {
	resp *http.Response
	err  error
}

func newConn(c *Client, id string, raw net.Conn) *conn {
	cn := &conn{client: c, id: id, raw: raw, input: limitedInput{r: raw}}
	go cn.readLoop()
	return cn
}

// isOpen reports whether the connection has not been closed.
func (cn *conn) isOpen() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return !cn.closed
}

func (cn *conn) close() {
	cn.mu.Lock()
	cn.closed = true
	cn.mu.Unlock()
	cn.closeOnce.Do(func() { _ = cn.raw.Close() })
}

// do sends a request and waits for the header of its response.
func (cn *conn) do(ctx context.Context, r Request) (*http.Response, error) {
	x := &exchange{
		request:    r,
		responseTo: &http.Request{Method: r.Method},
		response:   make(chan result, 1),
		bodyDone:   make(chan bool, 1),
		written:    make(chan struct{}),
		released:   make(chan struct{}),
		held:       cn.client.o.Budget.Reserve("endpoint " + cn.id),
		refusals:   cn.client.o.Metrics.BudgetRefusals,
	}
	cn.mu.Lock()
	if cn.closed {
		cn.mu.Unlock()
		return nil, NotSent.New("connection closed while idle")
	}
	x.first, cn.used = !cn.used, true
	cn.current = x
	cn.mu.Unlock()
	if ctx.Err() != nil {
		cn.close()
		return nil, NotSent.Wrap(ctx.Err())
	}

	stop := context.AfterFunc(ctx, cn.close)
	writeDone := make(chan writeResult, 1)
	send := func() {
		n, err := cn.write(r)
		x.writeErr = err
		close(x.written)
		writeDone <- writeResult{n: n, err: err}
	}
	if len(r.Body) <= inlineBodySize {
		send()
	} else {
		// The endpoint may answer before it has read the whole body.
		go send()
	}
	var res result
	select {
	case res = <-x.response:
	case sent := <-writeDone:
		if sent.err != nil && sent.n == 0 {
			stop()
			cn.close()
			x.held.Release()
			return nil, NotSent.Wrap(sent.err)
		}
		// An endpoint may answer and close before it has read the whole request.
		res = <-x.response
	}
	if res.err != nil {
		stop()
		cn.close()
		x.held.Release()
		if ctx.Err() != nil {
			return nil, Lost.Wrap(ctx.Err())
		}
		return nil, Lost.Wrap(res.err)
	}
	res.resp.Body = &body{ReadCloser: res.resp.Body, cn: cn, x: x, stop: stop, closeDelimited: IsCloseDelimited(res.resp)}
	return res.resp, nil
}

type writeResult struct {
	n   int64
	err error
}

// write writes the request with the request line and header as given.
func (cn *conn) write(r Request) (int64, error) {
	var header strings.Builder
	header.Grow(512)
	header.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		header.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&header); err != nil {
		return 0, err
	}
	header.WriteString("\r\n")
	if len(r.Body) == 0 {
		n, err := io.WriteString(cn.raw, header.String())
		return int64(n), err
	}
	buffers := net.Buffers{[]byte(header.String()), r.Body}
	return buffers.WriteTo(cn.raw)
}

// readLoop reads responses until the connection fails or is closed.
func (cn *conn) readLoop() {
	br := bufio.NewReaderSize(&cn.input, readBufferSize)
	for {
		_, err := br.Peek(1)
		cn.mu.Lock()
		x := cn.current
		if x == nil {
			// The endpoint closed the idle connection or sent bytes that belong to no request.
			cn.closed = true
		}
		cn.mu.Unlock()
		if x == nil {
			cn.close()
			return
		}
		if err != nil {
			x.response <- result{err: err}
			cn.close()
			return
		}
		reusable := cn.readResponse(br, x)
		close(x.released)
		if !reusable {
			cn.close()
			return
		}
	}
}

// readResponse reads the response of x and reports whether the connection can be used again.
func (cn *conn) readResponse(br *bufio.Reader, x *exchange) bool {
	cn.input.limit(x.holdHead)
	resp, err := cn.readCorrelated(br, x)
	if err != nil {
		x.response <- result{err: err}
		return false
	}
	cn.input.unlimit()
	cn.setIdleUntil(resp.Header)
	x.response <- result{resp: resp}
	if complete := <-x.bodyDone; !complete || resp.Close {
		return false
	}
	<-x.written
	cn.mu.Lock()
	cn.current = nil
	closed := cn.closed
	cn.mu.Unlock()
	if closed {
		return false
	}
	cn.client.putIdle(cn)
	return true
}

// readCorrelated returns the response that names the call of x. It skips interim responses and up to
// maxMismatched responses that name another call. A response that names no call is that of x only if nothing
// else can have been answered on the connection. If x takes any answer, so is every response.
func (cn *conn) readCorrelated(br *bufio.Reader, x *exchange) (*http.Response, error) {
	for mismatched := 0; mismatched <= maxMismatched; {
		resp, err := http.ReadResponse(br, x.responseTo)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
			return nil, Lost.New("status %d, which is none of HTTP", resp.StatusCode)
		}
		id := cn.client.o.ResponseID(resp.Header)
		if id != "" && id == x.request.ID {
			return resp, nil
		}
		if id == "" {
			cn.client.o.Metrics.UncorrelatedResponses.Inc()
		}
		if x.request.AnyAnswer || id == "" && x.first && mismatched == 0 {
			cn.uncorrelated = true
			return resp, nil
		}
		if id == "" {
			return nil, errUncorrelated
		}
		mismatched++
		cn.client.o.Metrics.MismatchedResponses.Inc()
		if resp.Close {
			break
		}
		if err := cn.discard(resp, x); err != nil {
			return nil, err
		}
	}
	return nil, errMismatched
}

// discard reads the body of a mismatched response before that of x.
func (cn *conn) discard(resp *http.Response, x *exchange) error {
	cn.input.unlimit()
	defer cn.input.limit(x.holdHead)
	_, err := io.CopyN(io.Discard, resp.Body, maxMismatchedBody+1)
	switch {
	case err == nil:
		return Lost.New("answer to another request, of more than %d bytes", maxMismatchedBody)
	case errors.Is(err, io.EOF):
		return nil
	}
	return Lost.Wrap(err)
}

var (
	errMismatched   = Lost.New("answer to another request")
	errUncorrelated = Lost.New("answer that names no request, on a connection that carried others")
)

// limitedInput reads from r and bounds what is read while a head is expected. An endpoint in trouble may send header
// lines without end.
type limitedInput struct {
	r io.Reader
	// hold is called with the memory that the head takes so far; nil if no head is expected.
	hold func(n int64) error
	// read and lines count the bytes and lines of the input since a head is expected.
	read, lines int
}

func (l *limitedInput) limit(hold func(n int64) error) { l.hold, l.read, l.lines = hold, 0, 0 }

func (l *limitedInput) unlimit() { l.hold = nil }

// Read implements io.Reader.
func (l *limitedInput) Read(p []byte) (int, error) {
	if l.hold == nil {
		return l.r.Read(p)
	}
	switch {
	case l.read >= maxHeadBytes:
		return 0, errHeadTooLarge
	case l.lines > maxHeadLines:
		return 0, errTooManyLines
	}
	// The bytes read so far do not complete the head.
	if err := l.hold(int64(l.read + l.lines*headLineCost)); err != nil {
		return 0, err
	}
	n, err := l.r.Read(p[:min(len(p), maxHeadBytes-l.read)])
	l.read += n
	l.lines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

var (
	errHeadTooLarge = Lost.New("head of more than %d bytes", maxHeadBytes)
	errTooManyLines = Lost.New("head of more than %d lines", maxHeadLines)
)

// setIdleUntil sets idleUntil from the idle time-out that the endpoint announces in Keep-Alive.
func (cn *conn) setIdleUntil(h http.Header) {
	idle := cn.client.o.IdleTimeout
	for _, item := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = min(idle, time.Duration(n)*time.Second-idleMargin)
		}
	}
	cn.idleUntil = time.Now().Add(idle)
}

// body is the body of a response. When it has been read to its end, the connection returns to the
// pool.
type body struct {
	io.ReadCloser
	cn   *conn
	x    *exchange
	stop func() bool
	once sync.Once
	// closeDelimited is set if only the end of the connection shows the end of the body.
	closeDelimited bool
	// detached is set if what the response holds of the budget is not given back by Close.
	detached bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.closeDelimited {
		err = b.checkRequestWritten()
	}
	if err != nil {
		b.finish(err == io.EOF)
	}
	return n, err
}

// checkRequestWritten returns io.EOF if the request was written to its end, and an error otherwise. The end of a connection
// on which the request was not written shows nothing: if the endpoint resets it, the failed write takes the error of the
// socket, and a read after it sees a regular end.
func (b *body) checkRequestWritten() error {
	t := time.NewTimer(uploadEndTimeout)
	defer t.Stop()
	select {
	case <-b.x.written:
		if b.x.writeErr == nil {
			return io.EOF
		}
		return Lost.New("the connection ended while the request was written: %v", b.x.writeErr)
	case <-t.C:
		return Lost.New("the connection ended and the request is still written")
	}
}

// IsCloseDelimited reports whether the end of a response's body is shown only by the end of its connection.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Close closes the connection if the body has not been read to its end.
func (b *body) Close() error {
	b.finish(false)
	if !b.detached {
		b.x.held.Release()
	}
	return nil
}

// hold implements holder.
func (b *body) hold(n int64) error { return b.x.hold(b.x.head + n) }

// detach implements holder.
func (b *body) detach() (release func()) {
	b.detached = true
	return b.x.held.Release
}

// finish tells the reader whether the body was read to its end, and closes the connection if not.
func (b *body) finish(complete bool) {
	b.once.Do(func() {
		if !b.stop() {
			complete = false // ctx is done and has closed the connection
		}
		if !complete {
			b.cn.close()
		}
		b.x.bodyDone <- complete
		b.awaitRelease(complete)
	})
}

// awaitRelease waits until the connection is idle again, so that the caller's next request can use
// it.
func (b *body) awaitRelease(complete bool) {
	if !complete {
		return
	}
	select {
	case <-b.x.written:
		<-b.x.released
	default:
		// The endpoint answered before it had read the whole request.
	}
}
