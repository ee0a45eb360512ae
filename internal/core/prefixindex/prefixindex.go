// Package prefixindex estimates which prompt prefixes the engines hold in their
// prefix caches.
//
// The map is fed by the engines' cache events, which come late and with gaps,
// and by the prompts that this entry sends. It holds a bounded number of
// prefixes and forgets those that were not used for longest.
package prefixindex

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// DefaultLimit is the default number of prefixes that a map holds.
	DefaultLimit = 100_000
	// maxHolders bounds the engines remembered for one prefix.
	maxHolders = 16
	// trustWeight is the weight of one observation in an engine's trust.
	trustWeight = 0.1
	// minTrust keeps an engine with wrong expectations observable.
	minTrust = 0.2
)

// Index estimates the contents of prefix caches. It keeps two generations of
// prefixes: when the younger one is full, the older one is forgotten.
type Index struct {
	limit   int
	young   map[msg.BlockHash][]holder
	old     map[msg.BlockHash][]holder
	engines map[msg.TargetID]*Engine
}

// Engine is what the map knows of one engine. It stays valid until the engine
// is forgotten.
type Engine struct {
	id msg.TargetID
	// life distinguishes caches of the same engine: each restart begins a
	// new one.
	life  uint32
	seq   uint64
	trust float64
	gaps  uint64
}

// Trust is the ratio of observed to expected hits, 1 at best.
func (e *Engine) Trust() float64 { return e.trust }

type holder struct {
	engine *Engine
	life   uint32
}

func (h holder) valid() bool { return h.engine.life == h.life }

// Hit is an engine that is expected to hold a prefix of a prompt.
type Hit struct {
	Target msg.TargetID
	// Pieces is the number of pieces held.
	Pieces int
	// Trust weighs the expectation.
	Trust float64
}

// New returns an empty map of at most limit prefixes.
func New(limit int) *Index {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Index{
		limit:   limit,
		young:   make(map[msg.BlockHash][]holder),
		engines: make(map[msg.TargetID]*Engine),
	}
}

// Len returns the number of prefixes held.
func (m *Index) Len() int { return len(m.young) + len(m.old) }

// Apply takes a batch of cache events. Events that come again or crossed are
// ignored; gaps are only counted, since observed hits repair their effect.
func (m *Index) Apply(ev msg.CacheReported) {
	e := m.engine(ev.Target)
	for i := range ev.Events {
		m.apply(e, &ev.Events[i])
	}
}

func (m *Index) apply(e *Engine, ev *msg.CacheEvent) {
	if ev.Seq <= e.seq {
		return
	}
	if ev.Seq > e.seq+1 {
		e.gaps++
	}
	e.seq = ev.Seq
	for _, p := range ev.Blocks {
		if ev.Removed {
			m.remove(e, p)
			continue
		}
		m.add(e, p)
	}
}

// RecordSent takes note that a prompt was sent to an engine, which will hold its
// prefix before its events tell so.
func (m *Index) RecordSent(id msg.TargetID, prefix []msg.BlockHash) {
	e := m.engine(id)
	for _, p := range prefix {
		m.add(e, p)
	}
}

// RecordHits compares the number of pieces that an engine was expected to hold
// with those that it did hold.
func (m *Index) RecordHits(id msg.TargetID, expected, held int) {
	if expected <= 0 {
		return
	}
	e := m.engine(id)
	ratio := min(float64(held)/float64(expected), 1)
	e.trust = max(minTrust, e.trust+trustWeight*(ratio-e.trust))
}

// ResetEngine drops what an engine held, because it restarted or is gone.
func (m *Index) ResetEngine(id msg.TargetID) {
	e := m.engines[id]
	if e == nil {
		return
	}
	e.life++
	e.seq = 0
	e.trust = 1
}

// RemoveEngine forgets an engine for good.
func (m *Index) RemoveEngine(id msg.TargetID) {
	m.ResetEngine(id)
	delete(m.engines, id)
}

// Lookup appends to dst the engines that hold a part of the prefix, the
// longest first. An engine that holds a longer prefix is taken to hold the
// shorter ones, also where an event about them was lost.
func (m *Index) Lookup(dst []Hit, prefix []msg.BlockHash) []Hit {
	for i := len(prefix) - 1; i >= 0; i-- {
		for _, h := range m.holders(prefix[i]) {
			if !h.valid() || contains(dst, h.engine.id) {
				continue
			}
			dst = append(dst, Hit{Target: h.engine.id, Pieces: i + 1, Trust: h.engine.trust})
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

func (m *Index) engine(id msg.TargetID) *Engine {
	e := m.engines[id]
	if e == nil {
		e = &Engine{id: id, trust: 1}
		m.engines[id] = e
	}
	return e
}

// holders returns the engines that hold a prefix and keeps it young.
func (m *Index) holders(p msg.BlockHash) []holder {
	if hs, ok := m.young[p]; ok {
		return hs
	}
	hs, ok := m.old[p]
	if ok {
		delete(m.old, p)
		m.put(p, hs)
	}
	return hs
}

func (m *Index) put(p msg.BlockHash, hs []holder) {
	if len(m.young) >= m.limit/2 {
		m.old = m.young
		m.young = make(map[msg.BlockHash][]holder)
	}
	m.young[p] = hs
}

func (m *Index) add(e *Engine, p msg.BlockHash) {
	hs := m.holders(p)
	for i := range hs {
		if hs[i].engine == e {
			hs[i].life = e.life
			return
		}
	}
	hs = slices.DeleteFunc(hs, func(h holder) bool { return !h.valid() })
	if len(hs) >= maxHolders {
		hs = slices.Delete(hs, 0, 1)
	}
	m.put(p, append(hs, holder{engine: e, life: e.life}))
}

func (m *Index) remove(e *Engine, p msg.BlockHash) {
	hs := m.holders(p)
	hs = slices.DeleteFunc(hs, func(h holder) bool { return h.engine == e || !h.valid() })
	if len(hs) > 0 {
		m.young[p] = hs
		return
	}
	delete(m.young, p)
	delete(m.old, p)
}
