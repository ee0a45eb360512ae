package experiment

import (
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/segmentcache"
)

// lru holds an engine's cached prompt parts; the least recently used yield.
type lru struct {
	*segmentcache.Cache
	most int
}

func newLRU(most int) *lru { return &lru{segmentcache.New(), most} }

// held is the length in tokens of the longest prefix of parts that is cached,
// and uses it.
func (c *lru) held(parts []msg.PromptSegment) int {
	prefix, tokens := c.Prefix(parts)
	for _, p := range prefix {
		c.Use(p)
	}
	return tokens
}

// add caches the parts of a prompt.
func (c *lru) add(parts []msg.PromptSegment) {
	for _, p := range parts {
		c.Use(p)
	}
	c.limit(c.most)
}

// limit sets the memory for cached parts and drops those that exceed it.
func (c *lru) limit(most int) {
	c.most = max(most, 0)
	for c.Tokens() > c.most && c.Len() > 0 {
		c.RemoveOldest()
	}
}
