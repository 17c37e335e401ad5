package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// wire is how a proxy treats what passes.
type wire int32

const (
	wirePass wire = iota
	// wireSilent takes bytes and passes none on, in either direction.
	wireSilent
	// wireDeaf passes requests on and no answers.
	wireDeaf
	// wireSlow delays every piece.
	wireSlow
)

// slowBy is the delay of a slow wire.
const slowBy = 80 * time.Millisecond

// proxy is a loopback proxy before one address.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m wire) { p.mode.Store(int32(m)) }

// reset cuts all connections at once.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.track(in, out)
		go p.copy(out, in, wireSilent)
		go p.copy(in, out, wireDeaf)
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copy passes bytes on until a side ends; modes from silent to blocked lose them.
func (p *proxy) copy(to, from net.Conn, blocked wire) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			switch m := wire(p.mode.Load()); {
			case m >= wireSilent && m <= blocked:
				_, _ = io.Discard.Write(buffer[:n])
				continue
			case m == wireSlow:
				time.Sleep(slowBy)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
