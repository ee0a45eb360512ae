package direct

import (
	"container/list"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// minShared is the size in tokens from which a shared prefix is followed:
	// a shorter one is read again in less than it costs to look for it.
	minShared = 256
	// cacheFill is the part of an engine's memory that is taken to hold
	// shared prefixes; running requests and prompts of their own need the rest.
	cacheFill = 0.75
)

// caches is this daemon's picture of the prompt prefixes that engines hold,
// from what it sent and what the other daemons tell. The picture of an engine
// drops the least recently used ones as the engine does.
type caches struct {
	engines map[msg.TargetID]*engineCache
	holders map[uint64]map[msg.TargetID]bool
}

type engineCache struct {
	entries map[uint64]*list.Element
	order   *list.List // of cacheEntry, most recently used first
	tokens  int
}

type cacheEntry struct {
	chain  uint64
	tokens int
}

func newCaches() *caches {
	return &caches{engines: make(map[msg.TargetID]*engineCache), holders: make(map[uint64]map[msg.TargetID]bool)}
}

// add notes that an engine with the given memory holds a prefix.
func (c *caches) add(id msg.TargetID, capacity int, chain uint64, tokens int) {
	e := c.engines[id]
	if e == nil {
		e = &engineCache{entries: make(map[uint64]*list.Element), order: list.New()}
		c.engines[id] = e
	}
	if el := e.entries[chain]; el != nil {
		e.order.MoveToFront(el)
		return
	}
	e.entries[chain] = e.order.PushFront(cacheEntry{chain, tokens})
	e.tokens += tokens
	if c.holders[chain] == nil {
		c.holders[chain] = make(map[msg.TargetID]bool)
	}
	c.holders[chain][id] = true
	for e.tokens > int(cacheFill*float64(capacity)) && e.order.Len() > 1 {
		c.drop(id, e, e.order.Back())
	}
}

func (c *caches) drop(id msg.TargetID, e *engineCache, el *list.Element) {
	old, _ := e.order.Remove(el).(cacheEntry)
	delete(e.entries, old.chain)
	e.tokens -= old.tokens
	delete(c.holders[old.chain], id)
	if len(c.holders[old.chain]) == 0 {
		delete(c.holders, old.chain)
	}
}

// forget drops all that an engine held.
func (c *caches) forget(id msg.TargetID) {
	e := c.engines[id]
	if e == nil {
		return
	}
	for e.order.Len() > 0 {
		c.drop(id, e, e.order.Back())
	}
	delete(c.engines, id)
}

// held returns the length in tokens of the longest prefix of a chain that an
// engine holds.
func (c *caches) held(id msg.TargetID, chain []chainPart) int {
	e := c.engines[id]
	if e == nil {
		return 0
	}
	for i := len(chain) - 1; i >= 0; i-- {
		if e.entries[chain[i].id] != nil {
			return chain[i].tokens
		}
	}
	return 0
}
