package itest

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"syscall"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
)

// faultProxy is a fault-injecting proxy in front of one address.
type faultProxy struct {
	proxy   *toxiproxy.Proxy
	silence *silenceSwitch
	// placeholderFD is the socket that keeps the proxy's port while it is cut; 0 is none.
	placeholderFD int
}

// newProxy starts a proxy on a port of its own.
func newProxy(name, upstream string) (*faultProxy, error) {
	logger := zerolog.Nop()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), logger)
	p := &faultProxy{proxy: toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream), silence: newSilenceSwitch()}
	if err := p.proxy.Start(); err != nil {
		return nil, err
	}
	silenceSwitches.Store(p.proxy.Listen, p.silence)
	for _, direction := range []string{"upstream", "downstream"} {
		if err := p.addToxic("mute", direction, fmt.Sprintf(`{"proxy":%q}`, p.proxy.Listen)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *faultProxy) addToxic(kind, direction, attributes string) error {
	_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(fmt.Sprintf(
		`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, kind+"_"+direction, kind, direction, attributes)))
	return err
}

// apply brings a fault about:
//
//	cut              closes all connections and refuses new ones
//	silence          swallows all bytes of connections that are open now, for good
//	latency MS       delays the answers
//	latency-up MS    delays the calls
//	restore          ends cut and latency
func (p *faultProxy) apply(fault string, args ...string) error {
	switch fault {
	case "cut":
		return p.cut()
	case "silence":
		p.silence.trigger()
		return nil
	case "latency":
		return p.addToxic("latency", "downstream", `{"latency":`+args[0]+`}`)
	case "latency-up":
		return p.addToxic("latency", "upstream", `{"latency":`+args[0]+`}`)
	case "restore":
		for _, direction := range []string{"upstream", "downstream"} {
			_ = p.proxy.Toxics.RemoveToxic(context.Background(), "latency_"+direction)
		}
		return p.reopen()
	}
	return fmt.Errorf("fault %q is not known", fault)
}

// cut stops the proxy and keeps its port bound without listening, so that
// connections are refused and no other process of the tests is given the port.
func (p *faultProxy) cut() error {
	if !p.proxy.Enabled {
		return nil
	}
	addr, err := netip.ParseAddrPort(p.proxy.Listen)
	if err != nil {
		return err
	}
	p.proxy.Stop()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	p.placeholderFD = fd
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	return eventually(func() error {
		return syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()})
	})
}

// reopen starts a proxy that was cut.
func (p *faultProxy) reopen() error {
	if p.proxy.Enabled {
		return nil
	}
	p.closePlaceholder()
	return p.proxy.Start()
}

func (p *faultProxy) closePlaceholder() {
	if p.placeholderFD != 0 {
		_ = syscall.Close(p.placeholderFD)
		p.placeholderFD = 0
	}
}

func (p *faultProxy) close() {
	p.proxy.Stop()
	p.closePlaceholder()
}

// silenceSwitches finds the gate of a proxy by its listening address.
var silenceSwitches sync.Map

// silenceSwitch is open for connections until it is shut; connections that come later
// pass through a new silenceSwitch.
type silenceSwitch struct {
	mu        sync.Mutex
	triggered chan struct{}
}

func newSilenceSwitch() *silenceSwitch { return &silenceSwitch{triggered: make(chan struct{})} }

func (g *silenceSwitch) current() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.triggered
}

func (g *silenceSwitch) trigger() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.triggered)
	g.triggered = make(chan struct{})
}

// silenceToxic passes bytes until its connection's gate is shut, and swallows
// them from then on with the connection left open. It stands for a device
// between two ends that has lost track of a connection.
type silenceToxic struct {
	Proxy string `json:"proxy"`
}

// Pipe implements toxics.Toxic.
func (m *silenceToxic) Pipe(stub *toxics.ToxicStub) {
	found, ok := silenceSwitches.Load(m.Proxy)
	if !ok {
		return
	}
	if stub.State == nil { // the state outlives interrupts by other toxics
		stub.State = found.(*silenceSwitch).current()
	}
	shut := stub.State.(<-chan struct{})
	for {
		select {
		case <-stub.Interrupt:
			return
		case c := <-stub.Input:
			if c == nil {
				stub.Close()
				return
			}
			select {
			case <-shut:
			default:
				stub.Output <- c
			}
		}
	}
}

// NewState implements toxics.StatefulToxic.
func (m *silenceToxic) NewState() interface{} { return nil }

func init() { toxics.Register("mute", new(silenceToxic)) }
