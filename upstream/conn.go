package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// readBuffer holds a response's header and a few events, in bytes.
	readBuffer = 4 << 10
	// maxForeignBody bounds a foreign response that is read past, in bytes.
	maxForeignBody = 256 << 10
	// inlineBody is the size of bodies that a socket takes without waiting, in bytes.
	inlineBody = 2 << 10
	// idleMargin is left of the endpoint's idle timeout, so that a request does
	// not cross the endpoint's close.
	idleMargin = time.Second
)

// conn is one connection. A reader goroutine owns its reading side: it notices
// a close while the connection is idle, and reads the responses.
type conn struct {
	client *Client
	id     string
	raw    net.Conn
	reused bool
	// idleUntil is when the endpoint may close the idle connection.
	idleUntil time.Time

	mu      sync.Mutex
	busy    *exchange
	closed  bool
	closing sync.Once
}

// exchange is one request on a connection.
type exchange struct {
	request  Request
	method   *http.Request
	response chan result
	// bodyDone tells the reader that the response's body was read or given up.
	bodyDone chan bool
	written  chan struct{}
	// settled is closed when the connection is idle again or given up.
	settled chan struct{}
}

type result struct {
	resp *http.Response
	err  error
}

func newConn(c *Client, id string, raw net.Conn) *conn {
	cn := &conn{client: c, id: id, raw: raw}
	go cn.read()
	return cn
}

// take reports whether the idle connection still is open.
func (cn *conn) take() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return !cn.closed
}

func (cn *conn) close() {
	cn.mu.Lock()
	cn.closed = true
	cn.mu.Unlock()
	cn.closing.Do(func() { _ = cn.raw.Close() })
}

func (cn *conn) do(ctx context.Context, r Request) (*http.Response, error) {
	x := &exchange{
		request:  r,
		method:   &http.Request{Method: r.Method},
		response: make(chan result, 1),
		bodyDone: make(chan bool, 1),
		written:  make(chan struct{}),
		settled:  make(chan struct{}),
	}
	cn.mu.Lock()
	if cn.closed {
		cn.mu.Unlock()
		return nil, NotSent.New("connection closed while idle")
	}
	cn.busy = x
	cn.mu.Unlock()
	if ctx.Err() != nil {
		cn.close()
		return nil, NotSent.Wrap(ctx.Err())
	}

	stop := context.AfterFunc(ctx, cn.close)
	wrote := make(chan writeResult, 1)
	send := func() {
		n, err := cn.write(r)
		close(x.written)
		wrote <- writeResult{n: n, err: err}
	}
	if len(r.Body) <= inlineBody {
		send()
	} else {
		// The endpoint may answer before it has read so much.
		go send()
	}
	var res result
	select {
	case res = <-x.response:
	case w := <-wrote:
		if w.err != nil && w.n == 0 {
			stop()
			cn.close()
			return nil, NotSent.Wrap(w.err)
		}
		// An endpoint may answer and close before it has read the whole request.
		res = <-x.response
	}
	if res.err != nil {
		stop()
		cn.close()
		if ctx.Err() != nil {
			return nil, Lost.Wrap(ctx.Err())
		}
		return nil, Lost.Wrap(res.err)
	}
	res.resp.Body = &body{ReadCloser: res.resp.Body, cn: cn, x: x, stop: stop}
	return res.resp, nil
}

type writeResult struct {
	n   int64
	err error
}

// write sends the request as the client's request line and header say.
func (cn *conn) write(r Request) (int64, error) {
	var head strings.Builder
	head.Grow(512)
	head.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&head); err != nil {
		return 0, err
	}
	head.WriteString("\r\n")
	if len(r.Body) == 0 {
		n, err := io.WriteString(cn.raw, head.String())
		return int64(n), err
	}
	buffers := net.Buffers{[]byte(head.String()), r.Body}
	return buffers.WriteTo(cn.raw)
}

// read serves the connection until it fails or is closed.
func (cn *conn) read() {
	br := bufio.NewReaderSize(cn.raw, readBuffer)
	for {
		_, err := br.Peek(1)
		cn.mu.Lock()
		x := cn.busy
		if x == nil {
			// A close, or bytes that belong to no request.
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
		again := cn.exchange(br, x)
		close(x.settled)
		if !again {
			cn.close()
			return
		}
	}
}

// exchange reads the response of x, and reports whether the connection can be
// used again.
func (cn *conn) exchange(br *bufio.Reader, x *exchange) bool {
	for {
		resp, err := http.ReadResponse(br, x.method)
		if err != nil {
			x.response <- result{err: err}
			return false
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if x.request.Matches != nil && !x.request.Matches(resp.StatusCode, resp.Header) {
			cn.client.o.Metrics.MismatchedResponses.Inc()
			if !skipForeign(resp) {
				x.response <- result{err: errForeign}
				return false
			}
			continue
		}
		cn.setIdleUntil(resp.Header)
		x.response <- result{resp: resp}
		if whole := <-x.bodyDone; !whole || resp.Close {
			return false
		}
		<-x.written
		cn.mu.Lock()
		cn.busy = nil
		closed := cn.closed
		cn.mu.Unlock()
		if closed {
			return false
		}
		cn.client.putIdle(cn)
		return true
	}
}

var errForeign = Lost.New("answer to another request")

// skipForeign reads past a response that belongs to another request.
func skipForeign(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody))
	return err == nil && n < maxForeignBody && !resp.Close
}

// setIdleUntil takes the idle timeout that the endpoint states.
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

// body returns the connection to the pool once it was read to its end.
type body struct {
	io.ReadCloser
	cn   *conn
	x    *exchange
	stop func() bool
	once sync.Once
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.done(err == io.EOF)
	}
	return n, err
}

// Close gives up what was not read.
func (b *body) Close() error {
	b.done(false)
	return nil
}

func (b *body) done(whole bool) {
	b.once.Do(func() {
		if !b.stop() {
			whole = false // ctx has ended and closes the connection
		}
		if !whole {
			b.cn.close()
		}
		b.x.bodyDone <- whole
		b.settle(whole)
	})
}

// settle waits until the connection is idle again, so that the caller's next
// request finds it.
func (b *body) settle(whole bool) {
	if !whole {
		return
	}
	select {
	case <-b.x.written:
		<-b.x.settled
	default:
		// The endpoint answered before it has read the whole request.
	}
}
