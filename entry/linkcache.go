package entry

import (
	"context"
	"sync"
	"time"

	"github.com/azurelead/azurelead/claim"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/pipeline"
)

// onDemandIdleTimeout is how long an unused link outside the entry's subset stays open.
const onDemandIdleTimeout = time.Minute

// linkCache returns links to any agent. Claims, and the settlement of attempts that
// other entries started, need agents outside the entry's subset as well.
type linkCache struct {
	fleet *fleet
	dial  Dialer

	mu       sync.Mutex
	onDemand map[string]*onDemandLink
}

// onDemandLink is a link to an agent outside the subset. It is closed when idle.
type onDemandLink struct {
	link Link
	idle *time.Timer
}

func newLinkCache(f *fleet, dial Dialer) *linkCache {
	return &linkCache{fleet: f, dial: dial, onDemand: make(map[string]*onDemandLink)}
}

// linkTo returns a link to the agent at addr: the entry's subset link if there is one,
// else a cached or new on-demand link.
func (c *linkCache) linkTo(ctx context.Context, addr string) (Link, error) {
	if l := c.fleet.linkAt(addr); l != nil {
		return l, nil
	}
	if l := c.cached(addr); l != nil {
		return l, nil
	}
	l, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.store(addr, l), nil
}

func (c *linkCache) cached(addr string) Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	x := c.onDemand[addr]
	if x == nil || linkDone(x.link) {
		return nil
	}
	x.idle.Reset(onDemandIdleTimeout)
	return x.link
}

// store caches a new link, or closes it and returns the link that another call has
// stored in the meantime.
func (c *linkCache) store(addr string, l Link) Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.onDemand[addr]
	if old != nil && !linkDone(old.link) {
		go func() { _ = l.Close() }()
		return old.link
	}
	if old != nil {
		old.idle.Stop()
	}
	x := &onDemandLink{link: l}
	x.idle = time.AfterFunc(onDemandIdleTimeout, func() { c.evict(addr, x) })
	c.onDemand[addr] = x
	return l
}

func (c *linkCache) evict(addr string, x *onDemandLink) {
	c.mu.Lock()
	if c.onDemand[addr] == x {
		delete(c.onDemand, addr)
	}
	c.mu.Unlock()
	_ = x.link.Close()
}

// closeAll closes all on-demand links.
func (c *linkCache) closeAll() {
	c.mu.Lock()
	links := c.onDemand
	c.onDemand = make(map[string]*onDemandLink)
	c.mu.Unlock()
	for _, x := range links {
		x.idle.Stop()
		_ = x.link.Close()
	}
}

// Call calls a method of the agent at addr. It has the signature of claim.Caller.
func (e *Entry) Call(ctx context.Context, addr, method string, params, result any) error {
	l, err := e.linkCache.linkTo(ctx, addr)
	if err != nil {
		return err
	}
	return l.Call(ctx, method, params, result)
}

// AnnounceSettings announces the settings version to all linked agents at once.
func (e *Entry) AnnounceSettings() {
	for _, l := range e.fleet.activeLinks() {
		if t, ok := l.(interface{ Tell() }); ok {
			t.Tell()
		}
	}
}

// FetchSettings fetches the settings changes since version have from any linked
// agent. It has the signature of settings.Fetch.
func (e *Entry) FetchSettings(ctx context.Context, have link.Version) (link.SettingsResult, error) {
	l := e.fleet.anyLink()
	if l == nil {
		return link.SettingsResult{}, Error.New("no agent is linked")
	}
	var res link.SettingsResult
	err := l.Call(ctx, link.MethodSettings, link.SettingsParams{Have: have}, &res)
	return res, err
}

// ClaimWriters returns the agents that write claims on behalf of entries. These are
// the agents of application services, which are the same for every entry.
func (e *Entry) ClaimWriters() []claim.Candidate {
	var out []claim.Candidate
	for _, in := range e.fleet.table.Live(time.Now()) {
		if in.Kind == pipeline.Service {
			out = append(out, claim.Candidate{Agent: in.Name, Addr: in.AgentAddress})
		}
	}
	return out
}

// Entries returns the names of the entries that the platform lists in a data centre.
func (e *Entry) Entries(dataCentre string) []string {
	return e.fleet.table.Entries(func(dc string) bool { return dc == dataCentre })
}
