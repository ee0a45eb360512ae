package engine

import (
	"container/list"
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/prefixhash"
)

// blockTokens is the number of tokens in a cache block.
const blockTokens = prefixhash.BlockBytes / prefixhash.BytesPerToken

// maxCacheEvents limits the number of events that are kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	capacity     int // in blocks
	lossInterval int
	recency      *list.List // of msg.BlockHash, most recent first
	byHash       map[msg.BlockHash]*list.Element
	seq          uint64
	events       []cacheEvent
}

// cacheEvent is a published change of the cache.
type cacheEvent struct {
	Seq     uint64   `json:"seq"`
	Removed bool     `json:"removed,omitempty"`
	Blocks  []string `json:"pieces"`
	at      time.Time
}

func newPrefixCache(tokens, lossInterval int) *prefixCache {
	return &prefixCache{
		capacity:     tokens / blockTokens,
		lossInterval: lossInterval,
		recency:      list.New(),
		byHash:       make(map[msg.BlockHash]*list.Element),
	}
}

// match returns the number of leading blocks that are cached and marks them
// as used.
func (c *prefixCache) match(blocks []msg.BlockHash) int {
	for i, b := range blocks {
		e, ok := c.byHash[b]
		if !ok {
			return i
		}
		c.recency.MoveToFront(e)
	}
	return len(blocks)
}

// add caches blocks, evicts the least recently used ones and publishes both
// changes.
func (c *prefixCache) add(now time.Time, blocks []msg.BlockHash) {
	var added, removed []msg.BlockHash
	for _, b := range blocks {
		if _, ok := c.byHash[b]; ok {
			continue
		}
		c.byHash[b] = c.recency.PushFront(b)
		added = append(added, b)
		if c.recency.Len() > c.capacity {
			removed = append(removed, c.evict())
		}
	}
	c.publish(now, added, false)
	c.publish(now, removed, true)
}

func (c *prefixCache) evict() msg.BlockHash {
	last := c.recency.Back()
	b := c.recency.Remove(last).(msg.BlockHash)
	delete(c.byHash, b)
	return b
}

// publish records an event. If lossInterval is set, every lossInterval-th event
// is lost, so that its sequence number is missing.
func (c *prefixCache) publish(now time.Time, blocks []msg.BlockHash, removed bool) {
	if len(blocks) == 0 {
		return
	}
	c.seq++
	if c.lossInterval > 0 && c.seq%uint64(c.lossInterval) == 0 {
		return
	}
	ev := cacheEvent{Seq: c.seq, Removed: removed, at: now}
	for _, b := range blocks {
		ev.Blocks = append(ev.Blocks, fmt.Sprintf("%016x", uint64(b)))
	}
	c.events = append(c.events, ev)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events after seq whose age is at least lag.
func (c *prefixCache) since(seq uint64, now time.Time, lag time.Duration) []cacheEvent {
	out := []cacheEvent{}
	for _, ev := range c.events {
		if ev.Seq > seq && now.Sub(ev.at) >= lag {
			out = append(out, ev)
		}
	}
	return out
}

// clear evicts all blocks, as loading a model or changing the role does.
func (c *prefixCache) clear(now time.Time) {
	var removed []msg.BlockHash
	for c.recency.Len() > 0 {
		removed = append(removed, c.evict())
	}
	c.publish(now, removed, true)
}
