package request

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/segmentcache"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// minSharedTokens is the smallest size in tokens of a shared segment that is
	// tracked. To look for a smaller one costs more than to prefill it again.
	minSharedTokens = 100
	// sharedCacheFraction is the fraction of an engine's KV cache that is
	// assumed to hold shared segments. Running requests and the unshared parts
	// of prompts need the rest.
	sharedCacheFraction = 0.75
)

// cacheView is this daemon's estimate of which prompt segments each engine has
// in its cache. Its sources are the attempts that the daemon sent, the digests
// of the other daemons and the cache listings of the engines. The estimate for
// an engine evicts the least recently used segments, as the engine does.
type cacheView struct {
	engines map[msg.TargetID]*segmentcache.Cache
	// holders maps the ID of each segment to the engines that hold it.
	holders map[uint64]map[msg.TargetID]bool
}

func newCacheView() *cacheView {
	return &cacheView{engines: make(map[msg.TargetID]*segmentcache.Cache), holders: make(map[uint64]map[msg.TargetID]bool)}
}

// add records that an engine with a KV cache of the given capacity in tokens
// holds a segment.
func (c *cacheView) add(id msg.TargetID, capacity int, segment uint64, tokens int) {
	e := c.engines[id]
	if e == nil {
		e = segmentcache.New()
		c.engines[id] = e
	}
	if !e.Use(msg.PromptSegment{ID: segment, Tokens: tokens}) {
		return
	}
	if c.holders[segment] == nil {
		c.holders[segment] = make(map[msg.TargetID]bool)
	}
	c.holders[segment][id] = true
	for e.Tokens() > int(sharedCacheFraction*float64(capacity)) && e.Len() > 1 {
		c.evictOldest(id, e)
	}
}

func (c *cacheView) evictOldest(id msg.TargetID, e *segmentcache.Cache) {
	old := e.RemoveOldest()
	delete(c.holders[old.ID], id)
	if len(c.holders[old.ID]) == 0 {
		delete(c.holders, old.ID)
	}
}

// removeEngine removes all segments of an engine.
func (c *cacheView) removeEngine(id msg.TargetID) {
	e := c.engines[id]
	if e == nil {
		return
	}
	for e.Len() > 0 {
		c.evictOldest(id, e)
	}
	delete(c.engines, id)
}

// cachedTokens returns the length in tokens of the longest prefix of a prompt's
// shared segments that an engine holds. A segment counts only if all segments
// before it are held.
func (c *cacheView) cachedTokens(id msg.TargetID, segments []msg.PromptSegment) int {
	e := c.engines[id]
	if e == nil {
		return 0
	}
	_, tokens := e.Prefix(segments)
	return tokens
}

// segments lists the estimate by engine; the segments of an engine are in order
// of their last use, the least recently used first.
func (c *cacheView) segments() []msg.CachedSegment {
	var out []msg.CachedSegment
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		for seg := range c.engines[id].OldestFirst() {
			out = append(out, msg.CachedSegment{Target: id, Segment: seg.ID, Tokens: seg.Tokens})
		}
	}
	return out
}

// recordCached records that an attempt's target now holds the shared segments
// of the prompt, and queues them for the next digest to the other daemons.
func (s *stepContext) recordCached(a *attempt) {
	for _, seg := range a.segments {
		if s.recordSegment(a.target.Target, seg) {
			s.exchange.unsentSegments = append(s.exchange.unsentSegments, msg.CachedSegment{Target: a.target.Target, Segment: seg.ID, Tokens: seg.Tokens})
		}
	}
}

// recordSegment adds a segment to the estimate for an engine. It reports
// whether the segment is tracked.
func (s *stepContext) recordSegment(id msg.TargetID, seg msg.PromptSegment) bool {
	t := s.targets[id]
	if t == nil || seg.Tokens < minSharedTokens {
		return false
	}
	spec := s.engineSpec(t)
	if spec == nil {
		return false
	}
	s.caches.add(id, spec.CacheTokens, seg.ID, seg.Tokens)
	return true
}

// readCaches reads the cache contents of engines that this process has not seen
// before. Only one daemon reads each engine; it shares the result with the
// others.
func (s *stepContext) readCaches() {
	if s.now < cacheReadDelay || s.table == nil {
		return
	}
	for _, list := range s.services {
		for _, t := range list {
			if t.skipCacheRead || s.engineSpec(t) == nil {
				continue
			}
			t.skipCacheRead = true
			if rendezvous.Rank(string(t.Target), s.self.Host, s.entries) == 0 {
				s.emit(msg.ReadCache{Call: s.nextCall(), Target: t.Target, Addr: t.Addr})
			}
		}
	}
}

// onCacheRead records the segments that an engine listed. Some of them belong
// to a single request and are not shared. Recording them too is harmless,
// because the estimate evicts them when the engine does.
func (s *stepContext) onCacheRead(ev msg.CacheRead) {
	n := 0
	for _, seg := range ev.Segments {
		if s.recordSegment(ev.Target, seg) {
			n++
			s.exchange.unsentSegments = append(s.exchange.unsentSegments, msg.CachedSegment{Target: ev.Target, Segment: seg.ID, Tokens: seg.Tokens})
		}
	}
	s.log("cache read of an engine ended", attr("target", ev.Target), attr("parts", n), attr("status", ev.Status))
}
