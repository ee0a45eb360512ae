package membership

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// maxFullMesh is the number of entry daemons up to which each keeps a
	// connection to every other one.
	maxFullMesh = 16
	// maxTargetsPerEntry is the number of target hosts up to which every entry
	// daemon keeps a connection to each. If there are more, each entry daemon
	// has connections to about this many.
	maxTargetsPerEntry = 32
	// minEntriesPerTarget is the least number of entry daemons that keep a
	// connection to a target host.
	minEntriesPerTarget = 2
	// entriesPerSideDaemon is the number of entry daemons to which a side
	// daemon keeps a connection if there are more than maxFullMesh.
	entriesPerSideDaemon = 2
)

// connections returns the effects that update the connections, and the
// addresses of the other hosts, to match the host list.
func (c *Component) connections(m msg.MembersChanged) []msg.Effect {
	wanted := make(map[msg.HostID]bool)
	for _, h := range c.connectionHosts(m) {
		wanted[h.Host] = h.Host != c.cfg.Self.Host
	}
	var effs []msg.Effect
	listed := make(map[msg.HostID]bool, len(c.hosts))
	for _, h := range c.hosts {
		listed[h.Host] = true
		if h.Host != c.cfg.Self.Host {
			effs = append(effs, c.updateHost(h, wanted[h.Host])...)
		}
	}
	for _, h := range sortedKeys(c.addrs) {
		if !listed[h] {
			delete(c.addrs, h)
			effs = append(effs, c.disconnect(h)...)
		}
	}
	return effs
}

// updateHost returns the effects that make a host reachable, either by a
// permanent connection or on demand.
func (c *Component) updateHost(h msg.Host, keep bool) []msg.Effect {
	var effs []msg.Effect
	if !keep {
		effs = c.disconnect(h.Host)
	}
	addrChanged := c.addrs[h.Host] != h.Addr
	c.addrs[h.Host] = h.Addr
	switch {
	case keep && (addrChanged || !c.connected[h.Host]):
		c.connected[h.Host] = true
		effs = append(effs, msg.Connect{Host: h.Host, Addr: h.Addr, Kind: h.Kind})
	case !keep && addrChanged:
		effs = append(effs, msg.SetHostAddr{Host: h.Host, Addr: h.Addr, Kind: h.Kind})
	}
	return effs
}

func (c *Component) disconnect(h msg.HostID) []msg.Effect {
	if !c.connected[h] {
		return nil
	}
	delete(c.connected, h)
	return []msg.Effect{msg.Disconnect{Host: h}}
}

// connectionHosts returns the hosts to which connections are kept. Connections
// to other hosts are opened on demand.
func (c *Component) connectionHosts(m msg.MembersChanged) []msg.Host {
	if c.cfg.Self.Kind == msg.HostTarget {
		if len(m.Entries) <= maxFullMesh {
			return m.Entries
		}
		return rendezvous.Order("side/"+string(c.cfg.Self.Host), m.Entries)[:entriesPerSideDaemon]
	}
	entries := m.Entries
	if len(entries) > maxFullMesh {
		entries = exchange.Neighbors(c.cfg.Self, m.Entries)
	}
	return append(slices.Clone(entries), c.connectionTargets(m)...)
}

// connectionTargets returns the target hosts to which connections are kept: all
// of them if there are few, and otherwise those to which this daemon is
// assigned.
func (c *Component) connectionTargets(m msg.MembersChanged) []msg.Host {
	if len(m.Targets) <= maxTargetsPerEntry || len(m.Entries) == 0 {
		return m.Targets
	}
	entriesPerTarget := (maxTargetsPerEntry*len(m.Entries) + len(m.Targets) - 1) / len(m.Targets)
	entriesPerTarget = max(entriesPerTarget, minEntriesPerTarget)
	var out []msg.Host
	for _, t := range m.Targets {
		if rendezvous.Rank("target/"+string(t.Host), c.cfg.Self.Host, m.Entries) < entriesPerTarget {
			out = append(out, t)
		}
	}
	return out
}

func sortedKeys(m map[msg.HostID]string) []msg.HostID { return slices.Sorted(maps.Keys(m)) }
