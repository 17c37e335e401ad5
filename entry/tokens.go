package entry

import (
	"slices"
	"strings"
	"sync"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// tokenBuffer holds the tokens of one generate stage. Readers keep only a
// position in it, so a slow reader costs no memory of its own.
type tokenBuffer struct {
	mu      sync.Mutex
	tokens  []string
	shown   int // tokens that a reader has taken
	closed  bool
	changed chan struct{}
}

func newTokenBuffer() *tokenBuffer { return &tokenBuffer{changed: make(chan struct{})} }

// put adds a chunk. Tokens that are there already must be the same: after a
// retry or a resumption a reader never gets two answers mixed. It returns an
// error after a gap or a difference.
func (b *tokenBuffer) put(c link.Chunk) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.First < 0 || c.First > len(b.tokens) {
		return Error.New("chunk starts at token %d, %d are here", c.First, len(b.tokens))
	}
	old := min(len(b.tokens)-c.First, len(c.Tokens))
	if !slices.Equal(b.tokens[c.First:c.First+old], c.Tokens[:old]) {
		return Error.New("chunk at token %d differs from the one received before", c.First)
	}
	if old == len(c.Tokens) {
		return nil
	}
	b.tokens = append(b.tokens, c.Tokens[old:]...)
	b.wake()
	return nil
}

// wake tells readers that something changed; b.mu is held.
func (b *tokenBuffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// restart prepares for another attempt: tokens that no reader took are dropped,
// the others must come again.
func (b *tokenBuffer) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = slices.Clip(b.tokens[:b.shown])
}

// count returns how many tokens are here.
func (b *tokenBuffer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tokens)
}

// check compares the tokens with the count and digest of the closing result.
func (b *tokenBuffer) check(count int, digest string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.tokens) != count {
		return Error.New("%d tokens received, the agent sent %d", len(b.tokens), count)
	}
	if got := digestOf(b.tokens); got != digest {
		return Error.New("digest of the tokens is %s, the agent sent %s", got, digest)
	}
	return nil
}

func digestOf(tokens []string) string {
	d := contract.NewDigest()
	for _, t := range tokens {
		d.Add(t)
	}
	return d.String()
}

// text returns all the tokens as one string.
func (b *tokenBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.tokens, "")
}

// close wakes readers for the last time.
func (b *tokenBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.wake()
}

// next returns the tokens from position from on. Without any it returns the
// channel to wait on, or closed.
func (b *tokenBuffer) next(from int) (tokens []string, wait <-chan struct{}, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from < len(b.tokens) {
		b.shown = len(b.tokens)
		return b.tokens[from:], nil, false
	}
	return nil, b.changed, b.closed
}

// digest returns the digest of all the tokens.
func (b *tokenBuffer) digest() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return digestOf(b.tokens)
}
