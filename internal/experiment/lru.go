package experiment

import (
	"github.com/verbenaspur/verbenaspur/internal/core/direct/segmentcache"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// lru is an engine's LRU cache of prompt segments.
type lru struct {
	*segmentcache.Cache
	maxTokens int
}

func newLRU(maxTokens int) *lru { return &lru{segmentcache.New(), maxTokens} }

// lookup returns the length in tokens of the longest cached prefix of segments and
// marks the segments of that prefix as used.
func (c *lru) lookup(segments []msg.PromptSegment) int {
	prefix, tokens := c.Prefix(segments)
	for _, p := range prefix {
		c.Use(p)
	}
	return tokens
}

// add caches the segments of a prompt.
func (c *lru) add(segments []msg.PromptSegment) {
	for _, p := range segments {
		c.Use(p)
	}
	c.setLimit(c.maxTokens)
}

// setLimit sets the memory for cached segments, in tokens, and evicts the least
// recently used ones beyond it.
func (c *lru) setLimit(maxTokens int) {
	c.maxTokens = max(maxTokens, 0)
	for c.Tokens() > c.maxTokens && c.Len() > 0 {
		c.RemoveOldest()
	}
}
