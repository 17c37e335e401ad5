package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the delay between two retries, which doubles after each failure.
const (
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

// retryQueue retries operations until the store answers them. Its capacity is bounded.
// When it is full, the oldest operation is dropped. The claim of a dropped operation
// stays held, so a repeated request is told that the call may have run.
type retryQueue struct {
	capacity int
	send     func(context.Context, Message) Reply

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	queue   []Message
	running bool
}

func newRetryQueue(capacity int, send func(context.Context, Message) Reply) *retryQueue {
	q := &retryQueue{capacity: capacity, send: send}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	return q
}

func (q *retryQueue) add(m Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ctx.Err() != nil {
		return
	}
	if len(q.queue) >= q.capacity {
		q.queue = q.queue[1:]
	}
	q.queue = append(q.queue, m)
	if q.running {
		return
	}
	q.running = true
	q.wg.Add(1)
	go q.run()
}

func (q *retryQueue) close() {
	q.mu.Lock()
	q.cancel()
	q.mu.Unlock()
	q.wg.Wait()
}

func (q *retryQueue) run() {
	defer q.wg.Done()
	delay := initialRetryDelay
	for {
		m, ok := q.next()
		if !ok {
			return
		}
		if q.send(q.ctx, m).Failure != FailureUnavailable {
			delay = initialRetryDelay
			continue
		}
		q.add(m)
		if !q.sleep(delay) {
			return
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// next removes and returns the oldest operation, or marks the queue idle if there is none.
func (q *retryQueue) next() (Message, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) == 0 || q.ctx.Err() != nil {
		q.running = false
		return Message{}, false
	}
	m := q.queue[0]
	q.queue = q.queue[1:]
	return m, true
}

// sleep waits for the delay with jitter. It returns false if the queue is closed meanwhile.
func (q *retryQueue) sleep(delay time.Duration) bool {
	t := time.NewTimer(delay/2 + rand.N(delay))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.ctx.Done():
		return false
	}
}
