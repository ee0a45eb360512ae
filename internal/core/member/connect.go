package member

import (
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

// connections returns the effects that bring the connections in line with
// the host list.
func (p *Part) connections(m msg.MembersChanged) []msg.Effect {
	var effs []msg.Effect
	wanted := make(map[msg.HostID]bool)
	for _, h := range p.wanted(m) {
		if h.Host == p.cfg.Self.Host {
			continue
		}
		wanted[h.Host] = true
		c := msg.Connect{Host: h.Host, Addr: h.Addr, Kind: h.Kind}
		if p.connect[h.Host] != c {
			p.connect[h.Host] = c
			effs = append(effs, c)
		}
	}
	return append(effs, p.dropOthers(wanted)...)
}

// wanted returns the hosts to keep connections to. Others are connected to on
// demand.
func (p *Part) wanted(m msg.MembersChanged) []msg.Host {
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
func (p *Part) targets(m msg.MembersChanged) []msg.Host {
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

func (p *Part) dropOthers(wanted map[msg.HostID]bool) []msg.Effect {
	var gone []msg.HostID
	for h := range p.connect {
		if !wanted[h] {
			gone = append(gone, h)
		}
	}
	slices.Sort(gone)
	effs := make([]msg.Effect, 0, len(gone))
	for _, h := range gone {
		delete(p.connect, h)
		effs = append(effs, msg.Disconnect{Host: h})
	}
	return effs
}
