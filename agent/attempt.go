package agent

import (
	"context"
	"sync"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// attempt is the agent's record of an attempt. It keeps the tokens and the result for links that
// take the attempt over.
type attempt struct {
	id     contract.AttemptID
	digest string
	// nonRepeatable is set for calls that must not be repeated.
	nonRepeatable bool
	// cancel cancels the attempt with a cause.
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	tokens  []string
	bytes   int
	result  *link.RunResult
	changed chan struct{}
	// links counts the links that wait for the attempt, attachedLinks those of them that took it
	// over.
	links         int
	attachedLinks int
	// crashReported is set once the attempt has been reported as in flight at a crash of the
	// endpoint.
	crashReported bool
	// sent is set once the endpoint may have received the call.
	sent bool
	// ended is set once the call has ended otherwise than by a crash, before its slot is released.
	ended bool
}

func newAttempt(id contract.AttemptID, digest string, nonRepeatable bool, cancel context.CancelCauseFunc) *attempt {
	return &attempt{id: id, digest: digest, nonRepeatable: nonRepeatable, cancel: cancel, links: 1, changed: make(chan struct{})}
}

func (t *attempt) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// add records a token.
func (t *attempt) add(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens = append(t.tokens, token)
	t.bytes += len(token)
	if t.attachedLinks > 0 {
		t.notifyLocked()
	}
}

// finish records the result.
func (t *attempt) finish(r link.RunResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result = &r
	t.notifyLocked()
}

// snapshot returns the tokens from index n on, the result if there is one, and a channel that is
// closed at the next change.
func (t *attempt) snapshot(n int) ([]string, *link.RunResult, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var tokens []string
	if n < len(t.tokens) {
		tokens = t.tokens[n:len(t.tokens):len(t.tokens)]
	}
	return tokens, t.result, t.changed
}

// addLink adds a link that waits for the attempt.
func (t *attempt) addLink() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links++
}

// addAttachedLinks changes the number of links that took the attempt over by n: 1 when a link
// attaches, -1 when it ends.
func (t *attempt) addAttachedLinks(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attachedLinks += n
}

// removeLink removes a link that waited for the attempt and returns the number of those left.
func (t *attempt) removeLink() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.links--
	return t.links
}

// isOrphaned reports whether no link waits for the attempt.
func (t *attempt) isOrphaned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links == 0
}

// markSent records that the endpoint may receive the call from now on. It returns false if ctx has
// ended; the call must then not be sent.
func (t *attempt) markSent(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = ctx.Err() == nil
	return t.sent
}

// cancelIfSafe cancels the attempt, unless it is non-repeatable and the endpoint may have received
// it: cancelling such a call would only hide its outcome.
func (t *attempt) cancelIfSafe(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.nonRepeatable || !t.sent {
		t.cancel(cause)
	}
}

// markEnded records that the call ended otherwise than by a crash of the endpoint.
func (t *attempt) markEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
}

// isInFlight reports whether the endpoint may be working on the call.
func (t *attempt) isInFlight() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent && !t.ended
}

// markCrashReported marks the attempt as reported for a crash, and reports whether it was not
// marked before.
func (t *attempt) markCrashReported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.crashReported
	t.crashReported = true
	return first
}

// tokenDigest returns the number and the digest of all tokens.
func (t *attempt) tokenDigest() (int, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := contract.NewDigest()
	for _, token := range t.tokens {
		d.Add(token)
	}
	return len(t.tokens), d.String()
}
