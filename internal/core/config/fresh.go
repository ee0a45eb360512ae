package config

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// queryInterval is the time between two queries of the electorate.
	queryInterval = 500 * time.Millisecond
	// queryThreshold is the remaining time of use below which the electorate is
	// queried.
	queryThreshold = 2 * time.Second
	// voteDelay is the time after the start during which a daemon does not
	// reply to queries of the electorate, unless it has read the configuration
	// from the platform or has received a confirmation from after that time. A
	// reply that it sent before a restart, and does not remember, may count for
	// as long.
	voteDelay = collectTimeout + time.Second
)

// peers holds the live entry daemons, and which of them are roots or voters.
type peers struct {
	self    msg.HostID
	entries map[msg.HostID]bool
	roots   []msg.HostID
	rootsAt msg.Time
	isRoot  bool
	// electorates are the electorates of the record.
	electorates [][]msg.HostID
	// mayVote reports that this daemon may reply to queries of an electorate.
	mayVote bool
}

func (p *peers) setMembers(now msg.Time, self msg.HostID, entries []msg.Host) {
	p.self = self
	p.entries = make(map[msg.HostID]bool, len(entries))
	for _, h := range entries {
		p.entries[h.Host] = true
	}
	var roots []msg.HostID
	for _, h := range exchange.Roots(entries) {
		roots = append(roots, h.Host)
	}
	p.isRoot = slices.Contains(roots, self)
	if !slices.Equal(roots, p.roots) {
		p.roots = roots
		p.rootsAt = now
	}
}

func (p *peers) isEntry(h msg.HostID) bool { return p.entries[h] }

func (c *Component) isVoter(h msg.HostID) bool {
	for _, e := range c.peers.electorates {
		if slices.Contains(e, h) {
			return true
		}
	}
	return false
}

// electorate returns the set of voters whose majority confirms the record.
func (c *Component) electorate() []msg.HostID {
	if n := len(c.peers.electorates); n > 0 {
		return c.peers.electorates[n-1]
	}
	return nil
}

// majority reports whether hosts contains more than half of a set.
func majority(set, hosts []msg.HostID) bool {
	n := 0
	for _, h := range set {
		if slices.Contains(hosts, h) {
			n++
		}
	}
	return 2*n > len(set)
}

// freshness holds the last instant at which the record was confirmed, and the
// query of the electorate in progress.
type freshness struct {
	confirmed bool
	at        msg.Time
	nonce     uint64
	sent      msg.Time
	// replied lists the voters that replied to the present query.
	replied []msg.HostID
}

// restart ends the query in progress, since the electorate may have changed. A
// confirmation is kept: one of an older record applies all the more to a newer
// record.
func (f *freshness) restart() {
	f.nonce = 0
	f.replied = nil
}

// confirm records that no newer record had been accepted at the given instant.
func (c *Component) confirm(now, at msg.Time) []msg.Effect {
	if c.record.Seq == 0 || (c.fresh.confirmed && at <= c.fresh.at) || now >= at+FreshFor {
		return nil
	}
	c.fresh.confirmed = true
	c.fresh.at = at
	if at >= voteDelay {
		c.peers.mayVote = true
	}
	return []msg.Effect{
		c.recordChanged(),
		msg.Raise{Event: msg.ConfigConfirmed{Generation: c.record.Generation, Until: at + FreshFor}},
	}
}

// queryElectorate queries the electorate if no confirmation has arrived in
// another way. Only voters and roots send queries; the other daemons receive
// the confirmation through the exchange.
func (c *Component) queryElectorate(now msg.Time) []msg.Effect {
	f := &c.fresh
	if c.record.Seq == 0 || (!c.peers.isRoot && !c.isVoter(c.cfg.Self)) {
		return nil
	}
	if f.confirmed && f.at+FreshFor-now > queryThreshold || f.nonce != 0 && now < f.sent+queryInterval {
		return nil
	}
	f.nonce = c.rand.Uint64() | 1
	f.sent = now
	f.replied = nil
	if c.peers.mayVote && slices.Contains(c.electorate(), c.cfg.Self) {
		f.replied = append(f.replied, c.cfg.Self)
	}
	if majority(c.electorate(), f.replied) {
		return c.confirm(now, now)
	}
	return c.sendQuery(f.nonce, c.electorate())
}

func (c *Component) sendQuery(nonce uint64, hosts []msg.HostID) []msg.Effect {
	var effs []msg.Effect
	for _, h := range hosts {
		if h != c.cfg.Self {
			effs = append(effs, msg.SendPeer{To: h, Message: msg.ConfigQuery{Nonce: nonce, Config: c.record.Seq}})
		}
	}
	return effs
}

func (c *Component) onQuery(now msg.Time, from msg.HostID, m msg.ConfigQuery) []msg.Effect {
	var effs []msg.Effect
	if c.record.Seq > 0 && c.peers.mayVote {
		effs = append(effs, msg.SendPeer{To: from, Message: msg.ConfigQueryReply{Nonce: m.Nonce, Config: c.record.Seq}})
	}
	if m.Config > c.record.Seq {
		effs = append(effs, c.fetch(now, from)...)
	}
	return effs
}

func (c *Component) onQueryReply(now msg.Time, from msg.HostID, m msg.ConfigQueryReply) []msg.Effect {
	effs := c.recordAcknowledgement(now, from, m)
	if m.Config > c.record.Seq {
		return append(effs, c.fetch(now, from)...)
	}
	f := &c.fresh
	if m.Nonce != f.nonce || slices.Contains(f.replied, from) {
		return effs
	}
	f.replied = append(f.replied, from)
	if majority(c.electorate(), f.replied) {
		effs = append(effs, c.confirm(now, f.sent)...)
	}
	return effs
}
