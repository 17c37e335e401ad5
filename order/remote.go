package order

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
)

// Message is the request of link.MethodOrder, which the holder of the lease sends to an
// agent. It contains an order, or requests a report if Order is nil.
type Message struct {
	Fence uint64 `json:"fence"`
	Order *Order `json:"order,omitempty"`
}

// Reply is the response to a Message.
type Reply struct {
	Report  *Report           `json:"report,omitempty"`
	Problem *contract.Problem `json:"problem,omitempty"`
}

// Handle serves link.MethodOrder.
func (e *Executor) Handle(ctx context.Context, params json.RawMessage) (any, error) {
	var m Message
	if err := json.Unmarshal(params, &m); err != nil {
		return nil, Error.Wrap(err)
	}
	if m.Order != nil {
		return Reply{Problem: e.Accept(ctx, *m.Order)}, nil
	}
	r, p := e.Report(ctx, m.Fence)
	if p != nil {
		return Reply{Problem: p}, nil
	}
	return Reply{Report: &r}, nil
}

// AgentClient calls agents over links. It opens a link when it is first needed.
type AgentClient struct {
	// Options configures the links.
	Options link.ClientOptions

	mu      sync.Mutex
	clients map[string]*link.Client
}

// Report implements Agents.
func (l *AgentClient) Report(ctx context.Context, i platform.Instance, fence uint64) (Report, *contract.Problem) {
	reply, p := l.call(ctx, i, Message{Fence: fence})
	if p != nil {
		return Report{}, p
	}
	if reply.Report == nil {
		return Report{}, contract.NewProblem(contract.CodeInternal, contract.NotRun, "%s sent no report", i.Name)
	}
	return *reply.Report, nil
}

// Order implements Agents.
func (l *AgentClient) Order(ctx context.Context, i platform.Instance, o Order) *contract.Problem {
	_, p := l.call(ctx, i, Message{Fence: o.Fence, Order: &o})
	return p
}

// Close closes all links.
func (l *AgentClient) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.clients {
		_ = c.Close()
	}
	l.clients = nil
}

func (l *AgentClient) call(ctx context.Context, i platform.Instance, m Message) (Reply, *contract.Problem) {
	c, err := l.client(ctx, i)
	if err != nil {
		return Reply{}, contract.NewProblem(contract.CodeNoEndpoint, contract.NotRun, "%s: %v", i.Name, err)
	}
	var reply Reply
	if err := c.Call(ctx, link.MethodOrder, m, &reply); err != nil {
		return Reply{}, contract.NewProblem(contract.CodeOutcomeUnknown, contract.MayHaveRun, "%s: %v", i.Name, err)
	}
	return reply, reply.Problem
}

// client returns an open link to the instance. It dials a new link if there is none or if
// the previous one is closed.
func (l *AgentClient) client(ctx context.Context, i platform.Instance) (*link.Client, error) {
	key := i.Name + "@" + i.AgentAddress
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.clients[key]; ok {
		select {
		case <-c.Done():
			delete(l.clients, key)
		default:
			return c, nil
		}
	}
	c, err := link.Dial(ctx, i.AgentAddress, l.Options)
	if err != nil {
		return nil, err
	}
	if l.clients == nil {
		l.clients = make(map[string]*link.Client)
	}
	l.clients[key] = c
	return c, nil
}
