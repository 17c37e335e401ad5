package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/azurelead/azurelead/membership"
	"github.com/azurelead/azurelead/platform"
)

const (
	// redialFirst and redialMax bound the wait between dials of one agent.
	redialFirst = 10 * time.Millisecond
	redialMax   = 2 * time.Second
	// redialsPerSecond and redialBurst are an entry's budget for all dials, so
	// that the loss of many agents at once does not flood the others.
	redialsPerSecond = 200
	redialBurst      = 400
	// suspectedFor is how long an agent that lost its link gets less trust.
	suspectedFor = time.Second
	// leavingFor is how long an agent that said that it leaves is not dialled.
	leavingFor = 10 * time.Second
	// refreshTimeout bounds one read of the platform's list.
	refreshTimeout = 2 * time.Second
)

// fleet holds the links to the entry's subset of agents.
type fleet struct {
	o       *Options
	m       *metrics
	log     *slog.Logger
	table   *membership.Table
	dials   *rate.Limiter
	keepers sync.WaitGroup

	mu     sync.RWMutex
	peers  map[string]*peer
	pools  map[string][]*peer
	byAddr map[string]*peer
	listOK bool
	// listRead is set once the list was read in this life. It belongs to run.
	listRead bool
	// linkUp is closed and replaced when a link comes up.
	linkUp chan struct{}
}

func newFleet(o *Options, m *metrics) *fleet {
	return &fleet{
		o:     o,
		m:     m,
		log:   o.Logger,
		table: membership.NewTable(),
		dials: rate.NewLimiter(redialsPerSecond, redialBurst),
		peers: make(map[string]*peer),

		linkUp: make(chan struct{}),
	}
}

// run follows the platform's list until ctx ends, then waits for the keepers.
// An unchanged list costs the platform's client a few bytes, so the pause need
// not grow with the fleet.
func (f *fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.refresh(ctx)
		sleep(ctx, f.o.RefreshInterval-f.o.RefreshInterval/8+rand.N(f.o.RefreshInterval/4+1))
	}
	f.keepers.Wait()
}

// reach is what the entry links to under the settings in force.
func (f *fleet) reach() membership.TargetOptions {
	return membership.TargetOptions{
		Self: f.o.Name, DataCentre: f.o.DataCentre, InRegion: f.near(), LocalSize: f.o.SubsetSize, RemoteSize: f.o.RemoteSubsetSize,
	}
}

// near selects the data centres of the entry's own region.
func (f *fleet) near() func(dataCentre string) bool {
	snap := f.o.Settings.Current()
	if snap == nil {
		return func(string) bool { return true }
	}
	centres := snap.Document.DataCentres
	own := centres[f.o.DataCentre].Region
	return func(dataCentre string) bool { return centres[dataCentre].Region == own }
}

// refresh reads the list once. When the platform does not answer, the last
// list stays and links alone correct it.
func (f *fleet) refresh(ctx context.Context) {
	rctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	list, err := f.o.Directory.Instances(rctx)
	if ctx.Err() != nil {
		return
	}
	f.noteList(err)
	switch {
	case err == nil:
		f.table.Update(list)
		f.listRead = true
	case !f.listRead && len(f.o.SeedAgents) > 0:
		f.table.Update(f.seeds(ctx))
	}
	f.reconcile(ctx)
}

func (f *fleet) noteList(err error) {
	f.mu.Lock()
	changed := f.listOK != (err == nil)
	f.listOK = err == nil
	f.mu.Unlock()
	if changed && err != nil {
		f.log.Warn("list of instances unavailable", "error", err)
	}
	if changed && err == nil {
		f.log.Info("list of instances available")
	}
}

// reconcile starts a keeper for each wanted agent and retires the others.
func (f *fleet) reconcile(ctx context.Context) {
	wanted := make(map[string]platform.Instance)
	for _, in := range f.table.Targets(time.Now(), f.reach()) {
		wanted[in.Name] = in
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.peers {
		if in, ok := wanted[name]; !ok || in.AgentAddress != p.instance.AgentAddress {
			p.retire()
			delete(f.peers, name)
		}
	}
	for name, in := range wanted {
		if f.peers[name] == nil {
			f.peers[name] = f.keep(ctx, in)
		}
	}
	f.index()
}

// index rebuilds the pools; f.mu is held.
func (f *fleet) index() {
	f.pools = make(map[string][]*peer)
	f.byAddr = make(map[string]*peer)
	for _, p := range f.peers {
		f.pools[p.instance.Pool] = append(f.pools[p.instance.Pool], p)
		f.byAddr[p.instance.AgentAddress] = p
	}
}

func (f *fleet) keep(ctx context.Context, in platform.Instance) *peer {
	ctx, stop := context.WithCancel(ctx)
	p := newPeer(in, stop)
	f.keepers.Go(func() {
		defer stop()
		f.hold(ctx, p)
	})
	return p
}

// hold keeps a link to the peer's agent until ctx ends. The wait between dials
// starts over after each link that was established.
func (f *fleet) hold(ctx context.Context, p *peer) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = redialFirst, redialMax
	for ctx.Err() == nil {
		if f.dials.Wait(ctx) != nil {
			return
		}
		l, err := f.o.Dial(ctx, p.instance.AgentAddress)
		if err != nil {
			f.m.dials.WithLabelValues("failed").Inc()
			sleep(ctx, wait.NextBackOff())
			continue
		}
		f.m.dials.WithLabelValues("ok").Inc()
		wait.Reset()
		f.serve(ctx, p, l)
	}
}

// serve offers the link for calls until it is done.
func (f *fleet) serve(ctx context.Context, p *peer, l Link) {
	name := p.instance.Name
	f.table.LinkUp(name)
	p.set(l)
	f.announce()
	f.m.links.Inc()
	leaving := l.Leaving()
	for open := true; open; {
		select {
		case <-leaving:
			leaving = nil
			p.setLeaving()
			f.table.SetLeaving(name, time.Now().Add(leavingFor))
			f.log.Info("agent leaves", "agent", name)
		case <-l.Done():
			open = false
		case <-ctx.Done():
			open = false
		}
	}
	_ = l.Close()
	p.set(nil)
	f.m.links.Dec()
	f.table.LinkDown(name, time.Now().Add(suspectedFor))
}

// announce wakes those who wait for a link.
func (f *fleet) announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.linkUp)
	f.linkUp = make(chan struct{})
}

// nextLink returns a channel that is closed when the next link comes up.
func (f *fleet) nextLink() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.linkUp
}

// pool returns the peers of a pool.
func (f *fleet) pool(name string) []*peer {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[name]
}

// linked returns how many agents have a link, and how many are wanted.
func (f *fleet) linked() (up, wanted int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		if p.current() != nil {
			up++
		}
	}
	return up, len(f.peers)
}

// linkAt returns the link to the agent at addr, or nil.
func (f *fleet) linkAt(addr string) Link {
	f.mu.RLock()
	p := f.byAddr[addr]
	f.mu.RUnlock()
	if p == nil {
		return nil
	}
	return p.current()
}

// links returns all links that are up.
func (f *fleet) links() []Link {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []Link
	for _, p := range f.peers {
		if l := p.current(); l != nil {
			out = append(out, l)
		}
	}
	return out
}

// any returns some link that is up, or nil.
func (f *fleet) any() Link {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		if l := p.current(); l != nil {
			return l
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
