package direct

import (
	"cmp"
	"container/list"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
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
	engines map[msg.TargetID]*engineCache
	holders map[uint64]map[msg.TargetID]bool
}

type engineCache struct {
	entries map[uint64]*list.Element
	order   *list.List // of cacheEntry, most recently used first
	tokens  int
}

type cacheEntry struct {
	part   uint64
	tokens int
}

func newCaches() *caches {
	return &caches{engines: make(map[msg.TargetID]*engineCache), holders: make(map[uint64]map[msg.TargetID]bool)}
}

// add notes that an engine with the given memory holds a part.
func (c *caches) add(id msg.TargetID, capacity int, part uint64, tokens int) {
	e := c.engines[id]
	if e == nil {
		e = &engineCache{entries: make(map[uint64]*list.Element), order: list.New()}
		c.engines[id] = e
	}
	if el := e.entries[part]; el != nil {
		e.order.MoveToFront(el)
		return
	}
	e.entries[part] = e.order.PushFront(cacheEntry{part, tokens})
	e.tokens += tokens
	if c.holders[part] == nil {
		c.holders[part] = make(map[msg.TargetID]bool)
	}
	c.holders[part][id] = true
	for e.tokens > int(cacheFill*float64(capacity)) && e.order.Len() > 1 {
		c.drop(id, e, e.order.Back())
	}
}

func (c *caches) drop(id msg.TargetID, e *engineCache, el *list.Element) {
	old, _ := e.order.Remove(el).(cacheEntry)
	delete(e.entries, old.part)
	e.tokens -= old.tokens
	delete(c.holders[old.part], id)
	if len(c.holders[old.part]) == 0 {
		delete(c.holders, old.part)
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

// held returns the length in tokens of the longest prefix of a prompt's shared
// parts that an engine holds: a part counts only with all parts before it.
func (c *caches) held(id msg.TargetID, parts []msg.PromptPart) int {
	e := c.engines[id]
	if e == nil {
		return 0
	}
	tokens := 0
	for _, p := range parts {
		if e.entries[p.ID] == nil {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// all lists the picture, by engine and most recently used part first.
func (c *caches) all() []msg.CachedPart {
	ids := make([]msg.TargetID, 0, len(c.engines))
	for id := range c.engines {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b msg.TargetID) int { return cmp.Compare(a, b) })
	var out []msg.CachedPart
	for _, id := range ids {
		for el := c.engines[id].order.Back(); el != nil; el = el.Prev() {
			e, _ := el.Value.(cacheEntry)
			out = append(out, msg.CachedPart{Target: id, Part: e.part, Tokens: e.tokens})
		}
	}
	return out
}

// cached notes that an attempt's target now holds the shared parts of its
// prompt, for this daemon and the others.
func (s *step) cached(a *attempt) {
	for _, p := range a.parts {
		if s.learnPart(a.target.Target, p) {
			s.share.cached = append(s.share.cached, msg.CachedPart{Target: a.target.Target, Part: p.ID, Tokens: p.Tokens})
		}
	}
}

// learnPart adds a part to the picture of an engine and reports whether it is
// worth following.
func (s *step) learnPart(id msg.TargetID, p msg.PromptPart) bool {
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
	for _, p := range ev.Parts {
		if s.learnPart(ev.Target, p) {
			n++
			s.share.cached = append(s.share.cached, msg.CachedPart{Target: ev.Target, Part: p.ID, Tokens: p.Tokens})
		}
	}
	s.log("engine listed its cache", attr("target", ev.Target), attr("parts", n), attr("status", ev.Status))
}
