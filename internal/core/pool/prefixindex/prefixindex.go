// Package prefixindex estimates which prompt prefixes the engines hold in their
// prefix caches.
//
// A prefix is a number of whole cache blocks at the start of a prompt. It is
// identified by the hash of its last block, which covers all its blocks. (On the
// direct path, package direct/request tracks the segments of prompts instead,
// which callers declare.)
//
// The index is updated from the engines' cache events, which arrive late and
// with gaps, and from the prompts that this entry daemon sends. It holds a
// bounded number of prefixes and drops those that have not been used for the
// longest time.
package prefixindex

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// DefaultLimit is the default number of prefixes that an index holds.
	DefaultLimit = 100_000
	// maxHolders is the largest number of engines that are recorded for one
	// prefix.
	maxHolders = 16
	// trustWeight is the weight of one observation in an engine's trust, which
	// is an exponentially weighted average.
	trustWeight = 0.1
	// minTrust is the lower bound of trust. It is above zero so that engines
	// that held less than expected are still chosen and observed.
	minTrust = 0.2
)

// Index estimates the contents of prefix caches. It keeps the prefixes in two
// maps, recent and older. When recent is full, it becomes the new older map, and
// the entries of the previous one are dropped.
type Index struct {
	limit   int
	recent  map[msg.BlockHash][]holder
	older   map[msg.BlockHash][]holder
	engines map[msg.TargetID]*Engine
}

// Engine is the state that the index keeps of one engine. It stays valid until
// the engine is removed.
type Engine struct {
	id msg.TargetID
	// generation distinguishes caches of the same engine: each restart begins a
	// new one.
	generation uint32
	// seq is the number of the last event, and gaps counts the gaps in these
	// numbers.
	seq   uint64
	trust float64
	gaps  uint64
}

// Trust returns the average ratio of the cache blocks that the engine held to
// those that it was expected to hold. It is between minTrust and 1, the best.
func (e *Engine) Trust() float64 { return e.trust }

// holder is an engine that held a prefix in the given generation of its cache.
type holder struct {
	engine     *Engine
	generation uint32
}

// current reports whether the engine's cache is still of that generation.
func (h holder) current() bool { return h.engine.generation == h.generation }

// Hit is an engine that is expected to hold a prefix of a prompt.
type Hit struct {
	Target msg.TargetID
	// Blocks is the number of cache blocks of the prompt that the engine is
	// expected to hold.
	Blocks int
	// Trust is the engine's [Engine.Trust], by which the expectation is
	// weighted.
	Trust float64
}

// New returns an empty index of at most limit prefixes, or of [DefaultLimit] if
// limit is not positive.
func New(limit int) *Index {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Index{
		limit:   limit,
		recent:  make(map[msg.BlockHash][]holder),
		engines: make(map[msg.TargetID]*Engine),
	}
}

// Len returns the number of prefixes in the index.
func (x *Index) Len() int { return len(x.recent) + len(x.older) }

// Apply applies a batch of cache events. Events that arrive again or out of
// order are ignored. Gaps are only counted, because RecordHits later corrects
// their effect.
func (x *Index) Apply(ev msg.CacheReported) {
	e := x.engine(ev.Target)
	for i := range ev.Events {
		x.apply(e, &ev.Events[i])
	}
}

func (x *Index) apply(e *Engine, ev *msg.CacheEvent) {
	if ev.Seq <= e.seq {
		return
	}
	if ev.Seq > e.seq+1 {
		e.gaps++
	}
	e.seq = ev.Seq
	for _, block := range ev.Blocks {
		if ev.Removed {
			x.removeHolder(e, block)
			continue
		}
		x.addHolder(e, block)
	}
}

// RecordSent records that a prompt was sent to an engine, which will hold the
// prompt's prefixes before its cache events report them.
func (x *Index) RecordSent(id msg.TargetID, prefix []msg.BlockHash) {
	e := x.engine(id)
	for _, block := range prefix {
		x.addHolder(e, block)
	}
}

// RecordHits updates an engine's trust from the number of cache blocks that it
// was expected to hold and the number that it held.
func (x *Index) RecordHits(id msg.TargetID, expected, held int) {
	if expected <= 0 {
		return
	}
	e := x.engine(id)
	ratio := min(float64(held)/float64(expected), 1)
	e.trust = max(minTrust, e.trust+trustWeight*(ratio-e.trust))
}

// ResetEngine discards the cache contents of an engine that was restarted or
// can't be reached.
func (x *Index) ResetEngine(id msg.TargetID) {
	e := x.engines[id]
	if e == nil {
		return
	}
	e.generation++
	e.seq = 0
	e.trust = 1
}

// RemoveEngine removes an engine that will not return.
func (x *Index) RemoveEngine(id msg.TargetID) {
	x.ResetEngine(id)
	delete(x.engines, id)
}

// Lookup appends to dst the engines that hold a part of the prefix, those with
// the longest part first. An engine that holds a longer prefix is assumed to
// hold the shorter ones too, even if an event about them was lost.
func (x *Index) Lookup(dst []Hit, prefix []msg.BlockHash) []Hit {
	for i := len(prefix) - 1; i >= 0; i-- {
		for _, h := range x.useHolders(prefix[i]) {
			if !h.current() || contains(dst, h.engine.id) {
				continue
			}
			dst = append(dst, Hit{Target: h.engine.id, Blocks: i + 1, Trust: h.engine.trust})
		}
	}
	return dst
}

func contains(hits []Hit, id msg.TargetID) bool {
	for i := range hits {
		if hits[i].Target == id {
			return true
		}
	}
	return false
}

func (x *Index) engine(id msg.TargetID) *Engine {
	e := x.engines[id]
	if e == nil {
		e = &Engine{id: id, trust: 1}
		x.engines[id] = e
	}
	return e
}

// useHolders returns the engines that may hold a prefix, and marks the prefix as
// used by moving it to the recent map. Some of the holders may not be current.
func (x *Index) useHolders(block msg.BlockHash) []holder {
	if hs, ok := x.recent[block]; ok {
		return hs
	}
	hs, ok := x.older[block]
	if ok {
		delete(x.older, block)
		x.putRecent(block, hs)
	}
	return hs
}

func (x *Index) putRecent(block msg.BlockHash, hs []holder) {
	if _, known := x.recent[block]; !known && len(x.recent) >= x.limit/2 {
		x.older = x.recent
		x.recent = make(map[msg.BlockHash][]holder)
	}
	x.recent[block] = hs
}

func (x *Index) addHolder(e *Engine, block msg.BlockHash) {
	hs := x.useHolders(block)
	for i := range hs {
		if hs[i].engine == e {
			hs[i].generation = e.generation
			return
		}
	}
	hs = slices.DeleteFunc(hs, func(h holder) bool { return !h.current() })
	if len(hs) >= maxHolders {
		hs = slices.Delete(hs, 0, 1)
	}
	x.putRecent(block, append(hs, holder{engine: e, generation: e.generation}))
}

func (x *Index) removeHolder(e *Engine, block msg.BlockHash) {
	hs := x.useHolders(block)
	hs = slices.DeleteFunc(hs, func(h holder) bool { return h.engine == e || !h.current() })
	if len(hs) > 0 {
		x.recent[block] = hs
		return
	}
	delete(x.recent, block)
	delete(x.older, block)
}
