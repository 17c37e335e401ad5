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

// faultProxy is a fault-injecting proxy for one upstream address.
type faultProxy struct {
	proxy   *toxiproxy.Proxy
	silence *silenceSwitch
	// placeholderFD is the socket that keeps the proxy's port bound while the proxy is cut. 0 means
	// none.
	placeholderFD int
}

// newProxy starts a proxy for the upstream address on a free port.
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

// apply injects or ends a fault:
//
//	cut              closes all connections and refuses new ones
//	silence          permanently drops all bytes of the connections that are open now
//	latency MS       delays bytes from the upstream, which carry the answers
//	latency-up MS    delays bytes to the upstream, which carry the calls
//	restore          ends cut and both latencies
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
	return fmt.Errorf("unknown fault %q", fault)
}

// cut stops the proxy and keeps its port bound without listening. Connections are refused, and no
// other process of the tests can be assigned the port.
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

// reopen restarts a proxy that was cut.
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

// silenceSwitches maps the listening address of a proxy to its *silenceSwitch.
var silenceSwitches sync.Map

// silenceSwitch silences all connections that are open when it is triggered. Connections opened later
// pass until the next trigger.
type silenceSwitch struct {
	mu        sync.Mutex
	triggered chan struct{}
}

func newSilenceSwitch() *silenceSwitch { return &silenceSwitch{triggered: make(chan struct{})} }

// current returns a channel that is closed by the next trigger.
func (s *silenceSwitch) current() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.triggered
}

// trigger silences all connections that are open now.
func (s *silenceSwitch) trigger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.triggered)
	s.triggered = make(chan struct{})
}

// silenceToxic passes bytes until its connection is silenced, and drops them from then on while the
// connection stays open. It simulates a device between two peers that has lost the state of a
// connection.
type silenceToxic struct {
	Proxy string `json:"proxy"`
}

// Pipe implements toxics.Toxic.
func (t *silenceToxic) Pipe(stub *toxics.ToxicStub) {
	value, ok := silenceSwitches.Load(t.Proxy)
	if !ok {
		return
	}
	if stub.State == nil { // the state survives interrupts by other toxics
		stub.State = value.(*silenceSwitch).current()
	}
	silenced := stub.State.(<-chan struct{})
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
			case <-silenced:
			default:
				stub.Output <- c
			}
		}
	}
}

// NewState implements toxics.StatefulToxic.
func (t *silenceToxic) NewState() interface{} { return nil }

func init() { toxics.Register("mute", new(silenceToxic)) }
