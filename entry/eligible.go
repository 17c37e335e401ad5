package entry

import (
	"context"
	"time"
)

// eligibleSet holds the endpoints of a pool that may get new work.
type eligibleSet struct {
	peers      []*peer
	candidates []Candidate
	// reconnectDeadline is the time until which a recently lost link is expected to be
	// re-established; zero if there is none.
	reconnectDeadline time.Time
}

func (c *eligibleSet) add(p *peer, cand Candidate) {
	c.peers = append(c.peers, p)
	c.candidates = append(c.candidates, cand)
}

// awaitEligible returns the endpoints that may get new work. If there are none but a
// link was lost recently, it waits for a link until the reconnect deadline: a redial
// takes milliseconds, whereas a refusal costs the caller a second.
func (e *Entry) awaitEligible(ctx context.Context, pool, model string, tried map[string]bool) ([]*peer, []Candidate) {
	for {
		linkUp := e.fleet.nextLink()
		c := e.eligible(pool, model, tried)
		if len(c.candidates) > 0 || !time.Now().Before(c.reconnectDeadline) {
			return c.peers, c.candidates
		}
		timer := time.NewTimer(time.Until(c.reconnectDeadline))
		select {
		case <-linkUp:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, nil
		}
		timer.Stop()
	}
}

// eligible returns the endpoints of a pool that may get new work now. Agents whose
// link was lost or whose calls failed recently are included only if there are no others.
func (e *Entry) eligible(pool, model string, tried map[string]bool) eligibleSet {
	now := time.Now()
	snap := e.o.Settings.Current()
	var preferred, suspected eligibleSet
	for _, p := range e.fleet.poolPeers(pool) {
		if tried[p.instance.Name] || snap.OutOfService(p.instance.DataCentre) {
			continue
		}
		if deadline := p.reconnectDeadline(e.o.RecoveryTimeout); deadline.After(preferred.reconnectDeadline) {
			preferred.reconnectDeadline = deadline
		}
		c, ok := p.candidate(e.o.DataCentre)
		switch {
		case !ok || !serves(c, model):
		case e.fleet.table.Suspected(p.instance.Name, now) || p.isFailing(now):
			suspected.add(p, c)
		default:
			preferred.add(p, c)
		}
	}
	if len(preferred.candidates) == 0 {
		preferred.peers, preferred.candidates = suspected.peers, suspected.candidates
	}
	return preferred
}

// hasOtherEndpoint reports whether a pool has an endpoint besides p that may get new work now.
func (e *Entry) hasOtherEndpoint(pool, model string, p *peer) bool {
	return len(e.eligible(pool, model, map[string]bool{p.instance.Name: true}).peers) > 0
}

// serves reports whether the endpoint serves the model. An unknown model counts as served.
func serves(c Candidate, model string) bool {
	return model == "" || c.Load.Model == "" || c.Load.Model == model
}
