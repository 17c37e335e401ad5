package agent

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/azurelead/azurelead/link"
)

// DefaultDrainTimeout bounds a planned stop: after it, what still runs is cut.
const DefaultDrainTimeout = 60 * time.Second

// Node is an agent together with the links on which entries reach it.
type Node struct {
	agent  *Agent
	server atomic.Pointer[link.Server]
	drain  time.Duration
	// onLeave is called when the node begins to leave.
	onLeave func()
}

// NodeOptions sets up a Node.
type NodeOptions struct {
	Agent Options
	Links link.ServerOptions
	// DrainTimeout bounds a planned stop; DefaultDrain by default.
	DrainTimeout time.Duration
	// OnLeave is called when the node begins to leave, so that readiness goes
	// first. It may be nil.
	OnLeave func()
}

// NewNode returns a node that does not listen yet.
func NewNode(o NodeOptions) (*Node, error) {
	o.DrainTimeout = cmp.Or(o.DrainTimeout, DefaultDrainTimeout)
	if o.OnLeave == nil {
		o.OnLeave = func() {}
	}
	if o.Links.Gossip == nil {
		o.Links.Gossip = o.Agent.Gossip
	}
	if o.Links.Logger == nil {
		o.Links.Logger = o.Agent.Logger
	}
	n := &Node{drain: o.DrainTimeout, onLeave: o.OnLeave}
	// The agent has no links yet when it is made, so that its first states can
	// go unsaid.
	o.Agent.OnStateChange = func() {
		if s := n.server.Load(); s != nil {
			s.BroadcastState()
		}
	}
	var err error
	if n.agent, err = New(o.Agent); err != nil {
		return nil, err
	}
	n.server.Store(link.NewServer(n.agent, o.Links))
	return n, nil
}

// Agent returns the node's agent.
func (n *Node) Agent() *Agent { return n.agent }

// Handle adds a method of the links, such as claims and orders. It must be
// called before Serve.
func (n *Node) Handle(method string, m link.Method) { n.server.Load().Handle(method, m) }

// FetchSettings asks any one linked entry for the settings above have.
func (n *Node) FetchSettings(ctx context.Context, have link.Version) (link.SettingsResult, error) {
	return n.server.Load().FetchSettings(ctx, have)
}

// BroadcastState passes load, settings version and marks on to all peers at once.
func (n *Node) BroadcastState() { n.server.Load().BroadcastState() }

// Leave refuses new work for good and tells all peers.
func (n *Node) Leave() {
	n.onLeave()
	n.agent.Leave()
	n.server.Load().Leave()
}

// Serve serves links on l until ctx ends. It then refuses new work, tells the
// peers, waits until all that runs is answered, and closes.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	served := make(chan error, 1)
	go func() { served <- n.server.Load().Serve(context.Background(), l) }()
	defer n.agent.Close()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	n.Leave()
	stop, cancel := context.WithTimeout(context.Background(), n.drain)
	defer cancel()
	err := n.server.Load().Shutdown(stop)
	if err != nil {
		// What still runs must end before the links do.
		n.agent.close()
	}
	return errs.Combine(err, <-served)
}
