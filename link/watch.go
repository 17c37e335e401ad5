package link

import (
	"sync"
	"time"
)

// Monitor looks after all links of a process with one goroutine: a ticker for
// each link wakes a process that holds many idle ones several times a second
// and link, which cost more than all the rest of its control. The goroutine
// runs while there are links.
type Monitor struct {
	mu      sync.Mutex
	every   time.Duration
	links   map[*Client]*watcher
	running bool
}

// NewMonitor returns a Watch without links.
func NewMonitor() *Monitor { return &Monitor{links: map[*Client]*watcher{}} }

// add watches the link from now on. Links are looked at as often as the one
// with the shortest silence bound needs.
func (w *Monitor) add(c *Client) {
	w.mu.Lock()
	defer w.mu.Unlock()
	tick := c.o.SilenceTimeout / silenceTicks
	if w.every == 0 {
		w.every = tick
	}
	if tick != w.every {
		c.wg.Go(func() { newWatch(c).run() }) // its ticks would count wrongly here
		return
	}
	w.links[c] = newWatcher(c)
	if !w.running {
		w.running = true
		go w.run()
	}
}

// newWatch returns a Watch of one link.
func newWatch(c *Client) *Monitor {
	return &Monitor{every: c.o.SilenceTimeout / silenceTicks, links: map[*Client]*watcher{c: newWatcher(c)}, running: true}
}

func (w *Monitor) run() {
	t := time.NewTicker(w.every)
	defer t.Stop()
	for w.look() {
		<-t.C
		w.step()
	}
}

// look forgets the links that ended, and reports whether any are left.
func (w *Monitor) look() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, one := range w.links {
		if one.ended() {
			delete(w.links, c)
		}
	}
	w.running = len(w.links) > 0
	return w.running
}

func (w *Monitor) step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c, one := range w.links {
		if one.tick() {
			delete(w.links, c)
		}
	}
}
