package directrequest

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
	"github.com/verbenaspur/verbenaspur/internal/core/segmentcache"
)

const (
	// minShared is the size in tokens from which a shared part is followed:
	// a shorter one is read again in less than it costs to look for it.
	minShared = 100
	// cacheFill is the part of an engine's memory that is taken to hold
	// shared parts; running requests and prompts of their own need the rest.
	cacheFill = 0.75
)

// caches is this daemon's picture of the prompt parts that engines hold, from
// what it sent, what the other daemons tell and what engines list. The picture
// of an engine drops the least recently used parts as the engine does.
type caches struct {
	engines map[msg.TargetID]*segmentcache.Cache
	holders map[uint64]map[msg.TargetID]bool
}

func newCaches() *caches {
	return &caches{engines: make(map[msg.TargetID]*segmentcache.Cache), holders: make(map[uint64]map[msg.TargetID]bool)}
}

// add notes that an engine with the given memory holds a part.
func (c *caches) add(id msg.TargetID, capacity int, part uint64, tokens int) {
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
	for e.Tokens() > int(cacheFill*float64(capacity)) && e.Len() > 1 {
		c.dropOldest(id, e)
	}
}

func (c *caches) dropOldest(id msg.TargetID, e *segmentcache.Cache) {
	old := e.RemoveOldest()
	delete(c.holders[old.ID], id)
	if len(c.holders[old.ID]) == 0 {
		delete(c.holders, old.ID)
	}
}

// forget drops all that an engine held.
func (c *caches) forget(id msg.TargetID) {
	e := c.engines[id]
	if e == nil {
		return
	}
	for e.Len() > 0 {
		c.dropOldest(id, e)
	}
	delete(c.engines, id)
}

// held returns the length in tokens of the longest prefix of a prompt's shared
// parts that an engine holds: a part counts only with all parts before it.
func (c *caches) held(id msg.TargetID, parts []msg.PromptSegment) int {
	e := c.engines[id]
	if e == nil {
		return 0
	}
	_, tokens := e.Prefix(parts)
	return tokens
}

// all lists the picture, by engine and least recently used part first.
func (c *caches) all() []msg.CachedSegment {
	var out []msg.CachedSegment
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		for p := range c.engines[id].OldestFirst() {
			out = append(out, msg.CachedSegment{Target: id, Segment: p.ID, Tokens: p.Tokens})
		}
	}
	return out
}

// cached notes that an attempt's target now holds the shared parts of its
// prompt, for this daemon and the others.
func (s *step) cached(a *attempt) {
	for _, p := range a.parts {
		if s.learnPart(a.target.Target, p) {
			s.share.cached = append(s.share.cached, msg.CachedSegment{Target: a.target.Target, Segment: p.ID, Tokens: p.Tokens})
		}
	}
}

// learnPart adds a part to the picture of an engine and reports whether it is
// worth following.
func (s *step) learnPart(id msg.TargetID, p msg.PromptSegment) bool {
	t := s.targets[id]
	if t == nil || p.Tokens < minShared {
		return false
	}
	spec := s.engine(t)
	if spec == nil {
		return false
	}
	s.caches.add(id, spec.CacheTokens, p.ID, p.Tokens)
	return true
}

// listCaches asks engines that this process has not seen before what they
// hold. One daemon asks each engine and tells the others.
func (s *step) listCaches() {
	if s.now < listAfter || s.table == nil {
		return
	}
	for _, list := range s.services {
		for _, t := range list {
			if t.listed || s.engine(t) == nil {
				continue
			}
			t.listed = true
			if rendezvous.Rank(string(t.Target), s.self.Host, s.entries) == 0 {
				s.lastCall++
				s.emit(msg.ReadCache{Call: s.lastCall, Target: t.Target, Addr: t.Addr})
			}
		}
	}
}

// onCacheRead takes what an engine lists. Parts of single requests are among
// them; they leave the picture as they leave the engine.
func (s *step) onCacheRead(ev msg.CacheRead) {
	n := 0
	for _, p := range ev.Segments {
		if s.learnPart(ev.Target, p) {
			n++
			s.share.cached = append(s.share.cached, msg.CachedSegment{Target: ev.Target, Segment: p.ID, Tokens: p.Tokens})
		}
	}
	s.log("engine listed its cache", attr("target", ev.Target), attr("parts", n), attr("status", ev.Status))
}
