package config

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// queryInterval is the time between two queries of the other entries.
	queryInterval = 500 * time.Millisecond
	// storeAhead is how much of a store confirmation must be left for the
	// other entries not to be asked.
	storeAhead = 2 * time.Second
)

// peers are the live entry daemons.
type peers struct {
	self   msg.HostID
	others []msg.HostID
}

func (p *peers) set(self msg.HostID, entries []msg.Host) {
	p.self = self
	p.others = p.others[:0]
	for _, h := range entries {
		if h.Host != self {
			p.others = append(p.others, h.Host)
		}
	}
}

func (p *peers) has(host msg.HostID) bool { return slices.Contains(p.others, host) }

// majority is the number of entry daemons, this one included, that is more
// than half of them.
func (p *peers) majority() int { return (len(p.others)+1)/2 + 1 }

// freshness tells how long the configuration may be used.
type freshness struct {
	until msg.Time
	query query
}

// query is one round of questions to the other entry daemons.
type query struct {
	nonce uint64
	sent  msg.Time
	// held are the hosts that answered with no higher generation.
	held []msg.HostID
}

// confirmed takes note that no newer configuration had been accepted at the
// given instant.
func (p *Part) confirmed(at msg.Time) []msg.Effect {
	until := at + FreshFor
	if until <= p.fresh.until || p.record.Generation == 0 {
		return nil
	}
	p.fresh.until = until
	return []msg.Effect{msg.Raise{Event: msg.ConfigFresh{Generation: p.record.Generation, Until: until}}}
}

// confirmByPeers asks the other entries when the store's confirmations cease.
func (p *Part) confirmByPeers(now msg.Time) []msg.Effect {
	due := p.fresh.query.sent + queryInterval
	if p.record.Generation == 0 || p.fresh.until-now > storeAhead || (p.fresh.query.nonce != 0 && now < due) {
		return nil
	}
	p.fresh.query = query{nonce: p.rand.Uint64() | 1, sent: now}
	if p.peers.majority() == 1 && p.peers.self != "" {
		return p.confirmed(now)
	}
	return p.ask(p.fresh.query.nonce)
}

func (p *Part) ask(nonce uint64) []msg.Effect {
	effs := make([]msg.Effect, 0, len(p.peers.others))
	for _, h := range p.peers.others {
		effs = append(effs, msg.SendPeer{To: h, Message: msg.ConfigQuery{Nonce: nonce, Generation: p.record.Generation}})
	}
	return effs
}

func (p *Part) onPeer(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	if !p.peers.has(ev.From) {
		return nil
	}
	switch m := ev.Message.(type) {
	case msg.ConfigQuery:
		return p.onQuery(ev.From, m)
	case msg.ConfigHeld:
		return p.onHeld(now, ev.From, m)
	case msg.ConfigFetch:
		if p.record.Generation > m.Generation {
			return []msg.Effect{msg.SendPeer{To: ev.From, Message: msg.ConfigBody{Record: p.record}}}
		}
	case msg.ConfigBody:
		return p.learn(m.Record)
	}
	return nil
}

func (p *Part) onQuery(from msg.HostID, m msg.ConfigQuery) []msg.Effect {
	var effs []msg.Effect
	if p.record.Generation > 0 {
		effs = append(effs, msg.SendPeer{To: from, Message: msg.ConfigHeld{Nonce: m.Nonce, Generation: p.record.Generation}})
	}
	return append(effs, p.fetchIfNewer(from, m.Generation)...)
}

func (p *Part) fetchIfNewer(from msg.HostID, held msg.Generation) []msg.Effect {
	if held <= p.record.Generation {
		return nil
	}
	return []msg.Effect{msg.SendPeer{To: from, Message: msg.ConfigFetch{Generation: p.record.Generation}}}
}

func (p *Part) onHeld(now msg.Time, from msg.HostID, m msg.ConfigHeld) []msg.Effect {
	if effs := p.fetchIfNewer(from, m.Generation); effs != nil {
		return effs
	}
	effs := p.onAcknowledged(now, from, m)
	q := &p.fresh.query
	if m.Nonce != q.nonce || slices.Contains(q.held, from) {
		return effs
	}
	q.held = append(q.held, from)
	if len(q.held)+1 >= p.peers.majority() {
		effs = append(effs, p.confirmed(q.sent)...)
	}
	return effs
}
