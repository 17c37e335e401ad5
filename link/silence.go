package link

import (
	"context"
	"time"
)

// silenceTicks is how many times the watch looks within one silence bound.
const silenceTicks = 4

// verdict is what the watch does with a link.
type verdict int

const (
	verdictKeep verdict = iota
	verdictPing
	verdictProbe
	verdictDrop
)

// silence decides when a link is suspected. It counts the ticks of its own
// process, so that a process that was paused does not take its own pause for
// the peer's silence.
type silence struct {
	pingTicks int
	reads     uint64
	// idle and silent count ticks without a byte, without and with an
	// outstanding call.
	idle, silent int
}

func newSilence(bound, ping time.Duration) *silence {
	tick := bound / silenceTicks
	return &silence{pingTicks: max(int(ping/tick), 1)}
}

// step takes what was seen since the last tick: whether bytes came, and
// whether a call is outstanding. A dropped link is one that stayed silent for
// twice the bound; between the two bounds a new link is tried against it.
func (s *silence) step(reads uint64, outstanding bool) verdict {
	if reads != s.reads {
		s.reads, s.idle, s.silent = reads, 0, 0
		return verdictKeep
	}
	if !outstanding {
		s.silent = 0
		s.idle++
		if s.idle < s.pingTicks {
			return verdictKeep
		}
		s.idle = 0
		return verdictPing
	}
	s.silent++
	switch {
	case s.silent >= 2*silenceTicks:
		return verdictDrop
	case s.silent >= silenceTicks:
		return verdictProbe
	case s.silent == silenceTicks/2:
		return verdictPing
	}
	return verdictKeep
}

// watch pings the link and drops it when it has gone silent.
func (c *Client) watch() {
	s := newSilence(c.o.SilenceBound, c.o.PingInterval)
	t := time.NewTicker(c.o.SilenceBound / silenceTicks)
	defer t.Stop()
	probing := false
	won := make(chan bool, 1)
	for {
		select {
		case <-c.done:
			return
		case answered := <-won:
			probing = false
			if answered && c.s.reads.Load() == s.reads {
				c.drop("silent", Error.New("silent while a new link to %s answers", c.addr))
				return
			}
		case <-t.C:
			switch s.step(c.s.reads.Load(), c.outstanding.Load() > 0) {
			case verdictPing:
				c.wg.Go(c.ping)
			case verdictProbe:
				if !probing {
					probing = true
					c.o.Metrics.suspicions.Inc()
					c.wg.Go(func() { won <- c.probe() })
				}
			case verdictDrop:
				c.drop("dead", Error.New("silent, and no new link to %s answers", c.addr))
				return
			}
		}
	}
}

func (c *Client) drop(reason string, err error) {
	c.o.Metrics.dropped.WithLabelValues(reason).Inc()
	c.o.Logger.Warn("link dropped", "agent", c.peer.Agent, "addr", c.addr, "reason", reason)
	c.s.fail(err)
}

// ping carries what spreads by word of mouth.
func (c *Client) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*c.o.SilenceBound)
	defer cancel()
	var r PingResult
	p := PingParams{Settings: c.o.Gossip.Version(), Suspects: c.o.Gossip.Suspects()}
	if err := c.Call(ctx, MethodPing, p, &r); err != nil {
		return
	}
	c.heard(r.Load, r.Settings, r.Suspects)
}

// probe reports whether a new link to the same agent answers.
func (c *Client) probe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), c.o.SilenceBound)
	defer cancel()
	o := c.o
	o.DialTimeout = c.o.SilenceBound
	conn, err := dialConn(ctx, c.addr, o.TLS)
	if err != nil {
		return false
	}
	p := newClient(conn, c.addr, o)
	defer func() { _ = p.Close() }()
	return p.hello(ctx) == nil
}
