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
	// redialInitialDelay and redialMaxDelay bound the back-off between dials of one agent.
	redialInitialDelay = 10 * time.Millisecond
	redialMaxDelay     = 2 * time.Second
	// redialsPerSecond and redialBurst limit all dials of an entry together, so that the
	// loss of many agents at once does not flood the others.
	redialsPerSecond = 200
	redialBurst      = 400
	// suspicionPeriod is how long an agent is avoided after its link was lost.
	suspicionPeriod = time.Second
	// leavingPeriod is how long an agent is not dialled after it announced that it leaves.
	leavingPeriod = 10 * time.Second
	// refreshTimeout bounds one read of the platform's instance list.
	refreshTimeout = 2 * time.Second
)

// fleet maintains the links to the entry's subset of agents.
type fleet struct {
	o           *Options
	m           *metrics
	log         *slog.Logger
	table       *membership.Table
	dialLimiter *rate.Limiter
	peerLoops   sync.WaitGroup

	mu            sync.RWMutex
	peers         map[string]*peer
	pools         map[string][]*peer
	byAddr        map[string]*peer
	listAvailable bool
	// listRead is set once the list has been read since the start. Only run uses it.
	listRead bool
	// linkUp is closed and replaced when a link comes up.
	linkUp chan struct{}
}

func newFleet(o *Options, m *metrics) *fleet {
	return &fleet{
		o:           o,
		m:           m,
		log:         o.Logger,
		table:       membership.NewTable(),
		dialLimiter: rate.NewLimiter(redialsPerSecond, redialBurst),
		peers:       make(map[string]*peer),

		linkUp: make(chan struct{}),
	}
}

// run refreshes the instance list until ctx ends, then waits for the peer loops.
// Reading an unchanged list transfers only a few bytes, so the interval does not have
// to grow with the fleet.
func (f *fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.refresh(ctx)
		sleep(ctx, f.o.RefreshInterval-f.o.RefreshInterval/8+rand.N(f.o.RefreshInterval/4+1))
	}
	f.peerLoops.Wait()
}

// targetOptions returns how targets are selected under the current settings.
func (f *fleet) targetOptions() membership.TargetOptions {
	return membership.TargetOptions{
		Self: f.o.Name, DataCentre: f.o.DataCentre, InRegion: f.inRegion(), LocalSize: f.o.SubsetSize, RemoteSize: f.o.RemoteSubsetSize,
	}
}

// inRegion returns a filter for the data centres of the entry's own region.
func (f *fleet) inRegion() func(dataCentre string) bool {
	snap := f.o.Settings.Current()
	if snap == nil {
		return func(string) bool { return true }
	}
	centres := snap.Document.DataCentres
	ownRegion := centres[f.o.DataCentre].Region
	return func(dataCentre string) bool { return centres[dataCentre].Region == ownRegion }
}

// refresh reads the instance list once. If the platform does not answer, the last
// list stays in use and only the state of the links updates it.
func (f *fleet) refresh(ctx context.Context) {
	rctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	list, err := f.o.Directory.Instances(rctx)
	if ctx.Err() != nil {
		return
	}
	f.recordListResult(err)
	switch {
	case err == nil:
		f.table.Update(list)
		f.listRead = true
	case !f.listRead && len(f.o.SeedAgents) > 0:
		f.table.Update(f.seedInstances(ctx))
	}
	f.reconcile(ctx)
}

func (f *fleet) recordListResult(err error) {
	f.mu.Lock()
	changed := f.listAvailable != (err == nil)
	f.listAvailable = err == nil
	f.mu.Unlock()
	if changed && err != nil {
		f.log.Warn("instance list unavailable", "error", err)
	}
	if changed && err == nil {
		f.log.Info("instance list available")
	}
}

// reconcile starts a peer for each target agent and retires the others.
func (f *fleet) reconcile(ctx context.Context) {
	targets := make(map[string]platform.Instance)
	for _, in := range f.table.Targets(time.Now(), f.targetOptions()) {
		targets[in.Name] = in
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.peers {
		if in, ok := targets[name]; !ok || in.AgentAddress != p.instance.AgentAddress {
			p.retire()
			delete(f.peers, name)
		}
	}
	for name, in := range targets {
		if f.peers[name] == nil {
			f.peers[name] = f.startPeer(ctx, in)
		}
	}
	f.rebuildIndexes()
}

// rebuildIndexes rebuilds pools and byAddr. The caller holds f.mu.
func (f *fleet) rebuildIndexes() {
	f.pools = make(map[string][]*peer)
	f.byAddr = make(map[string]*peer)
	for _, p := range f.peers {
		f.pools[p.instance.Pool] = append(f.pools[p.instance.Pool], p)
		f.byAddr[p.instance.AgentAddress] = p
	}
}

func (f *fleet) startPeer(ctx context.Context, in platform.Instance) *peer {
	ctx, stop := context.WithCancel(ctx)
	p := newPeer(in, stop)
	f.peerLoops.Go(func() {
		defer stop()
		f.maintainLink(ctx, p)
	})
	return p
}

// maintainLink keeps a link to the peer's agent until ctx ends. The back-off between
// dials is reset after each link that was established.
func (f *fleet) maintainLink(ctx context.Context, p *peer) {
	redialDelay := backoff.NewExponentialBackOff()
	redialDelay.InitialInterval, redialDelay.MaxInterval = redialInitialDelay, redialMaxDelay
	for ctx.Err() == nil {
		if f.dialLimiter.Wait(ctx) != nil {
			return
		}
		l, err := f.o.Dial(ctx, p.instance.AgentAddress)
		if err != nil {
			f.m.dials.WithLabelValues("failed").Inc()
			sleep(ctx, redialDelay.NextBackOff())
			continue
		}
		f.m.dials.WithLabelValues("ok").Inc()
		redialDelay.Reset()
		f.serveLink(ctx, p, l)
	}
}

// serveLink makes the link available for calls until it closes or ctx ends.
func (f *fleet) serveLink(ctx context.Context, p *peer, l Link) {
	name := p.instance.Name
	f.table.LinkUp(name)
	p.setLink(l)
	f.signalLinkUp()
	f.m.links.Inc()
	leaving := l.Leaving()
	for open := true; open; {
		select {
		case <-leaving:
			leaving = nil
			p.setLeaving()
			f.table.SetLeaving(name, time.Now().Add(leavingPeriod))
			f.log.Info("agent is leaving", "agent", name)
		case <-l.Done():
			open = false
		case <-ctx.Done():
			open = false
		}
	}
	_ = l.Close()
	p.setLink(nil)
	f.m.links.Dec()
	f.table.LinkDown(name, time.Now().Add(suspicionPeriod))
}

// signalLinkUp wakes the calls that wait for a link.
func (f *fleet) signalLinkUp() {
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

// poolPeers returns the peers of a pool.
func (f *fleet) poolPeers(name string) []*peer {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[name]
}

// linkCounts returns how many agents have a link, and how many are targets.
func (f *fleet) linkCounts() (up, targets int) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		if p.currentLink() != nil {
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
	return p.currentLink()
}

// activeLinks returns all links that are up.
func (f *fleet) activeLinks() []Link {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var out []Link
	for _, p := range f.peers {
		if l := p.currentLink(); l != nil {
			out = append(out, l)
		}
	}
	return out
}

// anyLink returns any link that is up, or nil.
func (f *fleet) anyLink() Link {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, p := range f.peers {
		if l := p.currentLink(); l != nil {
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
