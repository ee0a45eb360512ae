// Package segmentcache keeps prompt parts in order of their last use, as an
// engine's memory does and as a daemon's picture of it.
package segmentcache

import (
	"container/list"
	"iter"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Cache holds prompt parts. It drops none by itself: its user decides how
// much it may hold.
type Cache struct {
	entries map[uint64]*list.Element
	order   *list.List // of msg.PromptSegment, most recently used first
	tokens  int
}

// New returns an empty cache.
func New() *Cache { return &Cache{entries: make(map[uint64]*list.Element), order: list.New()} }

// Len is the number of parts.
func (c *Cache) Len() int { return c.order.Len() }

// Tokens is the size of all parts.
func (c *Cache) Tokens() int { return c.tokens }

// Use marks a part as used, adds it if it is new and reports whether it was.
func (c *Cache) Use(p msg.PromptSegment) bool {
	if el := c.entries[p.ID]; el != nil {
		c.order.MoveToFront(el)
		return false
	}
	c.entries[p.ID] = c.order.PushFront(p)
	c.tokens += p.Tokens
	return true
}

// Prefix returns the leading parts of a prompt that are held, and their size:
// a part counts only with all parts before it.
func (c *Cache) Prefix(parts []msg.PromptSegment) (held []msg.PromptSegment, tokens int) {
	for i, p := range parts {
		if c.entries[p.ID] == nil {
			return parts[:i], tokens
		}
		tokens += p.Tokens
	}
	return parts, tokens
}

// RemoveOldest drops the part that was not used for longest. The cache must not
// be empty.
func (c *Cache) RemoveOldest() msg.PromptSegment {
	p, _ := c.order.Remove(c.order.Back()).(msg.PromptSegment)
	delete(c.entries, p.ID)
	c.tokens -= p.Tokens
	return p
}

// OldestFirst yields the parts, the least recently used one first.
func (c *Cache) OldestFirst() iter.Seq[msg.PromptSegment] {
	return func(yield func(msg.PromptSegment) bool) {
		for el := c.order.Back(); el != nil; el = el.Prev() {
			if p, _ := el.Value.(msg.PromptSegment); !yield(p) {
				return
			}
		}
	}
}
