package link

import (
	"context"
	"errors"
	"syscall"
	"time"
)

const (
	// ticksPerSilenceTimeout is the number of ticks of the monitor within one silence time-out.
	ticksPerSilenceTimeout = 4
	// dropAfterTimeouts is the number of silence time-outs after which a link is dropped if probes
	// get no answer. It is above 1 because the peer may be short of CPU time rather than dead.
	dropAfterTimeouts = 3
)

// action is what the monitor does with a link after a tick.
type action int

const (
	actionNone action = iota
	actionPing
	actionProbe
	actionDrop
)

// silenceDetector decides when a link is suspected to have failed. It counts ticks of its own
// process instead of reading a clock, so that a pause of this process is not taken for silence of
// the peer.
type silenceDetector struct {
	pingTicks    int
	reads        uint64
	stateUpdates uint64
	// ticksSinceState counts the ticks since the last state update of the peer, silentTicks those
	// in which an outstanding call received no bytes.
	ticksSinceState, silentTicks int
}

func newSilenceDetector(timeout, pingInterval time.Duration) *silenceDetector {
	tick := timeout / ticksPerSilenceTimeout
	return &silenceDetector{pingTicks: max(int(pingInterval/tick), 1)}
}

// step processes one tick and returns the action to take. reads and stateUpdates are running counts
// of the reads that returned bytes and of the messages that carried the peer's state; outstanding
// is set while a call is outstanding. After one time-out of silence the link is probed with a
// second connection. Received bytes alone do not postpone a ping, because the peer's own requests
// do not carry its state.
func (s *silenceDetector) step(reads, stateUpdates uint64, outstanding bool) action {
	s.ticksSinceState++
	if stateUpdates != s.stateUpdates {
		s.stateUpdates, s.ticksSinceState = stateUpdates, 0
	}
	s.silentTicks++
	if reads != s.reads || !outstanding {
		s.reads, s.silentTicks = reads, 0
	}
	switch {
	case s.silentTicks >= dropAfterTimeouts*ticksPerSilenceTimeout:
		return actionDrop
	case s.silentTicks >= ticksPerSilenceTimeout:
		return actionProbe
	case s.silentTicks == ticksPerSilenceTimeout/2, s.ticksSinceState >= s.pingTicks:
		s.ticksSinceState = 0
		return actionPing
	}
	return actionNone
}

// linkMonitor monitors one link. It is used by a single goroutine.
type linkMonitor struct {
	client       *Client
	detector     *silenceDetector
	probing      bool
	probeResults chan probeResult
}

func newLinkMonitor(c *Client) *linkMonitor {
	return &linkMonitor{client: c, detector: newSilenceDetector(c.options.SilenceTimeout, c.options.PingInterval), probeResults: make(chan probeResult, 1)}
}

// checkEnded reports whether the link has ended. It drops a silent link if a probe was answered or
// refused.
func (m *linkMonitor) checkEnded() bool {
	select {
	case <-m.client.done:
		return true
	case result := <-m.probeResults:
		m.probing = false
		if result != probeFailed && m.client.stream.reads.Load() == m.detector.reads {
			m.client.drop(string(result), Error.New("silent, and a new link to %s is %s", m.client.addr, result))
			return true
		}
	default:
	}
	return false
}

// tick pings, probes or drops the link as the detector decides, and reports whether it dropped it.
func (m *linkMonitor) tick() (dropped bool) {
	c := m.client
	switch m.detector.step(c.stream.reads.Load(), c.stateUpdates.Load(), c.outstanding.Load() > 0) {
	case actionPing:
		c.wg.Go(c.ping)
	case actionProbe:
		if !m.probing {
			m.probing = true
			c.options.Metrics.probes.Inc()
			c.wg.Go(func() { m.probeResults <- c.probe() })
		}
	case actionDrop:
		c.drop("dead", Error.New("silent, and no new link to %s answers", c.addr))
		return true
	}
	return false
}

func (c *Client) drop(reason string, err error) {
	c.options.Metrics.dropped.WithLabelValues(reason).Inc()
	c.options.Logger.Warn("link dropped", "agent", c.peer.Agent, "addr", c.addr, "reason", reason)
	c.stream.fail(err)
}

// Tell sends the settings version and the marks to the peer at once.
func (c *Client) Tell() { go c.ping() }

// ping exchanges settings versions, marks and the load with the peer.
func (c *Client) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*c.options.SilenceTimeout)
	defer cancel()
	var r PingResult
	p := PingParams{Settings: c.options.Gossip.Version(), Suspects: c.options.Gossip.Suspects()}
	if err := c.Call(ctx, MethodPing, p, &r); err != nil {
		return
	}
	c.applyState(r.Load, r.Settings, r.Suspects)
}

// probeResult is the outcome of a probe: a second connection to the agent of a silent link.
type probeResult string

const (
	// probeFailed means that the second connection got no answer either.
	probeFailed probeResult = ""
	// probeAnswered means that only the first connection is silent.
	probeAnswered probeResult = "answered"
	// probeRefused means that the agent no longer accepts connections at its address.
	probeRefused probeResult = "refused"
)

// probe opens a second link to the same agent and closes it after the handshake.
func (c *Client) probe() probeResult {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.SilenceTimeout)
	defer cancel()
	o := c.options
	o.DialTimeout = c.options.SilenceTimeout
	conn, err := dialConn(ctx, c.addr, o.TLS)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return probeRefused
	}
	if err != nil {
		return probeFailed
	}
	probeClient := newClient(conn, c.addr, o)
	defer func() { _ = probeClient.Close() }()
	if probeClient.handshake(ctx) != nil {
		return probeFailed
	}
	return probeAnswered
}
