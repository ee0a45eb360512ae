// Package config is the part of a reducer that learns the newest
// configuration, proves its freshness and takes operators' proposals.
//
// The configuration is one object of the platform, changed by conditional
// update; each write adds one to its sequence number. A daemon takes a record
// only where its number is higher than its own, whatever way it came, so a
// stale watch, a restarted peer or a late message never reverts it.
//
// A record is accepted once a majority of its electorate, a few entry
// daemons, holds it. A daemon may use its record for [FreshFor] after an
// instant at which no newer one had been accepted. The platform proves that,
// or a majority of the electorate; daemons hand the proof on with its age.
// docs/decisions/configuration.md gives the argument.
package config

import (
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// FreshFor is how long a configuration may be used after it was confirmed.
const FreshFor = 3 * time.Second

const (
	partName    = "config"
	currentName = "current"
)

// Tags of store calls; those of changes start at tagChange.
const (
	tagRead uint64 = iota
	tagWatch
	tagText
	tagRemove
	tagChange
)

// Config configures the part.
type Config struct {
	Self        msg.HostID
	Incarnation msg.Incarnation
}

// Component is the configuration part of an entry daemon.
type Component struct {
	cfg   Config
	store *store.Client
	rand  *rand.Rand
	wall  time.Time

	record msg.ConfigRecord
	doc    document
	index  *manifest.Index
	// recent are the last edits that led to the record's manifest.
	recent []msg.ConfigEdit
	// kept is what the configuration object held when it was last read.
	kept     storedConfig
	accepted uint64
	fetchAt  msg.Time

	source  source
	group   group
	fresh   freshness
	changes map[uint64]*change
	nextTag uint64
}

// New returns the part.
func New(cfg Config) *Component {
	return &Component{
		cfg:     cfg,
		store:   store.New(store.ComponentConfig, string(cfg.Self)+"/"+string(cfg.Incarnation)),
		rand:    rand.New(rand.NewPCG(0, 0)),
		changes: make(map[uint64]*change),
		nextTag: tagChange,
	}
}

// Current returns the configuration in force; generation 0 means none.
func (p *Component) Current() msg.ConfigRecord { return p.record }

// Step implements the reducer's part.
func (p *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := p.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, p.onResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.Started:
		p.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.ComponentConfig)))
		p.wall = ev.Wall
		effs = append(effs, p.read(now))
	case msg.Tick:
		p.wall = ev.Wall
		effs = append(effs, p.onTick(now)...)
	case msg.MembersChanged:
		p.group.setMembers(now, p.cfg.Self, ev.Entries)
	case msg.PeerConfigReported:
		effs = append(effs, p.onExchange(now, ev)...)
	case msg.PeerReceived:
		effs = append(effs, p.onPeer(now, ev)...)
	case msg.ConfigProposed:
		effs = append(effs, p.propose(now, ev)...)
	}
	return effs
}

func (p *Component) onTick(now msg.Time) []msg.Effect {
	effs := p.readIfDue(now)
	effs = append(effs, p.askVoters(now)...)
	effs = append(effs, p.renewElectorate(now)...)
	return append(effs, p.pollChanges(now)...)
}

func (p *Component) onResult(now msg.Time, r store.Result) []msg.Effect {
	switch r.Tag {
	case tagRead, tagWatch:
		return p.onRead(now, r)
	case tagText:
		return p.onText(r)
	case tagRemove:
		return p.removeText(now, r)
	}
	return p.onChangeResult(now, r)
}

// onPeer takes messages of entry daemons.
func (p *Component) onPeer(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	if !p.group.isEntry(ev.From) && !p.isVoter(ev.From) {
		return nil
	}
	switch m := ev.Message.(type) {
	case msg.ConfigQuery:
		return p.onQuery(now, ev.From, m)
	case msg.ConfigQueryReply:
		return p.onHeld(now, ev.From, m)
	case msg.ConfigFetch:
		return p.onFetch(ev.From, m)
	case msg.ConfigTransfer:
		return p.onBody(now, ev.From, m)
	}
	return nil
}
