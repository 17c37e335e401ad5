package link

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	// silenceTicks is how many times the watch looks within one silence bound.
	silenceTicks = 4
	// dropBounds is after how many silence bounds a link is dropped although no
	// new one answers: the peer may be starved rather than dead.
	dropBounds = 3
)

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
	news      uint64
	// deaf counts ticks without news of the peer, silent those without a byte
	// while a call is outstanding.
	deaf, silent int
}

func newSilence(bound, ping time.Duration) *silence {
	tick := bound / silenceTicks
	return &silence{pingTicks: max(int(ping/tick), 1)}
}

// step takes what was seen since the last tick: reads that brought bytes,
// messages that told the peer's state, and whether a call is outstanding. After
// one bound of silence a new link is tried against the silent one. Bytes alone
// do not put a ping off: the peer's own questions tell nothing of its state.
func (s *silence) step(reads, news uint64, outstanding bool) verdict {
	s.deaf++
	if news != s.news {
		s.news, s.deaf = news, 0
	}
	s.silent++
	if reads != s.reads || !outstanding {
		s.reads, s.silent = reads, 0
	}
	switch {
	case s.silent >= dropBounds*silenceTicks:
		return verdictDrop
	case s.silent >= silenceTicks:
		return verdictProbe
	case s.silent == silenceTicks/2, s.deaf >= s.pingTicks:
		s.deaf = 0
		return verdictPing
	}
	return verdictKeep
}

// watcher is the watch over one link. Its owner calls it from one goroutine.
type watcher struct {
	c       *Client
	s       *silence
	probing bool
	probed  chan probeResult
}

func newWatcher(c *Client) *watcher {
	return &watcher{c: c, s: newSilence(c.o.SilenceTimeout, c.o.PingInterval), probed: make(chan probeResult, 1)}
}

// ended reports whether the link has ended, after taking in what a new link to
// the same agent told.
func (w *watcher) ended() bool {
	select {
	case <-w.c.done:
		return true
	case result := <-w.probed:
		w.probing = false
		if result != probeNothing && w.c.s.reads.Load() == w.s.reads {
			w.c.drop(string(result), Error.New("silent, and a new link to %s is %s", w.c.addr, result))
			return true
		}
	default:
	}
	return false
}

// tick pings the link, tries a new one against it, or drops it when it has gone
// silent, which it reports.
func (w *watcher) tick() (dropped bool) {
	c := w.c
	switch w.s.step(c.s.reads.Load(), c.news.Load(), c.outstanding.Load() > 0) {
	case verdictPing:
		c.wg.Go(c.ping)
	case verdictProbe:
		if !w.probing {
			w.probing = true
			c.o.Metrics.suspicions.Inc()
			c.wg.Go(func() { w.probed <- c.probe() })
		}
	case verdictDrop:
		c.drop("dead", Error.New("silent, and no new link to %s answers", c.addr))
		return true
	}
	return false
}

func (c *Client) drop(reason string, err error) {
	c.o.Metrics.dropped.WithLabelValues(reason).Inc()
	c.o.Logger.Warn("link dropped", "agent", c.peer.Agent, "addr", c.addr, "reason", reason)
	c.s.fail(err)
}

// Tell passes settings version and marks on to the peer at once.
func (c *Client) Tell() { go c.ping() }

// ping carries what peers pass on to each other.
func (c *Client) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*c.o.SilenceTimeout)
	defer cancel()
	var r PingResult
	p := PingParams{Settings: c.o.Gossip.Version(), Suspects: c.o.Gossip.Suspects()}
	if err := c.Call(ctx, MethodPing, p, &r); err != nil {
		return
	}
	c.heard(r.Load, r.Settings, r.Suspects)
}

// probeResult is what a new link to the same agent tells of the silent one.
type probeResult string

const (
	// probeNothing: the new link is silent as well.
	probeNothing probeResult = ""
	// probeAnswered: only the old connection is silent.
	probeAnswered probeResult = "answered"
	// probeRefused: nobody listens there any more.
	probeRefused probeResult = "refused"
)

// probe tries a new link to the same agent.
func (c *Client) probe() probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), c.o.SilenceTimeout)
	defer cancel()
	o := c.o
	o.DialTimeout = c.o.SilenceTimeout
	conn, err := dialConn(ctx, c.addr, o.TLS)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return probeRefused
	}
	if err != nil {
		return probeNothing
	}
	p := newClient(conn, c.addr, o)
	defer func() { _ = p.Close() }()
	if p.hello(ctx) != nil {
		return probeNothing
	}
	return probeAnswered
}
