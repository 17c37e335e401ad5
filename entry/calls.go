package entry

import (
	"context"
	"sync"
	"time"

	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
)

// extraIdle is how long a link outside the entry's subset stays unused.
const extraIdle = time.Minute

// calls reaches any agent, also those outside the entry's subset, for claims
// and for settling what other entries began.
type calls struct {
	fleet *fleet
	dial  Dialer

	mu     sync.Mutex
	extras map[string]*extra
}

// extra is a link outside the subset, closed when idle.
type extra struct {
	link Link
	idle *time.Timer
}

func newCalls(f *fleet, dial Dialer) *calls {
	return &calls{fleet: f, dial: dial, extras: make(map[string]*extra)}
}

// linkTo returns a link to the agent at addr, the entry's own if it has one.
func (c *calls) linkTo(ctx context.Context, addr string) (Link, error) {
	if l := c.fleet.linkAt(addr); l != nil {
		return l, nil
	}
	if l := c.existing(addr); l != nil {
		return l, nil
	}
	l, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.keep(addr, l), nil
}

func (c *calls) existing(addr string) Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.extras[addr]
	if x == nil || isDone(x.link) {
		return nil
	}
	x.idle.Reset(extraIdle)
	return x.link
}

// keep stores a new link, unless another call was faster.
func (c *calls) keep(addr string, l Link) Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.extras[addr]
	if old != nil && !isDone(old.link) {
		go func() { _ = l.Close() }()
		return old.link
	}
	if old != nil {
		old.idle.Stop()
	}
	x := &extra{link: l}
	x.idle = time.AfterFunc(extraIdle, func() { c.drop(addr, x) })
	c.extras[addr] = x
	return l
}

func (c *calls) drop(addr string, x *extra) {
	c.mu.Lock()
	if c.extras[addr] == x {
		delete(c.extras, addr)
	}
	c.mu.Unlock()
	_ = x.link.Close()
}

// close closes all the extra links.
func (c *calls) close() {
	c.mu.Lock()
	extras := c.extras
	c.extras = make(map[string]*extra)
	c.mu.Unlock()
	for _, x := range extras {
		x.idle.Stop()
		_ = x.link.Close()
	}
}

// Call calls a method of the agent at addr. It is a claim.Caller.
func (e *Entry) Call(ctx context.Context, addr, method string, params, result any) error {
	l, err := e.calls.linkTo(ctx, addr)
	if err != nil {
		return err
	}
	return l.Call(ctx, method, params, result)
}

// AnnounceSettings passes the settings version on to all linked agents at once.
func (e *Entry) AnnounceSettings() {
	for _, l := range e.fleet.links() {
		if t, ok := l.(interface{ Tell() }); ok {
			t.Tell()
		}
	}
}

// FetchSettings asks some linked agent for the settings changes above have. It
// is a settings.Fetch.
func (e *Entry) FetchSettings(ctx context.Context, have link.Version) (link.SettingsResult, error) {
	l := e.fleet.any()
	if l == nil {
		return link.SettingsResult{}, Error.New("no agent is linked")
	}
	var res link.SettingsResult
	err := l.Call(ctx, link.MethodSettings, link.SettingsParams{Have: have}, &res)
	return res, err
}

// ClaimWriters returns the agents that write claims for entries: those beside
// application services, which every entry sees alike.
func (e *Entry) ClaimWriters() []claim.Candidate {
	var out []claim.Candidate
	for _, in := range e.fleet.table.Live(time.Now()) {
		if in.Kind == pipeline.Service {
			out = append(out, claim.Candidate{Agent: in.Name, Addr: in.AgentAddress})
		}
	}
	return out
}

// Entries returns the names of the entries that the platform lists in a data
// centre.
func (e *Entry) Entries(dataCentre string) []string {
	return e.fleet.table.Entries(func(dc string) bool { return dc == dataCentre })
}
