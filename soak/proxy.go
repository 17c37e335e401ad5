package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azurelead/azurelead/platform/fleettest"
)

// proxyMode is how a proxy treats the bytes that it receives.
type proxyMode int32

const (
	modeForward proxyMode = iota
	// modeDropAll drops the bytes of both directions.
	modeDropAll
	// modeDropResponses forwards requests and drops responses.
	modeDropResponses
	// modeDelay delays every chunk by forwardDelay.
	modeDelay
)

// forwardDelay is the delay of each chunk in modeDelay.
const forwardDelay = 80 * time.Millisecond

// proxy is a TCP proxy on the loopback interface that forwards to one address.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := fleettest.Listen()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(mode proxyMode) { p.mode.Store(int32(mode)) }

// reset closes all connections with a TCP reset.
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
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		p.track(downstream, upstream)
		go p.forward(upstream, downstream, modeDropAll)
		go p.forward(downstream, upstream, modeDropResponses)
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// forward copies bytes from src to dst until either side closes. The modes from modeDropAll to
// lastDropMode drop them.
func (p *proxy) forward(dst, src net.Conn, lastDropMode proxyMode) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, src)
		p.mu.Unlock()
		_ = dst.Close()
		_ = src.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			switch mode := proxyMode(p.mode.Load()); {
			case mode >= modeDropAll && mode <= lastDropMode:
				_, _ = io.Discard.Write(buffer[:n])
				continue
			case mode == modeDelay:
				time.Sleep(forwardDelay)
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
