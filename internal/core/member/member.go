// Package member is the part of a reducer that knows the other daemons: the
// live and leaving hosts of the platform's host list, and which of them this
// daemon keeps connections to.
package member

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	partName = "member"

	// refreshInterval is the mean time between two reads of the host list.
	refreshInterval = 2 * time.Second
	// callLimit bounds the wait for one answer.
	callLimit = 10 * time.Second
	callShift = 48
)

// Config configures the part.
type Config struct{ Self msg.Self }

// Part is the membership part of a daemon.
type Part struct {
	cfg  Config
	rand *rand.Rand

	seq     uint64
	call    msg.CallID
	readAt  msg.Time
	hosts   []msg.Host
	known   bool
	connect map[msg.HostID]msg.Connect
}

// New returns the part.
func New(cfg Config) *Part {
	return &Part{cfg: cfg, rand: rand.New(rand.NewPCG(0, 0)), connect: make(map[msg.HostID]msg.Connect)}
}

// Step implements the reducer's part.
func (p *Part) Step(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Started:
		p.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.PartMember)))
		return []msg.Effect{p.read(now)}
	case msg.Tick:
		if now >= p.readAt {
			return []msg.Effect{p.read(now)}
		}
	case msg.HostsListed:
		return p.onListed(now, ev)
	}
	return nil
}

func (p *Part) read(now msg.Time) msg.Effect {
	p.seq++
	p.call = msg.CallID(uint64(store.PartMember)<<callShift | p.seq)
	p.readAt = now + callLimit
	return msg.ListHosts{Call: p.call}
}

func (p *Part) onListed(now msg.Time, ev msg.HostsListed) []msg.Effect {
	if ev.Call != p.call {
		return nil
	}
	p.call = 0
	p.readAt = now + refreshInterval/2 + time.Duration(p.rand.Int64N(int64(refreshInterval)))
	if ev.Status != msg.CallOK {
		return nil
	}
	hosts := slices.Clone(ev.Hosts)
	slices.SortFunc(hosts, func(a, b msg.Host) int { return strings.Compare(string(a.Host), string(b.Host)) })
	if p.known && slices.Equal(hosts, p.hosts) {
		return nil
	}
	p.known = true
	p.hosts = hosts
	m := p.members()
	return append(p.connections(), logMembers(m), msg.Raise{Event: m})
}

func logMembers(m msg.MembersChanged) msg.Effect {
	return msg.LogLine{Part: partName, Text: "host list changed", Attrs: []msg.Attr{
		{Key: "entries", Value: strconv.Itoa(len(m.Entries))},
		{Key: "targets", Value: strconv.Itoa(len(m.Targets))},
		{Key: "leaving", Value: strconv.Itoa(len(m.Leaving))},
	}}
}

// members sorts the host list by what a host is to this daemon.
func (p *Part) members() msg.MembersChanged {
	var m msg.MembersChanged
	for _, h := range p.hosts {
		if h.State == msg.HostLeaving {
			m.Leaving = append(m.Leaving, h.Host)
		}
		switch {
		case h.Kind == msg.HostTarget:
			m.Targets = append(m.Targets, h)
		case h.State == msg.HostLive:
			m.Entries = append(m.Entries, h)
		}
	}
	return m
}

// connections returns the effects that bring the connections in line with
// the host list: to every other entry, and from entries to every target.
func (p *Part) connections() []msg.Effect {
	var effs []msg.Effect
	wanted := make(map[msg.HostID]bool)
	for _, h := range p.hosts {
		if !p.wants(h) {
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

func (p *Part) wants(h msg.Host) bool {
	return h.Host != p.cfg.Self.Host && (p.cfg.Self.Kind == msg.HostEntry && h.Kind == msg.HostTarget || h.Kind == msg.HostEntry)
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
