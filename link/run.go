package link

import (
	"context"
	"sync"

	fastjson "github.com/segmentio/encoding/json"

	"github.com/azurelead/azurelead/contract"
)

// pendingRun is an attempt for which a caller waits on this link.
type pendingRun struct {
	signal   chan struct{}
	maxBytes int

	mu          sync.Mutex
	nextToken   int
	queuedBytes int
	queue       []Chunk
	result      *RunResult
	err         error
}

func newPendingRun(from, limit int) *pendingRun {
	return &pendingRun{signal: make(chan struct{}, 1), nextToken: from, maxBytes: limit}
}

func (r *pendingRun) notify() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}

func (r *pendingRun) fail(err error) {
	r.mu.Lock()
	if r.err == nil && r.result == nil {
		r.err = err
	}
	r.mu.Unlock()
	r.notify()
}

func (r *pendingRun) complete(res *RunResult) {
	r.mu.Lock()
	r.result = res
	r.mu.Unlock()
	r.notify()
}

// addChunk queues a chunk. It drops tokens that were received before. A gap means that tokens were
// lost, so the attempt fails and has to be taken over.
func (r *pendingRun) addChunk(c Chunk) {
	r.mu.Lock()
	defer r.notify()
	defer r.mu.Unlock()
	if r.err != nil || r.result != nil {
		return
	}
	if c.First > r.nextToken {
		r.err = Lost.New("tokens %d to %d are missing", r.nextToken, c.First-1)
		return
	}
	duplicates := r.nextToken - c.First
	if duplicates >= len(c.Tokens) {
		return
	}
	c.Tokens, c.First = c.Tokens[duplicates:], r.nextToken
	for _, t := range c.Tokens {
		r.queuedBytes += len(t)
	}
	if r.queuedBytes > r.maxBytes {
		r.err = Lost.New("caller takes no tokens: %d bytes wait", r.queuedBytes)
		return
	}
	r.nextToken += len(c.Tokens)
	r.queue = append(r.queue, c)
}

// take removes and returns the queued chunks, and returns the result or the error once there is
// one. The chunks precede the result.
func (r *pendingRun) take() (chunks []Chunk, res *RunResult, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	chunks, r.queue, r.queuedBytes = r.queue, nil, 0
	return chunks, r.result, r.err
}

// Run runs one attempt. It calls onChunk on the caller's goroutine with consecutive chunks,
// starting at token 0; a slow onChunk delays only its own attempt. An empty RunParams.AgentBoot is
// set from the handshake. Errors are of class NotSent or Lost, or the error of ctx if ctx ended
// first; the attempt is then cancelled at the agent and its outcome is unknown. The caller has to
// check TokenCount and Digest of the result.
func (c *Client) Run(ctx context.Context, p RunParams, onChunk func(Chunk)) (RunResult, error) {
	if p.AgentBoot == "" {
		p.AgentBoot = c.peer.AgentBoot
	}
	p.Settings = c.options.Gossip.Version()
	if m, ok := c.options.Gossip.(MarkSource); ok {
		p.Mark = m.Mark(p.Digest)
	}
	return c.callAttempt(ctx, MethodRun, p.Attempt, 0, p, onChunk)
}

// Attach takes over an attempt that was started on an earlier link. It calls onChunk with the
// tokens from index p.From on.
func (c *Client) Attach(ctx context.Context, p AttachParams, onChunk func(Chunk)) (RunResult, error) {
	if p.AgentBoot == "" {
		p.AgentBoot = c.peer.AgentBoot
	}
	return c.callAttempt(ctx, MethodAttach, p.Attempt, p.From, p, onChunk)
}

// callAttempt makes a call of the data path. Its reply is matched by the attempt id.
func (c *Client) callAttempt(ctx context.Context, method string, id contract.AttemptID, from int, params any, onChunk func(Chunk)) (RunResult, error) {
	r := newPendingRun(from, c.options.MaxPendingBytes)
	if err := c.register(id, r); err != nil {
		return RunResult{}, err
	}
	defer c.unregister(id, r)
	c.outstanding.Add(1)
	defer c.outstanding.Add(-1)
	if err := c.sendAttempt(&outgoingMessage{ID: string(id), Method: method, Params: params}); err != nil {
		return RunResult{}, NotSent.Wrap(err)
	}
	return c.awaitResult(ctx, id, r, onChunk)
}

// sendAttempt sends a call of the data path. It sends no run to an agent that is leaving.
func (c *Client) sendAttempt(m *outgoingMessage) error {
	c.leavingMu.RLock()
	defer c.leavingMu.RUnlock()
	if m.Method == MethodRun && c.isLeaving.Load() {
		return Error.New("agent %s is leaving", c.peer.Agent)
	}
	return c.stream.send(m)
}

func (c *Client) awaitResult(ctx context.Context, id contract.AttemptID, r *pendingRun, onChunk func(Chunk)) (RunResult, error) {
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

func (c *Client) register(id contract.AttemptID, r *pendingRun) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return NotSent.Wrap(c.Err())
	}
	if _, ok := c.pending[id]; ok {
		return NotSent.New("attempt %s already runs on this link", id)
	}
	c.pending[id] = r
	return nil
}

func (c *Client) unregister(id contract.AttemptID, r *pendingRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[id] == r {
		delete(c.pending, id)
	}
}

func (c *Client) lookup(id contract.AttemptID) *pendingRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[id]
}

// route handles chunks, states and results. It leaves all other messages to jsonrpc2.
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
		if r := c.lookup(ch.Attempt); r != nil {
			r.addChunk(ch)
			continue
		}
		// The caller has given up, or the attempt was taken over on another link.
		c.options.Metrics.lateMessages.Inc()
	}
	c.options.Metrics.tokens.Add(float64(tokens))
	return nil
}

func (c *Client) routeState(e *envelope) error {
	var r PingResult
	if err := fastjson.Unmarshal(e.Params, &r); err != nil {
		return Error.Wrap(err)
	}
	c.applyState(r.Load, r.Settings, r.Suspects)
	return nil
}

func (c *Client) routeResult(id contract.AttemptID, e *envelope) error {
	r := c.lookup(id)
	if r == nil {
		c.options.Metrics.lateMessages.Inc()
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
	c.applyState(res.Load, res.Settings, res.Suspects)
	if res.Attempt != id {
		// A result that names another attempt must not be delivered.
		c.options.Metrics.lateMessages.Inc()
		r.fail(Lost.New("result names attempt %q", res.Attempt))
		return nil
	}
	r.complete(&res)
	return nil
}
