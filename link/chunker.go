package link

import (
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// chunker gathers the tokens of all attempts on one link into few
// notifications: the first goes at once, what follows within the flush
// interval goes together.
type chunker struct {
	send     func(*outMessage) error
	interval time.Duration
	wake     chan struct{}

	// flushing keeps notifications in the order in which they were taken.
	flushing sync.Mutex

	mu    sync.Mutex
	batch []Chunk
	at    map[contract.AttemptID]int
}

func newChunker(interval time.Duration, send func(*outMessage) error) *chunker {
	return &chunker{
		send:     send,
		interval: interval,
		wake:     make(chan struct{}, 1),
		at:       map[contract.AttemptID]int{},
	}
}

// add queues token number n of an attempt.
func (c *chunker) add(id contract.AttemptID, n int, token string) {
	c.mu.Lock()
	i, ok := c.at[id]
	if ok {
		c.batch[i].Tokens = append(c.batch[i].Tokens, token)
	} else {
		c.at[id] = len(c.batch)
		c.batch = append(c.batch, Chunk{Attempt: id, First: n, Tokens: []string{token}})
	}
	c.mu.Unlock()
	if !ok {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// flush sends what waits. After it returns, every token added before is on
// its way ahead of anything that the caller sends next.
func (c *chunker) flush() {
	c.flushing.Lock()
	defer c.flushing.Unlock()
	c.mu.Lock()
	batch := c.batch
	c.batch = nil
	clear(c.at)
	c.mu.Unlock()
	if len(batch) > 0 {
		// A failed send means a failed link; its calls end with it.
		_ = c.send(&outMessage{Method: MethodChunks, Params: ChunksParams{Chunks: batch}})
	}
}

// loop flushes until done is closed.
func (c *chunker) loop(done <-chan struct{}) {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-done:
			return
		case <-c.wake:
		}
		c.flush()
		pause.Reset(c.interval)
		select {
		case <-done:
			return
		case <-pause.C:
		}
	}
}
