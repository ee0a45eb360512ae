package config

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/exchange"
)

const (
	// queryInterval is the time between two queries of the voter set.
	queryInterval = 500 * time.Millisecond
	// queryThreshold is the remaining time for which the record may be used below
	// which the voter set is queried.
	queryThreshold = 2 * time.Second
	// voteDelay is the time after a daemon's start for which a reply that it sent
	// before a restart, and does not remember, may still count. The daemon
	// therefore replies to queries of the voter set only once it has read the
	// configuration from the platform, or has received a confirmation for an
	// instant that is at least this long after its start.
	voteDelay = collectTimeout + time.Second
)

// peers holds the live entry daemons, and which of them are roots or voters.
type peers struct {
	self    msg.HostID
	entries map[msg.HostID]bool
	roots   []msg.HostID
	rootsAt msg.Time
	isRoot  bool
	// voterSets are the voter sets of the record.
	voterSets [][]msg.HostID
	// mayVote reports that this daemon may reply to queries of a voter set.
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
	for _, e := range c.peers.voterSets {
		if slices.Contains(e, h) {
			return true
		}
	}
	return false
}

// voterSet returns the voter set whose majority confirms the record.
func (c *Component) voterSet() []msg.HostID {
	if n := len(c.peers.voterSets); n > 0 {
		return c.peers.voterSets[n-1]
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
// query of the voter set that is in progress.
type freshness struct {
	confirmed bool
	at        msg.Time
	nonce     uint64
	sent      msg.Time
	// replied lists the voters that replied to the present query.
	replied []msg.HostID
}

// restart ends the query in progress, since the voter set may have changed. A
// confirmation is kept: if no record newer than the old one had been accepted,
// then none newer than the new one had.
func (f *freshness) restart() {
	f.nonce = 0
	f.replied = nil
}

// confirm records that at the instant at, no record newer than this daemon's
// had been accepted.
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

// queryVoterSet queries the voter set if no recent enough confirmation has
// arrived in another way. Only voters and roots send queries; the other
// daemons receive the confirmation through the exchange.
func (c *Component) queryVoterSet(now msg.Time) []msg.Effect {
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
	if c.peers.mayVote && slices.Contains(c.voterSet(), c.cfg.Self) {
		f.replied = append(f.replied, c.cfg.Self)
	}
	if majority(c.voterSet(), f.replied) {
		return c.confirm(now, now)
	}
	return c.sendQuery(f.nonce, c.voterSet())
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
	if majority(c.voterSet(), f.replied) {
		effs = append(effs, c.confirm(now, f.sent)...)
	}
	return effs
}
