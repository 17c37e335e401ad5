package itest

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	"github.com/rs/zerolog"
)

// faultProxy is a fault-injecting proxy in front of one address.
type faultProxy struct {
	proxy *toxiproxy.Proxy
	gate  *gate
}

// newProxy starts a proxy on a port of its own.
func newProxy(name, upstream string) (*faultProxy, error) {
	logger := zerolog.Nop()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), logger)
	p := &faultProxy{proxy: toxiproxy.NewProxy(server, name, "127.0.0.1:0", upstream), gate: newGate()}
	if err := p.proxy.Start(); err != nil {
		return nil, err
	}
	gates.Store(p.proxy.Listen, p.gate)
	for _, direction := range []string{"upstream", "downstream"} {
		if err := p.add("mute", direction, fmt.Sprintf(`{"proxy":%q}`, p.proxy.Listen)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *faultProxy) add(kind, direction, attributes string) error {
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
		p.proxy.Stop()
		return nil
	case "silence":
		p.gate.shut()
		return nil
	case "latency":
		return p.add("latency", "downstream", `{"latency":`+args[0]+`}`)
	case "latency-up":
		return p.add("latency", "upstream", `{"latency":`+args[0]+`}`)
	case "restore":
		for _, direction := range []string{"upstream", "downstream"} {
			_ = p.proxy.Toxics.RemoveToxic(context.Background(), "latency_"+direction)
		}
		if !p.proxy.Enabled {
			return p.proxy.Start()
		}
		return nil
	}
	return fmt.Errorf("fault %q is not known", fault)
}

func (p *faultProxy) close() { p.proxy.Stop() }

// gates finds the gate of a proxy by its listening address.
var gates sync.Map

// gate is open for connections until it is shut; connections that come later
// pass through a new gate.
type gate struct {
	mu   sync.Mutex
	done chan struct{}
}

func newGate() *gate { return &gate{done: make(chan struct{})} }

func (g *gate) current() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.done
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.done)
	g.done = make(chan struct{})
}

// muteToxic passes bytes until its connection's gate is shut, and swallows
// them from then on with the connection left open. It stands for a device
// between two ends that has lost track of a connection.
type muteToxic struct {
	Proxy string `json:"proxy"`
}

// Pipe implements toxics.Toxic.
func (m *muteToxic) Pipe(stub *toxics.ToxicStub) {
	found, ok := gates.Load(m.Proxy)
	if !ok {
		return
	}
	if stub.State == nil { // the state outlives interrupts by other toxics
		stub.State = found.(*gate).current()
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
func (m *muteToxic) NewState() interface{} { return nil }

func init() { toxics.Register("mute", new(muteToxic)) }
