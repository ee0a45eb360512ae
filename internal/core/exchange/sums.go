package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxEntries bounds the entries of one section in a message. The largest by
// their first value are kept: those that matter for fairness and demand.
const maxEntries = 32

// contribution is the combined state of some daemons as it arrived.
type contribution struct {
	sums []msg.SectionAggregate
	at   msg.Time
}

// fresh reports whether the contribution still counts.
func (c contribution) fresh(now msg.Time) bool { return now-c.at < sumLifetime }

// ageMS rounds an age up, so that nothing ever looks younger than it is.
func ageMS(d time.Duration) uint32 {
	return uint32((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// total combines contributions section by section.
type total struct{ sections map[msg.Section]*sectionTotal }

type sectionTotal struct {
	values map[string][]float32
	hosts  int
	age    uint32
}

func newTotal() *total { return &total{sections: make(map[msg.Section]*sectionTotal)} }

func (t *total) section(s msg.Section) *sectionTotal {
	st, ok := t.sections[s]
	if !ok {
		st = &sectionTotal{values: make(map[string][]float32)}
		t.sections[s] = st
	}
	return st
}

// add combines a contribution that has been here since it arrived.
func (t *total) add(now msg.Time, c contribution) {
	here := ageMS(now - c.at)
	for _, sum := range c.sums {
		st := t.section(sum.Section)
		st.hosts += sum.Hosts
		st.age = max(st.age, sum.AgeMS+here)
		st.combine(sum.Section, sum.Entries)
	}
}

func (st *sectionTotal) combine(s msg.Section, entries []msg.SectionEntry) {
	for _, e := range entries {
		have := st.values[e.Key]
		for len(have) < len(e.Values) {
			have = append(have, 0)
		}
		for i, v := range e.Values {
			if s == msg.SectionCrashes {
				have[i] = max(have[i], v)
			} else {
				have[i] += v
			}
		}
		st.values[e.Key] = have
	}
}

// sums returns the sections in order, each cut to its largest entries.
func (t *total) sums() []msg.SectionAggregate {
	out := make([]msg.SectionAggregate, 0, len(t.sections))
	for _, s := range slices.Sorted(maps.Keys(t.sections)) {
		st := t.sections[s]
		out = append(out, msg.SectionAggregate{Section: s, Entries: st.largest(), Hosts: st.hosts, AgeMS: st.age})
	}
	return out
}

func (st *sectionTotal) largest() []msg.SectionEntry {
	out := make([]msg.SectionEntry, 0, len(st.values))
	for _, k := range slices.Sorted(maps.Keys(st.values)) {
		out = append(out, msg.SectionEntry{Key: k, Values: st.values[k]})
	}
	if len(out) <= maxEntries {
		return out
	}
	slices.SortStableFunc(out, func(a, b msg.SectionEntry) int { return cmp.Compare(first(b), first(a)) })
	return out[:maxEntries]
}

func first(e msg.SectionEntry) float32 {
	if len(e.Values) == 0 {
		return 0
	}
	return e.Values[0]
}

// addOwn adds this daemon's own state.
func (p *Component) addOwn(t *total) {
	for s, v := range p.own {
		st := t.section(s)
		st.hosts++
		st.combine(s, v.Entries)
	}
}

// addBelow adds the state of the daemons below, one of them excepted.
func (p *Component) addBelow(now msg.Time, t *total, except msg.HostID) {
	for _, h := range slices.Sorted(maps.Keys(p.below)) {
		if h != except && p.below[h].fresh(now) {
			t.add(now, p.below[h])
		}
	}
}

func (p *Component) addBeyond(now msg.Time, t *total) {
	for _, h := range slices.Sorted(maps.Keys(p.beyond)) {
		if p.beyond[h].fresh(now) {
			t.add(now, p.beyond[h])
		}
	}
}

// sumsBelow combines the state of this daemon and those below it.
func (p *Component) sumsBelow(now msg.Time) []msg.SectionAggregate {
	t := newTotal()
	p.addOwn(t)
	p.addBelow(now, t, "")
	return t.sums()
}

// sumsFor combines the state of all daemons that are not below a child.
func (p *Component) sumsFor(now msg.Time, child msg.HostID) []msg.SectionAggregate {
	t := newTotal()
	p.addOwn(t)
	p.addBelow(now, t, child)
	p.addBeyond(now, t)
	return t.sums()
}

// shared raises the combined state of all other daemons. A section to which
// nobody contributes any more is raised once more, empty.
func (p *Component) shared(now msg.Time) []msg.Effect {
	t := newTotal()
	p.addBelow(now, t, "")
	p.addBeyond(now, t)
	for s := range p.told {
		t.section(s)
	}
	clear(p.told)
	var effs []msg.Effect
	for _, s := range t.sums() {
		if s.Hosts > 0 {
			p.told[s.Section] = true
		}
		effs = append(effs, msg.Raise{Event: msg.AggregateReceived{
			Section: s.Section,
			Value:   msg.SectionValue{Entries: s.Entries},
			Age:     time.Duration(s.AgeMS) * time.Millisecond,
			Hosts:   s.Hosts,
		}})
	}
	return effs
}
