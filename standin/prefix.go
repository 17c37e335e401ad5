package standin

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// blockTokens is how many tokens of a prompt share one block of the cache.
const blockTokens = 16

// prefixCache remembers the blocks of recent prompts in limited memory. Its
// owner serialises access.
type prefixCache struct{ blocks *lru.Cache[uint64, struct{}] }

func newPrefixCache(capacity int) *prefixCache {
	blocks, err := lru.New[uint64, struct{}](max(capacity, 1))
	if err != nil {
		panic(err) // the capacity is above 0
	}
	return &prefixCache{blocks: blocks}
}

// use returns how many tokens at the front of the prompt are cached, and
// caches all of its whole blocks.
func (c *prefixCache) use(prompt string) int {
	const blockBytes = blockTokens * bytesPerToken
	cached, unbroken := 0, true
	chain := xxhash.New()
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		_, _ = chain.WriteString(prompt[start : start+blockBytes])
		block := chain.Sum64()
		if _, ok := c.blocks.Get(block); ok && unbroken {
			cached += blockTokens
			continue
		}
		unbroken = false
		c.blocks.Add(block, struct{}{})
	}
	return cached
}

// purge empties the cache, as a restart does.
func (c *prefixCache) purge() { c.blocks.Purge() }
