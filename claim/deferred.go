package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Pauses between the tries of deferred operations.
const (
	deferredPause    = 200 * time.Millisecond
	deferredMaxPause = 5 * time.Second
)

// deferred repeats operations that the store did not answer until it does.
// It holds a bounded number; the oldest is dropped first, which leaves its
// claim held: a repeat is then told that the call may have run.
type deferred struct {
	limit int
	ask   func(context.Context, Message) Reply

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	queue   []Message
	running bool
}

func newDeferred(limit int, ask func(context.Context, Message) Reply) *deferred {
	d := &deferred{limit: limit, ask: ask}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

func (d *deferred) add(m Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	if len(d.queue) >= d.limit {
		d.queue = d.queue[1:]
	}
	d.queue = append(d.queue, m)
	if d.running {
		return
	}
	d.running = true
	d.wg.Add(1)
	go d.run()
}

func (d *deferred) close() {
	d.mu.Lock()
	d.cancel()
	d.mu.Unlock()
	d.wg.Wait()
}

func (d *deferred) run() {
	defer d.wg.Done()
	pause := deferredPause
	for {
		m, ok := d.next()
		if !ok {
			return
		}
		if d.ask(d.ctx, m).Failure != FailureUnavailable {
			pause = deferredPause
			continue
		}
		d.add(m)
		if !d.sleep(pause) {
			return
		}
		pause = min(2*pause, deferredMaxPause)
	}
}

// next takes the oldest operation, or marks the queue idle.
func (d *deferred) next() (Message, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.queue) == 0 || d.ctx.Err() != nil {
		d.running = false
		return Message{}, false
	}
	m := d.queue[0]
	d.queue = d.queue[1:]
	return m, true
}

// sleep waits for about pause. It reports false when the queue was closed.
func (d *deferred) sleep(pause time.Duration) bool {
	t := time.NewTimer(pause/2 + rand.N(pause))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}
