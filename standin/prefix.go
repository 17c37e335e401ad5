package standin

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// tokensPerBlock is the number of prompt tokens in one block of the cache.
const tokensPerBlock = 16

// prefixCache is an LRU cache of the prefix blocks of recent prompts. It is not
// safe for concurrent use.
type prefixCache struct{ blocks *lru.Cache[uint64, struct{}] }

func newPrefixCache(capacity int) *prefixCache {
	blocks, err := lru.New[uint64, struct{}](max(capacity, 1))
	if err != nil {
		panic(err) // cannot happen: the capacity is positive
	}
	return &prefixCache{blocks: blocks}
}

// lookup returns the number of cached tokens at the start of the prompt, and adds
// all complete blocks of the prompt to the cache.
func (c *prefixCache) lookup(prompt string) int {
	const blockBytes = tokensPerBlock * bytesPerToken
	cached, contiguous := 0, true
	hash := xxhash.New()
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = hash.WriteString(prompt[start : start+blockBytes])
		block := hash.Sum64()
		if _, ok := c.blocks.Get(block); ok && contiguous {
			cached += tokensPerBlock
			continue
		}
		contiguous = false
		c.blocks.Add(block, struct{}{})
	}
	return cached
}

// purge empties the cache, as a restart of the engine does.
func (c *prefixCache) purge() { c.blocks.Purge() }
