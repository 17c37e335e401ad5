package link

import (
	"sync"
	"time"

	"github.com/azurelead/azurelead/contract"
)

// chunkBatcher combines the tokens of all attempts on a link into few notifications. It sends the
// first token at once, and the tokens that arrive within the flush interval after it together.
type chunkBatcher struct {
	send     func(*outgoingMessage) error
	interval time.Duration
	wake     chan struct{}

	// flushMu keeps notifications in the order in which their batches were taken.
	flushMu sync.Mutex

	mu    sync.Mutex
	batch []Chunk
	// indexes holds the index in batch of the chunk of each attempt.
	indexes map[contract.AttemptID]int
}

func newChunkBatcher(interval time.Duration, send func(*outgoingMessage) error) *chunkBatcher {
	return &chunkBatcher{
		send:     send,
		interval: interval,
		wake:     make(chan struct{}, 1),
		indexes:  map[contract.AttemptID]int{},
	}
}

// add queues the token with the given index of an attempt.
func (c *chunkBatcher) add(id contract.AttemptID, index int, token string) {
	c.mu.Lock()
	i, ok := c.indexes[id]
	if ok {
		c.batch[i].Tokens = append(c.batch[i].Tokens, token)
	} else {
		c.indexes[id] = len(c.batch)
		c.batch = append(c.batch, Chunk{Attempt: id, First: index, Tokens: []string{token}})
	}
	c.mu.Unlock()
	if !ok {
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
}

// flush sends the queued tokens. When it returns, every token added before the call precedes
// whatever the caller sends next.
func (c *chunkBatcher) flush() {
	c.flushMu.Lock()
	defer c.flushMu.Unlock()
	c.mu.Lock()
	batch := c.batch
	c.batch = nil
	clear(c.indexes)
	c.mu.Unlock()
	if len(batch) > 0 {
		// A failed send means that the link has failed, which ends its calls.
		_ = c.send(&outgoingMessage{Method: MethodChunks, Params: ChunksParams{Chunks: batch}})
	}
}

// loop flushes queued tokens, at most once per interval, until done is closed.
func (c *chunkBatcher) loop(done <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-c.wake:
		}
		c.flush()
		timer.Reset(c.interval)
		select {
		case <-done:
			return
		case <-timer.C:
		}
	}
}
