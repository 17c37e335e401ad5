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

// DefaultDrainTimeout bounds a planned stop. Calls that still run after it are cancelled.
const DefaultDrainTimeout = 60 * time.Second

// Node is an agent together with the server of the links from entries.
type Node struct {
	agent        *Agent
	server       atomic.Pointer[link.Server]
	drainTimeout time.Duration
	// onLeave is called when the node starts to leave.
	onLeave func()
}

// NodeOptions configures a Node.
type NodeOptions struct {
	Agent Options
	Links link.ServerOptions
	// DrainTimeout bounds a planned stop. The default is DefaultDrainTimeout.
	DrainTimeout time.Duration
	// OnLeave is called when the node starts to leave, before it refuses work, so that it can
	// report itself as not ready. It may be nil.
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
	n := &Node{drainTimeout: o.DrainTimeout, onLeave: o.OnLeave}
	// The server does not exist yet while the agent is created. Changes of state before then need
	// no broadcast, because no peer is linked.
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

// Handle adds a method to the links, such as claims and orders. It must be called before Serve.
func (n *Node) Handle(method string, m link.Method) { n.server.Load().Handle(method, m) }

// FetchSettings asks one of the linked entries for the settings changes after version have.
func (n *Node) FetchSettings(ctx context.Context, have link.Version) (link.SettingsResult, error) {
	return n.server.Load().FetchSettings(ctx, have)
}

// BroadcastState sends the load, the settings version and the marks to all linked entries.
func (n *Node) BroadcastState() { n.server.Load().BroadcastState() }

// Leave makes the node refuse new work permanently and tells all linked entries.
func (n *Node) Leave() {
	n.onLeave()
	n.agent.Leave()
	n.server.Load().Leave()
}

// Serve serves links on l until ctx ends. It then refuses new work, notifies the linked entries,
// waits until all running calls are answered, and closes the links.
func (n *Node) Serve(ctx context.Context, l net.Listener) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- n.server.Load().Serve(context.Background(), l) }()
	defer n.agent.Close()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	n.Leave()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), n.drainTimeout)
	defer cancel()
	err := n.server.Load().Shutdown(shutdownCtx)
	if err != nil {
		// Running calls must end before their links are closed.
		n.agent.cancel()
	}
	return errs.Combine(err, <-serveErr)
}
