// Package segmentcache keeps prompt segments in order of their last use. An entry
// daemon on the direct path keeps its estimate of each engine's cache in it, and
// experiments use it as the cache of a simulated engine. A segment is a part of
// a prompt whose ID the caller declares; unlike the cache blocks of package
// prefixindex, it may have any length.
package segmentcache

import (
	"container/list"
	"iter"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Cache holds prompt segments. It does not limit its size: the caller evicts
// segments with RemoveOldest.
type Cache struct {
	entries map[uint64]*list.Element
	order   *list.List // of msg.PromptSegment, most recently used first
	tokens  int
}

// New returns an empty cache.
func New() *Cache { return &Cache{entries: make(map[uint64]*list.Element), order: list.New()} }

// Len returns the number of segments.
func (c *Cache) Len() int { return c.order.Len() }

// Tokens returns the total size of the segments in tokens.
func (c *Cache) Tokens() int { return c.tokens }

// Use marks a segment as used and adds it if it is new. It reports whether it
// was new.
func (c *Cache) Use(segment msg.PromptSegment) bool {
	if el := c.entries[segment.ID]; el != nil {
		c.order.MoveToFront(el)
		return false
	}
	c.entries[segment.ID] = c.order.PushFront(segment)
	c.tokens += segment.Tokens
	return true
}

// Prefix returns the leading segments of a prompt that the cache holds, and
// their size in tokens. A segment counts only if all segments before it are
// held. The call does not mark the segments as used.
func (c *Cache) Prefix(segments []msg.PromptSegment) (held []msg.PromptSegment, tokens int) {
	for i, seg := range segments {
		if c.entries[seg.ID] == nil {
			return segments[:i], tokens
		}
		tokens += seg.Tokens
	}
	return segments, tokens
}

// RemoveOldest removes and returns the least recently used segment. The cache
// must not be empty.
func (c *Cache) RemoveOldest() msg.PromptSegment {
	seg, _ := c.order.Remove(c.order.Back()).(msg.PromptSegment)
	delete(c.entries, seg.ID)
	c.tokens -= seg.Tokens
	return seg
}

// OldestFirst yields the segments in order of their last use, the least
// recently used one first.
func (c *Cache) OldestFirst() iter.Seq[msg.PromptSegment] {
	return func(yield func(msg.PromptSegment) bool) {
		for el := c.order.Back(); el != nil; el = el.Prev() {
			if seg, _ := el.Value.(msg.PromptSegment); !yield(seg) {
				return
			}
		}
	}
}
