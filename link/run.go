package link

import (
	"context"
	"sync"

	fastjson "github.com/segmentio/encoding/json"

	"github.com/azurelead/azurelead/contract"
)

// run is one attempt that a caller waits for on this link.
type run struct {
	signal chan struct{}
	limit  int

	mu     sync.Mutex
	next   int
	bytes  int
	queue  []Chunk
	result *RunResult
	err    error
}

func newRun(from, limit int) *run {
	return &run{signal: make(chan struct{}, 1), next: from, limit: limit}
}

func (r *run) wake() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

func (r *run) fail(err error) {
	r.mu.Lock()
	if r.err == nil && r.result == nil {
		r.err = err
	}
	r.mu.Unlock()
	r.wake()
}

func (r *run) finish(res *RunResult) {
	r.mu.Lock()
	r.result = res
	r.mu.Unlock()
	r.wake()
}

// add queues a chunk. Tokens that were seen before are dropped; a gap means
// that the peer lost some, so the attempt must be taken over anew.
func (r *run) add(c Chunk) {
	r.mu.Lock()
	defer r.wake()
	defer r.mu.Unlock()
	if r.err != nil || r.result != nil {
		return
	}
	if c.First > r.next {
		r.err = Lost.New("tokens %d to %d are missing", r.next, c.First-1)
		return
	}
	seen := r.next - c.First
	if seen >= len(c.Tokens) {
		return
	}
	c.Tokens, c.First = c.Tokens[seen:], r.next
	for _, t := range c.Tokens {
		r.bytes += len(t)
	}
	if r.bytes > r.limit {
		r.err = Lost.New("caller takes no tokens: %d bytes wait", r.bytes)
		return
	}
	r.next += len(c.Tokens)
	r.queue = append(r.queue, c)
}

// take returns what has come, in order: chunks first, then the end.
func (r *run) take() (chunks []Chunk, res *RunResult, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunks, r.queue, r.bytes = r.queue, nil, 0
	return chunks, r.result, r.err
}

// Run runs one attempt. onChunk is called on the caller's goroutine, with
// consecutive chunks, the first of which starts at token 0; a slow onChunk
// delays only its own attempt. RunParams.AgentBoot is set from the handshake
// when empty. Errors are of class NotSent or Lost, or ctx's error when ctx
// ended first (the attempt is then cancelled at the agent, its effect
// unknown). The caller checks Count and Digest of the result.
func (c *Client) Run(ctx context.Context, p RunParams, onChunk func(Chunk)) (RunResult, error) {
	if p.AgentBoot == "" {
		p.AgentBoot = c.peer.AgentBoot
	}
	p.Settings = c.o.Gossip.Version()
	if m, ok := c.o.Gossip.(MarkSource); ok {
		p.Mark = m.Mark(p.Digest)
	}
	return c.data(ctx, MethodRun, p.Attempt, 0, p, onChunk)
}

// Attach takes over an attempt that an earlier link began; onChunk gets the
// tokens from p.From on.
func (c *Client) Attach(ctx context.Context, p AttachParams, onChunk func(Chunk)) (RunResult, error) {
	if p.AgentBoot == "" {
		p.AgentBoot = c.peer.AgentBoot
	}
	return c.data(ctx, MethodAttach, p.Attempt, p.From, p, onChunk)
}

// data makes one call of the data path, matched on the attempt id.
func (c *Client) data(ctx context.Context, method string, id contract.AttemptID, from int, params any, onChunk func(Chunk)) (RunResult, error) {
	r := newRun(from, c.o.MaxPendingBytes)
	if err := c.register(id, r); err != nil {
		return RunResult{}, err
	}
	defer c.forget(id, r)
	c.outstanding.Add(1)
	defer c.outstanding.Add(-1)
	if err := c.hand(&outMessage{ID: string(id), Method: method, Params: params}); err != nil {
		return RunResult{}, NotSent.Wrap(err)
	}
	return c.await(ctx, id, r, onChunk)
}

// hand sends a call of the data path, but no run to an agent that is leaving.
func (c *Client) hand(m *outMessage) error {
	c.handover.RLock()
	defer c.handover.RUnlock()
	if m.Method == MethodRun && c.left.Load() {
		return Error.New("agent %s is leaving", c.peer.Agent)
	}
	return c.s.send(m)
}

func (c *Client) await(ctx context.Context, id contract.AttemptID, r *run, onChunk func(Chunk)) (RunResult, error) {
	for {
		select {
		case <-ctx.Done():
			c.Cancel(id)
			return RunResult{}, ctx.Err()
		case <-r.signal:
		}
		chunks, res, err := r.take()
		for _, ch := range chunks {
			if onChunk != nil {
				onChunk(ch)
			}
		}
		if err != nil {
			return RunResult{}, err
		}
		if res != nil {
			return *res, nil
		}
	}
}

func (c *Client) register(id contract.AttemptID, r *run) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return NotSent.Wrap(c.Err())
	}
	if _, ok := c.runs[id]; ok {
		return NotSent.New("attempt %s already runs on this link", id)
	}
	c.runs[id] = r
	return nil
}

func (c *Client) forget(id contract.AttemptID, r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs[id] == r {
		delete(c.runs, id)
	}
}

func (c *Client) waiting(id contract.AttemptID) *run {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// route takes chunks and results; all else is jsonrpc2's.
func (c *Client) route(e *envelope) (bool, error) {
	switch e.Method {
	case MethodChunks:
		return true, c.routeChunks(e)
	case MethodState:
		return true, c.routeState(e)
	}
	id, ok := e.stringID()
	if !ok || e.Method != "" {
		return false, nil
	}
	return true, c.routeResult(contract.AttemptID(id), e)
}

func (c *Client) routeChunks(e *envelope) error {
	var p ChunksParams
	if err := fastjson.Unmarshal(e.Params, &p); err != nil {
		return Error.Wrap(err)
	}
	tokens := 0
	for _, ch := range p.Chunks {
		tokens += len(ch.Tokens)
		if r := c.waiting(ch.Attempt); r != nil {
			r.add(ch)
			continue
		}
		// The caller has given up, or the chunk crossed a takeover.
		c.o.Metrics.late.Inc()
	}
	c.o.Metrics.tokens.Add(float64(tokens))
	return nil
}

func (c *Client) routeState(e *envelope) error {
	var r PingResult
	if err := fastjson.Unmarshal(e.Params, &r); err != nil {
		return Error.Wrap(err)
	}
	c.heard(r.Load, r.Settings, r.Suspects)
	return nil
}

func (c *Client) routeResult(id contract.AttemptID, e *envelope) error {
	r := c.waiting(id)
	if r == nil {
		c.o.Metrics.late.Inc()
		return nil
	}
	if e.Error != nil {
		r.fail(Lost.New("%s", e.Error.Message))
		return nil
	}
	var res RunResult
	if err := fastjson.Unmarshal(e.Result, &res); err != nil {
		return Error.Wrap(err)
	}
	c.heard(res.Load, res.Settings, res.Suspects)
	if res.Attempt != id {
		// A result that names another attempt must reach nobody.
		c.o.Metrics.late.Inc()
		r.fail(Lost.New("result names attempt %q", res.Attempt))
		return nil
	}
	r.finish(&res)
	return nil
}
