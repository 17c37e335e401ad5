package link

import (
	"context"

	"github.com/azurelead/azurelead/contract"
)

// Client is the entry's side of one link to one agent. A Client never
// reconnects: when Done is closed, its owner dials a new one.
type Client struct {
	o    ClientOptions
	addr string
	peer HelloResult
}

// Dial opens a link to the agent at addr and completes the handshake.
func Dial(ctx context.Context, addr string, o ClientOptions) (*Client, error) {
	o.setDefaults()
	return nil, Error.New("not built yet")
}

// Peer returns what the agent said in the handshake.
func (c *Client) Peer() HelloResult { return c.peer }

// Load returns the latest load on any reply.
func (c *Client) Load() Load { return Load{} }

// Settings returns the highest settings version that the agent has named.
func (c *Client) Settings() Version { return 0 }

// Run runs one attempt. onChunk is called on the caller's goroutine, with
// consecutive chunks, the first of which starts at token 0; a slow onChunk
// delays only its own attempt. RunParams.AgentBoot is set from the handshake
// when empty. Errors are of class NotSent, Lost or Refused, or ctx's error after
// ctx ended first (the attempt is then cancelled at the agent, its effect
// unknown). The caller checks Count and Digest of the result.
func (c *Client) Run(ctx context.Context, p RunParams, onChunk func(Chunk)) (RunResult, error) {
	return RunResult{}, NotSent.New("not built yet")
}

// Attach takes over an attempt that an earlier link began; onChunk gets the
// tokens from p.From on.
func (c *Client) Attach(ctx context.Context, p AttachParams, onChunk func(Chunk)) (RunResult, error) {
	return RunResult{}, NotSent.New("not built yet")
}

// Settle asks what became of an attempt, and closes it if it never ran.
func (c *Client) Settle(ctx context.Context, p SettleParams) (SettleResult, error) {
	return SettleResult{}, NotSent.New("not built yet")
}

// Cancel tells the agent that nobody waits for the attempt any more.
func (c *Client) Cancel(id contract.AttemptID) {}

// Call calls any other method.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	return NotSent.New("not built yet")
}

// Leaving is closed when the agent says that it is going: no new work.
func (c *Client) Leaving() <-chan struct{} { return nil }

// Done is closed when the link has failed or was closed.
func (c *Client) Done() <-chan struct{} { return nil }

// Err returns why Done was closed.
func (c *Client) Err() error { return nil }

// Close closes the link; outstanding calls return Lost.
func (c *Client) Close() error { return nil }
