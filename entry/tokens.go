package entry

import (
	"slices"
	"strings"
	"sync"

	"github.com/azurelead/azurelead/contract"
	"github.com/azurelead/azurelead/link"
)

// tokenBuffer holds the tokens of one generate stage. A reader keeps only a position in
// it, so slow readers need no buffers of their own.
type tokenBuffer struct {
	mu        sync.Mutex
	tokens    []string
	delivered int // tokens that any reader has read
	closed    bool
	changed   chan struct{}
}

func newTokenBuffer() *tokenBuffer { return &tokenBuffer{changed: make(chan struct{})} }

// add adds a chunk. Tokens that overlap earlier ones must be equal to them, so that a
// reader never gets a mixture of two answers after a retry or a recovery. It returns an
// error if there is a gap or a difference.
func (b *tokenBuffer) add(c link.Chunk) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.First < 0 || c.First > len(b.tokens) {
		return Error.New("chunk starts at token %d, %d are here", c.First, len(b.tokens))
	}
	overlap := min(len(b.tokens)-c.First, len(c.Tokens))
	if !slices.Equal(b.tokens[c.First:c.First+overlap], c.Tokens[:overlap]) {
		return Error.New("chunk at token %d differs from the one received before", c.First)
	}
	if overlap == len(c.Tokens) {
		return nil
	}
	b.tokens = append(b.tokens, c.Tokens[overlap:]...)
	b.notifyReaders()
	return nil
}

// notifyReaders wakes the readers after a change. The caller holds b.mu.
func (b *tokenBuffer) notifyReaders() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// dropUnread prepares for another attempt. It drops the tokens that no reader has read;
// the next attempt must produce the others again.
func (b *tokenBuffer) dropUnread() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = slices.Clip(b.tokens[:b.delivered])
}

// count returns the number of tokens.
func (b *tokenBuffer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tokens)
}

// wasRead reports whether a reader has read any token.
func (b *tokenBuffer) wasRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.delivered > 0
}

// checkComplete checks the tokens against the count and digest of the final result.
func (b *tokenBuffer) checkComplete(count int, digest string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.tokens) != count {
		return Error.New("%d tokens received, the agent sent %d", len(b.tokens), count)
	}
	if got := tokensDigest(b.tokens); got != digest {
		return Error.New("digest of the tokens is %s, the agent sent %s", got, digest)
	}
	return nil
}

func tokensDigest(tokens []string) string {
	d := contract.NewDigest()
	for _, t := range tokens {
		d.Add(t)
	}
	return d.String()
}

// text returns the tokens joined into one string.
func (b *tokenBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.tokens, "")
}

// close marks the buffer as complete and wakes the readers.
func (b *tokenBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.notifyReaders()
}

// next returns the tokens from position from on. If there are none, it returns a channel
// to wait on, and whether the buffer is closed.
func (b *tokenBuffer) next(from int) (tokens []string, wait <-chan struct{}, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if from < len(b.tokens) {
		b.delivered = len(b.tokens)
		return b.tokens[from:], nil, false
	}
	return nil, b.changed, b.closed
}

// digest returns the digest of all tokens.
func (b *tokenBuffer) digest() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return tokensDigest(b.tokens)
}
