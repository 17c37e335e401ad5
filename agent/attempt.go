package agent

import (
	"context"
	"sync"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// attempt is what the agent keeps of one attempt: its tokens and result, for
// links that take it over.
type attempt struct {
	id     contract.AttemptID
	digest string
	// once is set for calls that may not be repeated.
	once bool
	// cancel ends the attempt; the cause says why.
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	tokens  []string
	bytes   int
	result  *link.RunResult
	changed chan struct{}
	// followers counts the links that wait for the attempt, attached those of
	// them that took it over.
	followers int
	attached  int
	// suspected is set once the attempt was made a suspect of a crash of the endpoint.
	suspected bool
	// handed is set once the endpoint may have seen the call.
	handed bool
}

func newAttempt(id contract.AttemptID, digest string, once bool, cancel context.CancelCauseFunc) *attempt {
	return &attempt{id: id, digest: digest, once: once, cancel: cancel, followers: 1, changed: make(chan struct{})}
}

func (t *attempt) notifyLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// add keeps one token.
func (t *attempt) add(token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tokens = append(t.tokens, token)
	t.bytes += len(token)
	if t.attached > 0 {
		t.notifyLocked()
	}
}

// finish keeps the result.
func (t *attempt) finish(r link.RunResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result = &r
	t.notifyLocked()
}

// snapshot returns the tokens from n on, the result if there is one, and a
// channel that is closed at the next change.
func (t *attempt) snapshot(n int) ([]string, *link.RunResult, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var tokens []string
	if n < len(t.tokens) {
		tokens = t.tokens[n:len(t.tokens):len(t.tokens)]
	}
	return tokens, t.result, t.changed
}

// follow counts a link in.
func (t *attempt) follow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followers++
}

// attach counts a link in that takes the attempt over, or, by -1, out.
func (t *attempt) attach(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attached += n
}

// unfollow counts a link out and returns how many are left.
func (t *attempt) unfollow() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followers--
	return t.followers
}

// abandoned reports whether no link waits for the attempt.
func (t *attempt) abandoned() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.followers == 0
}

// hand marks that the endpoint may see the call from now on. It reports false,
// and the call must not be handed over, when the attempt has ended before.
func (t *attempt) hand(ctx context.Context) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handed = ctx.Err() == nil
	return t.handed
}

// cancelUnlessOnce ends the attempt, but for a call that may not be repeated
// and that the endpoint may have seen: cutting it would only hide its outcome.
func (t *attempt) cancelUnlessOnce(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.once || !t.handed {
		t.cancel(cause)
	}
}

func (t *attempt) wasHanded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handed
}

// markSuspected marks the attempt as a suspect of a crash and reports whether it was the first time.
func (t *attempt) markSuspected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.suspected
	t.suspected = true
	return first
}

// digestOf returns count and digest of all tokens.
func (t *attempt) digestOf() (int, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := contract.NewDigest()
	for _, token := range t.tokens {
		d.Add(token)
	}
	return len(t.tokens), d.String()
}
