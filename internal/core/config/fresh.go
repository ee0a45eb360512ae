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
	// askBelow is the remaining freshness under which the electorate is asked.
	askBelow = 2 * time.Second
	// abstainFor is how long a restarted daemon does not answer for the
	// electorate unless it has read the platform: an answer that it gave
	// before, and has forgotten, may count for as long.
	abstainFor = collectFor + time.Second
)

// group is what this daemon knows of the other entry daemons.
type group struct {
	self    msg.HostID
	entries map[msg.HostID]bool
	roots   []msg.HostID
	rootsAt msg.Time
	isRoot  bool
	// electorates are those of the record.
	electorates [][]msg.HostID
	// recovered says that this daemon may answer for an electorate.
	recovered bool
}

func (g *group) setMembers(now msg.Time, self msg.HostID, entries []msg.Host) {
	g.self = self
	g.entries = make(map[msg.HostID]bool, len(entries))
	for _, h := range entries {
		g.entries[h.Host] = true
	}
	var roots []msg.HostID
	for _, h := range exchange.Roots(entries) {
		roots = append(roots, h.Host)
	}
	g.isRoot = slices.Contains(roots, self)
	if !slices.Equal(roots, g.roots) {
		g.roots = roots
		g.rootsAt = now
	}
}

func (g *group) isEntry(h msg.HostID) bool { return g.entries[h] }

func (p *Component) isVoter(h msg.HostID) bool {
	for _, e := range p.group.electorates {
		if slices.Contains(e, h) {
			return true
		}
	}
	return false
}

// electorate is the set whose majority confirms the record.
func (p *Component) electorate() []msg.HostID {
	if n := len(p.group.electorates); n > 0 {
		return p.group.electorates[n-1]
	}
	return nil
}

// majority reports whether more than half of a set is among the hosts.
func majority(set, hosts []msg.HostID) bool {
	n := 0
	for _, h := range set {
		if slices.Contains(hosts, h) {
			n++
		}
	}
	return 2*n > len(set)
}

// freshness tells since when the record is confirmed.
type freshness struct {
	confirmed bool
	at        msg.Time
	nonce     uint64
	sent      msg.Time
	// held are the voters that answered the present query.
	held []msg.HostID
}

// restart ends the query under way: the electorate may have changed. A
// confirmation of an older record holds for a newer one all the more.
func (f *freshness) restart() {
	f.nonce = 0
	f.held = nil
}

// confirm takes note that no newer record had been accepted at the given
// instant.
func (p *Component) confirm(now, at msg.Time) []msg.Effect {
	if p.record.Seq == 0 || (p.fresh.confirmed && at <= p.fresh.at) || now >= at+FreshFor {
		return nil
	}
	p.fresh.confirmed = true
	p.fresh.at = at
	if at >= abstainFor {
		p.group.recovered = true
	}
	return []msg.Effect{
		p.known(),
		msg.Raise{Event: msg.ConfigConfirmed{Generation: p.record.Generation, Until: at + FreshFor}},
	}
}

// askVoters asks the electorate when confirmations from elsewhere cease.
// Voters and roots do so; the others hear from them.
func (p *Component) askVoters(now msg.Time) []msg.Effect {
	f := &p.fresh
	if p.record.Seq == 0 || (!p.group.isRoot && !p.isVoter(p.cfg.Self)) {
		return nil
	}
	if f.confirmed && f.at+FreshFor-now > askBelow || f.nonce != 0 && now < f.sent+queryInterval {
		return nil
	}
	f.nonce = p.rand.Uint64() | 1
	f.sent = now
	f.held = nil
	if p.group.recovered && slices.Contains(p.electorate(), p.cfg.Self) {
		f.held = append(f.held, p.cfg.Self)
	}
	if majority(p.electorate(), f.held) {
		return p.confirm(now, now)
	}
	return p.ask(f.nonce, p.electorate())
}

func (p *Component) ask(nonce uint64, hosts []msg.HostID) []msg.Effect {
	var effs []msg.Effect
	for _, h := range hosts {
		if h != p.cfg.Self {
			effs = append(effs, msg.SendPeer{To: h, Message: msg.ConfigQuery{Nonce: nonce, Config: p.record.Seq}})
		}
	}
	return effs
}

func (p *Component) onQuery(now msg.Time, from msg.HostID, m msg.ConfigQuery) []msg.Effect {
	var effs []msg.Effect
	if p.record.Seq > 0 && p.group.recovered {
		effs = append(effs, msg.SendPeer{To: from, Message: msg.ConfigQueryReply{Nonce: m.Nonce, Config: p.record.Seq}})
	}
	if m.Config > p.record.Seq {
		effs = append(effs, p.fetch(now, from)...)
	}
	return effs
}

func (p *Component) onHeld(now msg.Time, from msg.HostID, m msg.ConfigQueryReply) []msg.Effect {
	effs := p.onAcknowledged(now, from, m)
	if m.Config > p.record.Seq {
		return append(effs, p.fetch(now, from)...)
	}
	f := &p.fresh
	if m.Nonce != f.nonce || slices.Contains(f.held, from) {
		return effs
	}
	f.held = append(f.held, from)
	if majority(p.electorate(), f.held) {
		effs = append(effs, p.confirm(now, f.sent)...)
	}
	return effs
}
