package experiment

import (
	"container/list"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// lru holds an engine's cached prompt parts; the least recently used yield.
type lru struct {
	entries map[uint64]*list.Element
	order   *list.List // of msg.PromptPart, most recently used first
	tokens  int
	most    int
}

func newLRU(most int) *lru {
	return &lru{entries: make(map[uint64]*list.Element), order: list.New(), most: most}
}

// held is the length in tokens of the longest prefix of parts that is cached.
func (c *lru) held(parts []msg.PromptPart) int {
	sum := 0
	for _, p := range parts {
		el := c.entries[p.ID]
		if el == nil {
			break
		}
		c.order.MoveToFront(el)
		sum += p.Tokens
	}
	return sum
}

// add caches the parts of a prompt.
func (c *lru) add(parts []msg.PromptPart) {
	for _, p := range parts {
		if el := c.entries[p.ID]; el != nil {
			c.order.MoveToFront(el)
			continue
		}
		c.entries[p.ID] = c.order.PushFront(p)
		c.tokens += p.Tokens
	}
	c.limit(c.most)
}

// limit sets the memory for cached parts and drops those that exceed it.
func (c *lru) limit(most int) {
	c.most = max(most, 0)
	for c.tokens > c.most && c.order.Len() > 0 {
		p, _ := c.order.Remove(c.order.Back()).(msg.PromptPart)
		delete(c.entries, p.ID)
		c.tokens -= p.Tokens
	}
}
