package exchange

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// fanOut is the largest number of children of one daemon.
	fanOut = 4
	// rootsPerDomain is the number of roots in each failure domain.
	rootsPerDomain = 2
)

// Roots returns the roots of the exchange, which are the entry daemons on
// which the others may rely. They are two of each failure domain, or one fewer
// in total if that number is even. All daemons with the same host list compute
// the same roots.
func Roots(entries []msg.Host) []msg.Host {
	domains := make(map[msg.FailureDomain]bool)
	for _, h := range entries {
		domains[h.Domain] = true
	}
	n := min(rootsPerDomain*len(domains), len(entries))
	if n%2 == 0 && n > 0 {
		n--
	}
	return rendezvous.Spread("roots", entries, n)
}

// tree is this daemon's position in the exchange. All entry daemons form one
// list that starts with the roots. The groups of children follow in the order
// of their parents.
type tree struct {
	entries map[msg.HostID]bool
	roots   []msg.Host
	isRoot  bool
	self    msg.HostID
	// parents lists the daemons that this one may poll in order of preference:
	// its ancestors and then the other roots. A side daemon may poll any entry
	// daemon.
	parents []msg.Host
	// children are the daemons that poll this one in normal operation.
	children []msg.Host
}

// Neighbors returns the entry daemons that an entry daemon polls, or by which
// it is polled, in normal operation.
func Neighbors(self msg.Self, entries []msg.Host) []msg.Host {
	t := newTree(self, entries)
	if t.isRoot {
		return append(slices.Clone(t.roots), t.children...)
	}
	return append(slices.Clone(t.parents[:min(1, len(t.parents))]), t.children...)
}

func newTree(self msg.Self, entries []msg.Host) tree {
	t := tree{self: self.Host, entries: make(map[msg.HostID]bool, len(entries)), roots: Roots(entries)}
	isRoot := make(map[msg.HostID]bool, len(t.roots))
	for _, h := range t.roots {
		isRoot[h.Host] = true
	}
	for _, h := range entries {
		t.entries[h.Host] = true
	}
	t.isRoot = isRoot[self.Host]
	if self.Kind == msg.HostTarget {
		t.parents = rendezvous.Order("side/"+string(self.Host), entries)
		return t
	}
	list := slices.Clone(t.roots)
	for _, h := range rendezvous.Order("tree", entries) {
		if !isRoot[h.Host] {
			list = append(list, h)
		}
	}
	at := slices.IndexFunc(list, func(h msg.Host) bool { return h.Host == self.Host })
	t.parents = ancestors(list, len(t.roots), at)
	if at >= 0 {
		first := min(len(t.roots)+at*fanOut, len(list))
		t.children = list[first:min(first+fanOut, len(list))]
	}
	return t
}

// ancestors returns the ancestors of the daemon at a position of the list,
// followed by the other roots. For a daemon that is not listed, it returns only
// the roots.
func ancestors(list []msg.Host, roots, at int) []msg.Host {
	var out []msg.Host
	for at >= roots {
		at = (at - roots) / fanOut
		out = append(out, list[at])
	}
	for i := range roots {
		if at < 0 || i != at {
			out = append(out, list[i])
		}
	}
	return out
}

func (t *tree) hasEntry(h msg.HostID) bool { return t.entries[h] }

func (t *tree) otherRoots() []msg.HostID {
	out := make([]msg.HostID, 0, len(t.roots))
	for _, h := range t.roots {
		if h.Host != t.self {
			out = append(out, h.Host)
		}
	}
	return out
}
