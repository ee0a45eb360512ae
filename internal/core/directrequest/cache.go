package directrequest

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
	"github.com/verbenaspur/verbenaspur/internal/core/segmentcache"
)

const (
	// minSharedTokens is the size in tokens from which a shared part is followed:
	// a shorter one is read again in less than it costs to look for it.
	minSharedTokens = 100
	// sharedCacheFraction is the part of an engine's memory that is taken to hold
	// shared parts; running requests and prompts of their own need the rest.
	sharedCacheFraction = 0.75
)

// cacheView is this daemon's picture of the prompt parts that engines hold, from
// what it sent, what the other daemons tell and what engines list. The picture
// of an engine drops the least recently used parts as the engine does.
type cacheView struct {
	engines map[msg.TargetID]*segmentcache.Cache
	holders map[uint64]map[msg.TargetID]bool
}

func newCacheView() *cacheView {
	return &cacheView{engines: make(map[msg.TargetID]*segmentcache.Cache), holders: make(map[uint64]map[msg.TargetID]bool)}
}

// add notes that an engine with the given memory holds a part.
func (c *cacheView) add(id msg.TargetID, capacity int, part uint64, tokens int) {
	e := c.engines[id]
	if e == nil {
		e = segmentcache.New()
		c.engines[id] = e
	}
	if !e.Use(msg.PromptSegment{ID: part, Tokens: tokens}) {
		return
	}
	if c.holders[part] == nil {
		c.holders[part] = make(map[msg.TargetID]bool)
	}
	c.holders[part][id] = true
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

// removeEngine drops all that an engine held.
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

// cachedTokens returns the length in tokens of the longest prefix of a prompt's shared
// parts that an engine holds: a part counts only with all parts before it.
func (c *cacheView) cachedTokens(id msg.TargetID, parts []msg.PromptSegment) int {
	e := c.engines[id]
	if e == nil {
		return 0
	}
	_, tokens := e.Prefix(parts)
	return tokens
}

// segments lists the picture, by engine and least recently used part first.
func (c *cacheView) segments() []msg.CachedSegment {
	var out []msg.CachedSegment
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		for p := range c.engines[id].OldestFirst() {
			out = append(out, msg.CachedSegment{Target: id, Segment: p.ID, Tokens: p.Tokens})
		}
	}
	return out
}

// recordCached notes that an attempt's target now holds the shared parts of its
// prompt, for this daemon and the others.
func (s *stepContext) recordCached(a *attempt) {
	for _, p := range a.segments {
		if s.recordSegment(a.target.Target, p) {
			s.exchange.unsentSegments = append(s.exchange.unsentSegments, msg.CachedSegment{Target: a.target.Target, Segment: p.ID, Tokens: p.Tokens})
		}
	}
}

// recordSegment adds a part to the picture of an engine and reports whether it is
// worth following.
func (s *stepContext) recordSegment(id msg.TargetID, p msg.PromptSegment) bool {
	t := s.targets[id]
	if t == nil || p.Tokens < minSharedTokens {
		return false
	}
	spec := s.engineSpec(t)
	if spec == nil {
		return false
	}
	s.caches.add(id, spec.CacheTokens, p.ID, p.Tokens)
	return true
}

// readCaches asks engines that this process has not seen before what they
// hold. One daemon asks each engine and tells the others.
func (s *stepContext) readCaches() {
	if s.now < cacheReadDelay || s.table == nil {
		return
	}
	for _, list := range s.services {
		for _, t := range list {
			if t.cacheRequested || s.engineSpec(t) == nil {
				continue
			}
			t.cacheRequested = true
			if rendezvous.Rank(string(t.Target), s.self.Host, s.entries) == 0 {
				s.lastCall++
				s.emit(msg.ReadCache{Call: s.lastCall, Target: t.Target, Addr: t.Addr})
			}
		}
	}
}

// onCacheRead takes what an engine lists. Parts of single requests are among
// them; they leave the picture as they leave the engine.
func (s *stepContext) onCacheRead(ev msg.CacheRead) {
	n := 0
	for _, p := range ev.Segments {
		if s.recordSegment(ev.Target, p) {
			n++
			s.exchange.unsentSegments = append(s.exchange.unsentSegments, msg.CachedSegment{Target: ev.Target, Segment: p.ID, Tokens: p.Tokens})
		}
	}
	s.log("engine listed its cache", attr("target", ev.Target), attr("parts", n), attr("status", ev.Status))
}
