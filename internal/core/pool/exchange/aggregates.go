package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxEntries is the largest number of entries of a section in a message. The
// entries with the largest first value are kept, since those matter most for
// fairness and demand.
const maxEntries = 32

// contribution is an aggregate over some daemons that another daemon sent. at
// is when it arrived or, if it came in a reply, when the poll was sent.
type contribution struct {
	aggregates []msg.SectionAggregate
	at         msg.Time
}

// fresh reports whether the contribution has not expired.
func (c contribution) fresh(now msg.Time) bool { return now-c.at < aggregateLifetime }

// ageMillis converts an age to milliseconds. It rounds up, so that state never
// looks younger than it is.
func ageMillis(d time.Duration) uint32 {
	return uint32((max(d, 0) + time.Millisecond - 1) / time.Millisecond)
}

// aggregator combines contributions by section.
type aggregator struct {
	sections map[msg.Section]*sectionAggregator
}

type sectionAggregator struct {
	values map[string][]float32
	hosts  int
	age    uint32
}

func newAggregator() *aggregator {
	return &aggregator{sections: make(map[msg.Section]*sectionAggregator)}
}

func (a *aggregator) section(s msg.Section) *sectionAggregator {
	st, ok := a.sections[s]
	if !ok {
		st = &sectionAggregator{values: make(map[string][]float32)}
		a.sections[s] = st
	}
	return st
}

// add adds a contribution. The time since the contribution's at is added to
// its age.
func (a *aggregator) add(now msg.Time, c contribution) {
	here := ageMillis(now - c.at)
	for _, agg := range c.aggregates {
		st := a.section(agg.Section)
		st.hosts += agg.Hosts
		st.age = max(st.age, agg.AgeMS+here)
		st.combine(agg.Section, agg.Entries)
	}
}

func (st *sectionAggregator) combine(s msg.Section, entries []msg.SectionEntry) {
	for _, e := range entries {
		values := st.values[e.Key]
		for len(values) < len(e.Values) {
			values = append(values, 0)
		}
		for i, v := range e.Values {
			if s == msg.SectionCrashes {
				values[i] = max(values[i], v)
			} else {
				values[i] += v
			}
		}
		st.values[e.Key] = values
	}
}

// aggregates returns the sections in order, each reduced to its largest
// entries.
func (a *aggregator) aggregates() []msg.SectionAggregate {
	out := make([]msg.SectionAggregate, 0, len(a.sections))
	for _, s := range slices.Sorted(maps.Keys(a.sections)) {
		st := a.sections[s]
		out = append(out, msg.SectionAggregate{Section: s, Entries: st.largest(), Hosts: st.hosts, AgeMS: st.age})
	}
	return out
}

func (st *sectionAggregator) largest() []msg.SectionEntry {
	out := make([]msg.SectionEntry, 0, len(st.values))
	for _, k := range slices.Sorted(maps.Keys(st.values)) {
		out = append(out, msg.SectionEntry{Key: k, Values: st.values[k]})
	}
	if len(out) <= maxEntries {
		return out
	}
	slices.SortStableFunc(out, func(a, b msg.SectionEntry) int { return cmp.Compare(firstValue(b), firstValue(a)) })
	return out[:maxEntries]
}

func firstValue(e msg.SectionEntry) float32 {
	if len(e.Values) == 0 {
		return 0
	}
	return e.Values[0]
}

// addOwn adds this daemon's own state.
func (c *Component) addOwn(a *aggregator) {
	for s, v := range c.own {
		st := a.section(s)
		st.hosts++
		st.combine(s, v.Entries)
	}
}

// addSubtrees adds the aggregates of the subtrees below this daemon, except
// that of one child.
func (c *Component) addSubtrees(now msg.Time, a *aggregator, except msg.HostID) {
	for _, h := range slices.Sorted(maps.Keys(c.subtrees)) {
		if h != except && c.subtrees[h].fresh(now) {
			a.add(now, c.subtrees[h])
		}
	}
}

func (c *Component) addFromAbove(now msg.Time, a *aggregator) {
	for _, h := range slices.Sorted(maps.Keys(c.fromAbove)) {
		if c.fromAbove[h].fresh(now) {
			a.add(now, c.fromAbove[h])
		}
	}
}

// subtreeAggregates returns the aggregates of this daemon and all daemons below
// it.
func (c *Component) subtreeAggregates(now msg.Time) []msg.SectionAggregate {
	a := newAggregator()
	c.addOwn(a)
	c.addSubtrees(now, a, "")
	return a.aggregates()
}

// aggregatesForChild returns the aggregates of all daemons that are not in a
// child's subtree.
func (c *Component) aggregatesForChild(now msg.Time, child msg.HostID) []msg.SectionAggregate {
	a := newAggregator()
	c.addOwn(a)
	c.addSubtrees(now, a, child)
	c.addFromAbove(now, a)
	return a.aggregates()
}

// raiseAggregates raises the aggregates of all other daemons. A section without
// contributions is raised once more, empty, after its last contribution has
// expired.
func (c *Component) raiseAggregates(now msg.Time) []msg.Effect {
	a := newAggregator()
	c.addSubtrees(now, a, "")
	c.addFromAbove(now, a)
	for s := range c.raised {
		a.section(s)
	}
	clear(c.raised)
	var effs []msg.Effect
	for _, s := range a.aggregates() {
		if s.Hosts > 0 {
			c.raised[s.Section] = true
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
