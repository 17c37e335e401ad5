package entry

import (
	"context"
	"sync"
	"time"

	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
)

// peer is one agent that the entry holds a link to, over the lives of the
// link and of the agent.
type peer struct {
	instance platform.Instance
	stop     context.CancelFunc

	mu      sync.Mutex
	link    Link
	changed chan struct{} // closed and replaced when link changes
	leaving bool
	retired bool // no longer wanted: closes when idle
	lostAt  time.Time
	endedAt time.Time
	own     int
	since   int
	load    link.Load
}

func newPeer(in platform.Instance, stop context.CancelFunc) *peer {
	return &peer{instance: in, stop: stop, changed: make(chan struct{})}
}

// set installs a new link, or nil when it was lost.
func (p *peer) set(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	if l == nil {
		p.lostAt = time.Now()
	}
	if l != nil {
		p.leaving = false
		p.load = l.Load()
		p.since = 0
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *peer) setLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// retire makes the peer close its link once its calls have ended.
func (p *peer) retire() {
	p.mu.Lock()
	p.retired = true
	idle := p.own == 0
	p.mu.Unlock()
	if idle {
		p.stop()
	}
}

// current returns the link, or nil while there is none.
func (p *peer) current() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// candidate returns the peer as choosers see it, and false when it may not get
// new work.
func (p *peer) candidate(dataCentre string) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil || p.leaving || p.retired {
		return Candidate{}, false
	}
	load := p.link.Load()
	if load != p.load {
		p.load, p.since = load, 0
	}
	if load.Leaving || load.DataCentreOut || load.Down {
		return Candidate{}, false
	}
	return Candidate{
		Name:          p.instance.Name,
		Load:          load,
		SentSinceLoad: p.since,
		OwnInFlight:   p.own,
		IdleTime:      p.idle(),
		Local:         p.instance.DataCentre == dataCentre,
	}, true
}

// idle returns how long ago a call ended; p.mu is held.
func (p *peer) idle() time.Duration {
	if p.own > 0 {
		return 0
	}
	return time.Since(p.endedAt)
}

// relinkUntil returns until when a link that was lost a moment ago may still come
// back; zero when there is nothing to wait for.
func (p *peer) relinkUntil(bound time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil || p.leaving || p.retired || p.lostAt.IsZero() {
		return time.Time{}
	}
	return p.lostAt.Add(bound)
}

// begin counts a call in flight and returns the link for it, or nil.
func (p *peer) begin() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return nil
	}
	p.own++
	p.since++
	return p.link
}

// end uncounts a call.
func (p *peer) end() {
	p.mu.Lock()
	p.own--
	p.endedAt = time.Now()
	done := p.retired && p.own == 0
	p.mu.Unlock()
	if done {
		p.stop()
	}
}

// await returns the link that is up: the one on which a call failed, if only
// that call did, or the one that replaces it. It returns nil when ctx ends first.
func (p *peer) await(ctx context.Context) Link {
	for {
		p.mu.Lock()
		l, changed := p.link, p.changed
		p.mu.Unlock()
		if l != nil && !isDone(l) {
			return l
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func isDone(l Link) bool {
	select {
	case <-l.Done():
		return true
	default:
		return false
	}
}
