package engine

import (
	"container/list"
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/prefixhash"
)

// pieceTokens is the number of tokens of one cache piece.
const pieceTokens = prefixhash.BlockBytes / prefixhash.BytesPerToken

// maxCacheEvents bounds the events that are kept for readers.
const maxCacheEvents = 4096

// prefixCache keeps prompt pieces and drops the least recently used ones.
type prefixCache struct {
	capacity int // pieces
	gap      int
	order    *list.List // of msg.BlockHash, most recent first
	pieces   map[msg.BlockHash]*list.Element
	seq      uint64
	events   []cacheEvent
}

// cacheEvent is one published change of the cache.
type cacheEvent struct {
	Seq     uint64   `json:"seq"`
	Removed bool     `json:"removed,omitempty"`
	Pieces  []string `json:"pieces"`
	at      time.Time
}

func newPrefixCache(tokens, gap int) *prefixCache {
	return &prefixCache{
		capacity: tokens / pieceTokens,
		gap:      gap,
		order:    list.New(),
		pieces:   make(map[msg.BlockHash]*list.Element),
	}
}

// match returns the number of leading pieces that are cached, and marks them
// as used.
func (c *prefixCache) match(pieces []msg.BlockHash) int {
	for i, p := range pieces {
		e, ok := c.pieces[p]
		if !ok {
			return i
		}
		c.order.MoveToFront(e)
	}
	return len(pieces)
}

func (c *prefixCache) add(now time.Time, pieces []msg.BlockHash) {
	var added, removed []msg.BlockHash
	for _, p := range pieces {
		if _, ok := c.pieces[p]; ok {
			continue
		}
		c.pieces[p] = c.order.PushFront(p)
		added = append(added, p)
		if c.order.Len() > c.capacity {
			removed = append(removed, c.evict())
		}
	}
	c.publish(now, added, false)
	c.publish(now, removed, true)
}

func (c *prefixCache) evict() msg.BlockHash {
	last := c.order.Back()
	p := c.order.Remove(last).(msg.BlockHash)
	delete(c.pieces, p)
	return p
}

func (c *prefixCache) publish(now time.Time, pieces []msg.BlockHash, removed bool) {
	if len(pieces) == 0 {
		return
	}
	c.seq++
	if c.gap > 0 && c.seq%uint64(c.gap) == 0 {
		return
	}
	ev := cacheEvent{Seq: c.seq, Removed: removed, at: now}
	for _, p := range pieces {
		ev.Pieces = append(ev.Pieces, fmt.Sprintf("%016x", uint64(p)))
	}
	c.events = append(c.events, ev)
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events after seq that are older than the lag.
func (c *prefixCache) since(seq uint64, now time.Time, lag time.Duration) []cacheEvent {
	out := []cacheEvent{}
	for _, ev := range c.events {
		if ev.Seq > seq && now.Sub(ev.at) >= lag {
			out = append(out, ev)
		}
	}
	return out
}

// clear drops all pieces, as a reload does.
func (c *prefixCache) clear(now time.Time) {
	var removed []msg.BlockHash
	for c.order.Len() > 0 {
		removed = append(removed, c.evict())
	}
	c.publish(now, removed, true)
}
