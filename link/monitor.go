package link

import (
	"sync"
	"time"
)

// Monitor monitors all links of a process with one goroutine. A ticker for each link would wake the
// process several times a second per link, which cost more than all other control work of a process
// with many idle links. The goroutine runs only while there are links.
type Monitor struct {
	mu       sync.Mutex
	interval time.Duration
	links    map[*Client]*linkMonitor
	running  bool
}

// NewMonitor returns a Monitor without links.
func NewMonitor() *Monitor { return &Monitor{links: map[*Client]*linkMonitor{}} }

// add starts monitoring the link. The tick interval of the Monitor is that of its first link; a
// link that needs another interval gets a Monitor of its own.
func (m *Monitor) add(c *Client) {
	m.mu.Lock()
	defer m.mu.Unlock()
	tick := c.options.SilenceTimeout / ticksPerSilenceTimeout
	if m.interval == 0 {
		m.interval = tick
	}
	if tick != m.interval {
		c.wg.Go(func() { newSingleMonitor(c).run() }) // the detector counts ticks of its own interval
		return
	}
	m.links[c] = newLinkMonitor(c)
	if !m.running {
		m.running = true
		go m.run()
	}
}

// newSingleMonitor returns a Monitor of one link.
func newSingleMonitor(c *Client) *Monitor {
	return &Monitor{interval: c.options.SilenceTimeout / ticksPerSilenceTimeout, links: map[*Client]*linkMonitor{c: newLinkMonitor(c)}, running: true}
}

func (m *Monitor) run() {
	t := time.NewTicker(m.interval)
	defer t.Stop()
	for m.removeEnded() {
		<-t.C
		m.tickAll()
	}
}

// removeEnded removes the links that have ended and reports whether any are left.
func (m *Monitor) removeEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, lm := range m.links {
		if lm.checkEnded() {
			delete(m.links, c)
		}
	}
	m.running = len(m.links) > 0
	return m.running
}

func (m *Monitor) tickAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c, lm := range m.links {
		if lm.tick() {
			delete(m.links, c)
		}
	}
}
