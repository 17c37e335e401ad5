package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxParts bounds the parts of one prompt that are tracked. Those after them count as part of the last one.
	MaxParts = 32
	// maxEngineParts bounds the cached parts that are tracked of one engine, and maxPoolParts those of all engines of a
	// service, as long as each has minEngineParts.
	maxEngineParts = 1024
	minEngineParts = 64
	maxPoolParts   = 32768
	// maxRecentParts bounds the parts of which is known when some engine last read them.
	maxRecentParts = 65536
)

// partKey identifies a part of a prompt. Clients choose the IDs, so their length is unknown.
type partKey uint64

func (p Part) key() partKey { return partKey(xxhash.Sum64String(p.ID)) }

// Bounded returns the prompt as far as it is tracked: at most MaxParts parts, none without tokens, and together no more
// tokens than the prompt has. The last part remains the last, as it is the request's own.
//
// The load that it answers are prompts of thousands of parts, whose tracking would take more memory than the rest of
// the job, and parts that state more tokens than their prompt, which would displace all others.
func (p Prompt) Bounded() Prompt {
	if len(p.Parts) == 0 {
		return p
	}
	shared, own := p.sharedParts(), p.Parts[len(p.Parts)-1]
	untracked := p.Tokens
	p.Parts = make([]Part, 0, min(len(p.Parts), MaxParts))
	for _, part := range shared {
		if len(p.Parts) == MaxParts-1 {
			own.Tokens = untracked
			break
		}
		if part.Tokens = min(part.Tokens, untracked); part.Tokens > 0 {
			untracked -= part.Tokens
			p.Parts = append(p.Parts, part)
		}
	}
	own.Tokens = min(max(own.Tokens, 0), untracked)
	p.Parts = append(p.Parts, own)
	return p
}

// cachedParts are the parts of prompts that an engine is assumed to have cached, with their tokens. The least recently
// used ones yield.
type cachedParts struct {
	parts *simplelru.LRU[partKey, int]
	// tokens is the sum of the parts' tokens.
	tokens int
}

// newCachedParts returns an empty set. onEvict is called for each part that is removed.
func newCachedParts(onEvict func(partKey)) *cachedParts {
	c := &cachedParts{}
	c.parts = newLRU(maxEngineParts, func(key partKey, tokens int) {
		c.tokens -= tokens
		onEvict(key)
	})
	return c
}

// newLRU returns an LRU of a positive size.
func newLRU[V any](size int, onEvict func(partKey, V)) *simplelru.LRU[partKey, V] {
	lru, err := simplelru.NewLRU(size, onEvict)
	if err != nil {
		panic(err) // the size is not positive
	}
	return lru
}

// has reports whether a part is cached. It is not a use of the part.
func (c *cachedParts) has(key partKey) bool { return c.parts.Contains(key) }

// add records the use of a part, and evicts others while there are more than limit tokens; 0 is no limit.
func (c *cachedParts) add(key partKey, tokens, limit int) {
	before, _ := c.parts.Peek(key)
	c.tokens += tokens - before
	c.parts.Add(key, tokens)
	for limit > 0 && c.tokens > limit && c.parts.Len() > 1 {
		c.parts.RemoveOldest()
	}
}

// clear removes all parts.
func (c *cachedParts) clear() { c.parts.Purge() }

// bound sets the largest number of parts.
func (c *cachedParts) bound(n int) { c.parts.Resize(n) }

// recentParts are the parts that some engine has read recently.
type recentParts struct {
	lastRead *simplelru.LRU[partKey, time.Time]
}

func newRecentParts() recentParts {
	return recentParts{lastRead: newLRU[time.Time](maxRecentParts, nil)}
}

// add records that an engine reads a part.
func (r recentParts) add(now time.Time, key partKey) { r.lastRead.Add(key, now) }

// has reports whether an engine has read a part within recentPrefillWindow.
func (r recentParts) has(now time.Time, key partKey) bool {
	at, found := r.lastRead.Peek(key)
	return found && now.Sub(at) < recentPrefillWindow
}

// prune removes the parts that were not read within recentPrefillWindow. They are the oldest ones, so that no others are
// visited.
func (r recentParts) prune(now time.Time) {
	for {
		_, at, found := r.lastRead.GetOldest()
		if !found || now.Sub(at) < recentPrefillWindow {
			return
		}
		r.lastRead.RemoveOldest()
	}
}
