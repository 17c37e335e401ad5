package entry

import (
	"context"
	"time"
)

// choice is the endpoints of a pool that may get new work.
type choice struct {
	peers      []*peer
	candidates []Candidate
	// relinkUntil is until when an endpoint whose link was lost a moment ago may come
	// back; zero if there is none.
	relinkUntil time.Time
}

func (c *choice) add(p *peer, cand Candidate) {
	c.peers = append(c.peers, p)
	c.candidates = append(c.candidates, cand)
}

// awaitEligible returns the endpoints that may get new work. Where there are
// none, but a link was lost a moment ago, it waits for a link: a redial takes
// milliseconds, a refusal costs the caller a second.
func (e *Entry) awaitEligible(ctx context.Context, pool, model string, tried map[string]bool) ([]*peer, []Candidate) {
	for {
		next := e.fleet.nextLink()
		c := e.eligible(pool, model, tried)
		if len(c.candidates) > 0 || !time.Now().Before(c.relinkUntil) {
			return c.peers, c.candidates
		}
		t := time.NewTimer(time.Until(c.relinkUntil))
		select {
		case <-next:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, nil
		}
		t.Stop()
	}
}

// eligible returns the endpoints of a pool that may get new work now. Agents
// that lost a link a moment ago come in only when no other is left.
func (e *Entry) eligible(pool, model string, tried map[string]bool) choice {
	now := time.Now()
	snap := e.o.Settings.Current()
	var good, doubtful choice
	for _, p := range e.fleet.pool(pool) {
		if tried[p.instance.Name] || snap.OutOfService(p.instance.DataCentre) {
			continue
		}
		if relinkUntil := p.relinkUntil(e.o.RecoveryTimeout); relinkUntil.After(good.relinkUntil) {
			good.relinkUntil = relinkUntil
		}
		c, ok := p.candidate(e.o.DataCentre)
		switch {
		case !ok || !serves(c, model):
		case e.fleet.table.Suspected(p.instance.Name, now):
			doubtful.add(p, c)
		default:
			good.add(p, c)
		}
	}
	if len(good.candidates) == 0 {
		good.peers, good.candidates = doubtful.peers, doubtful.candidates
	}
	return good
}

// serves reports whether the endpoint serves the model, as far as is known.
func serves(c Candidate, model string) bool {
	return model == "" || c.Load.Model == "" || c.Load.Model == model
}
