package membership

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// fewEntries is the number of entry daemons up to which each keeps a
	// connection to every other one.
	fewEntries = 16
	// targetsPerEntry is the number of target hosts up to which every entry
	// daemon keeps a connection to each. With more, each has about this many.
	targetsPerEntry = 32
	// entriesPerTarget is the least number of entry daemons that keep a
	// connection to a target host.
	entriesPerTarget = 2
	// entriesPerSide is the number of entry daemons that a side daemon keeps
	// a connection to where there are many.
	entriesPerSide = 2
)

// connections returns the effects that bring the connections, and the
// addresses of the other hosts, in line with the host list.
func (p *Component) connections(m msg.MembersChanged) []msg.Effect {
	wanted := make(map[msg.HostID]bool)
	for _, h := range p.wanted(m) {
		wanted[h.Host] = h.Host != p.cfg.Self.Host
	}
	var effs []msg.Effect
	listed := make(map[msg.HostID]bool, len(p.hosts))
	for _, h := range p.hosts {
		listed[h.Host] = true
		if h.Host != p.cfg.Self.Host {
			effs = append(effs, p.reach(h, wanted[h.Host])...)
		}
	}
	for _, h := range sortedKeys(p.addrs) {
		if !listed[h] {
			delete(p.addrs, h)
			effs = append(effs, p.drop(h)...)
		}
	}
	return effs
}

// reach returns the effects that make a host reachable, by a connection that
// is kept or on demand.
func (p *Component) reach(h msg.Host, keep bool) []msg.Effect {
	var effs []msg.Effect
	if !keep {
		effs = p.drop(h.Host)
	}
	moved := p.addrs[h.Host] != h.Addr
	p.addrs[h.Host] = h.Addr
	switch {
	case keep && (moved || !p.connect[h.Host]):
		p.connect[h.Host] = true
		effs = append(effs, msg.Connect{Host: h.Host, Addr: h.Addr, Kind: h.Kind})
	case !keep && moved:
		effs = append(effs, msg.SetHostAddr{Host: h.Host, Addr: h.Addr, Kind: h.Kind})
	}
	return effs
}

func (p *Component) drop(h msg.HostID) []msg.Effect {
	if !p.connect[h] {
		return nil
	}
	delete(p.connect, h)
	return []msg.Effect{msg.Disconnect{Host: h}}
}

// wanted returns the hosts to keep connections to. Others are connected to on
// demand.
func (p *Component) wanted(m msg.MembersChanged) []msg.Host {
	if p.cfg.Self.Kind == msg.HostTarget {
		if len(m.Entries) <= fewEntries {
			return m.Entries
		}
		return rendezvous.Order("side/"+string(p.cfg.Self.Host), m.Entries)[:entriesPerSide]
	}
	entries := m.Entries
	if len(entries) > fewEntries {
		entries = exchange.Neighbors(p.cfg.Self, m.Entries)
	}
	return append(slices.Clone(entries), p.targets(m)...)
}

// targets returns the target hosts to keep connections to: all where they are
// few, else those to which this daemon is assigned.
func (p *Component) targets(m msg.MembersChanged) []msg.Host {
	if len(m.Targets) <= targetsPerEntry || len(m.Entries) == 0 {
		return m.Targets
	}
	share := (targetsPerEntry*len(m.Entries) + len(m.Targets) - 1) / len(m.Targets)
	share = max(share, entriesPerTarget)
	var out []msg.Host
	for _, t := range m.Targets {
		if rendezvous.Rank("target/"+string(t.Host), p.cfg.Self.Host, m.Entries) < share {
			out = append(out, t)
		}
	}
	return out
}

func sortedKeys(m map[msg.HostID]string) []msg.HostID { return slices.Sorted(maps.Keys(m)) }
