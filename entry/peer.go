package entry

import (
	"context"
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
	"github.com/azurelead/azurelead/platform"
)

// peer is an agent that the entry maintains a link to. It outlives single links and
// restarts of the agent.
type peer struct {
	instance platform.Instance
	stop     context.CancelFunc

	mu            sync.Mutex
	link          Link
	changed       chan struct{} // closed and replaced when link changes
	leaving       bool
	retired       bool // no longer a target; closes when idle
	lostAt        time.Time
	lastCallEnd   time.Time
	inFlight      int
	sentSinceLoad int
	load          link.Load
	health        callHealth
}

func newPeer(in platform.Instance, stop context.CancelFunc) *peer {
	return &peer{instance: in, stop: stop, changed: make(chan struct{})}
}

// setLink installs a new link, or nil after the link was lost.
func (p *peer) setLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	if l == nil {
		p.lostAt = time.Now()
	}
	if l != nil {
		p.leaving = false
		p.load = l.Load()
		p.sentSinceLoad = 0
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *peer) setLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

// retire closes the peer's link once its calls have ended.
func (p *peer) retire() {
	p.mu.Lock()
	p.retired = true
	idle := p.inFlight == 0
	p.mu.Unlock()
	if idle {
		p.stop()
	}
}

// currentLink returns the link, or nil if there is none.
func (p *peer) currentLink() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// candidate returns the peer as a chooser's candidate. It returns false if the peer
// may not get new work.
func (p *peer) candidate(dataCentre string) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil || p.leaving || p.retired {
		return Candidate{}, false
	}
	load := p.link.Load()
	if load != p.load {
		p.load, p.sentSinceLoad = load, 0
	}
	if load.Leaving || load.DataCentreOut || load.Down {
		return Candidate{}, false
	}
	return Candidate{
		Name:          p.instance.Name,
		Load:          load,
		SentSinceLoad: p.sentSinceLoad,
		OwnInFlight:   p.inFlight,
		IdleTime:      p.idleTime(),
		Local:         p.instance.DataCentre == dataCentre,
	}, true
}

// idleTime returns the time since the last call ended. The caller holds p.mu.
func (p *peer) idleTime() time.Duration {
	if p.inFlight > 0 {
		return 0
	}
	return time.Since(p.lastCallEnd)
}

// reconnectDeadline returns the time until which a lost link is expected to be
// re-established, or zero if there is no reason to wait.
func (p *peer) reconnectDeadline(timeout time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil || p.leaving || p.retired || p.lostAt.IsZero() {
		return time.Time{}
	}
	return p.lostAt.Add(timeout)
}

// beginCall counts a call in flight and returns its link, or nil if there is none.
func (p *peer) beginCall() Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return nil
	}
	p.inFlight++
	p.sentSinceLoad++
	return p.link
}

// recordResult updates the peer's health by the code of a call's result.
func (p *peer) recordResult(code contract.Code) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.health.record(time.Now(), code)
}

// isFailing reports whether the last calls have failed, so that the peer is avoided for a while.
func (p *peer) isFailing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.health.avoidUntil)
}

// endCall removes a call from the count.
func (p *peer) endCall() {
	p.mu.Lock()
	p.inFlight--
	p.lastCallEnd = time.Now()
	done := p.retired && p.inFlight == 0
	p.mu.Unlock()
	if done {
		p.stop()
	}
}

// waitForLink waits for a link that is up and returns it. This is the link on which a
// call has failed, if the link itself did not fail, or its replacement. It returns nil
// if ctx ends first.
func (p *peer) waitForLink(ctx context.Context) Link {
	for {
		p.mu.Lock()
		l, changed := p.link, p.changed
		p.mu.Unlock()
		if l != nil && !linkDone(l) {
			return l
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func linkDone(l Link) bool {
	select {
	case <-l.Done():
		return true
	default:
		return false
	}
}
