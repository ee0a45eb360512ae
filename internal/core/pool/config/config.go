// Package config provides the component of a reducer that obtains the newest
// configuration, establishes how long it may be used, and handles operators'
// proposals.
//
// The configuration is one object of the platform. It is changed by conditional
// updates, each of which increments its sequence number. A daemon adopts a
// record only if its number is higher than that of its own record, however it
// arrived. A stale watch, a restarted peer or a late message can therefore not
// revert it.
//
// A record is accepted once a majority of its voter set, which is a small set
// of entry daemons called voters, holds it. Stored records and the status call
// a voter set an electorate. A daemon may use its record for [FreshFor] after
// an instant at which no newer record had been accepted. A read from the
// platform, or replies of a majority of the voter set, confirm that an instant
// is of this kind. Daemons pass such a confirmation on together with its age.
// docs/decisions/configuration.md contains the argument.
package config

import (
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// FreshFor is how long a configuration may be used after the instant at which
// it was confirmed to be the newest.
const FreshFor = 3 * time.Second

const (
	componentName = "config"
	currentName   = "current"
)

// Tags of store calls. Those of changes start at tagChange.
const (
	tagRead uint64 = iota
	tagWatch
	tagReadManifest
	tagDeleteManifest
	tagChange
)

// Config configures the component.
type Config struct {
	Self        msg.HostID
	Incarnation msg.Incarnation
}

// Component is the configuration component of an entry daemon.
type Component struct {
	cfg   Config
	store *store.Client
	rand  *rand.Rand
	wall  time.Time

	record msg.ConfigRecord
	doc    document
	index  *manifest.Index
	// recentEdits are the last edits that led to the manifest of the record.
	recentEdits []msg.ConfigEdit
	// lastStored is the content of the configuration object as it was last read,
	// by a watch or as the base of a change.
	lastStored storedConfig
	// accepted is the highest sequence number of a record that this daemon wrote
	// and for which it received the acknowledgements that make it accepted.
	// fetchAt is when it may request a newer record again.
	accepted uint64
	fetchAt  msg.Time

	source  source
	peers   peers
	fresh   freshness
	changes map[uint64]*change
	nextTag uint64
}

// New returns a component without a configuration.
func New(cfg Config) *Component {
	return &Component{
		cfg:     cfg,
		store:   store.New(store.ComponentConfig, string(cfg.Self)+"/"+string(cfg.Incarnation)),
		rand:    rand.New(rand.NewPCG(0, 0)),
		changes: make(map[uint64]*change),
		nextTag: tagChange,
	}
}

// Current returns the configuration in force. Its generation is 0 if there is
// none.
func (c *Component) Current() msg.ConfigRecord { return c.record }

// Step implements reducer.Component.
func (c *Component) Step(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := c.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, c.onResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.Started:
		c.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.ComponentConfig)))
		c.wall = ev.Wall
		effs = append(effs, c.read(now))
	case msg.Tick:
		c.wall = ev.Wall
		effs = append(effs, c.onTick(now)...)
	case msg.MembersChanged:
		c.peers.setMembers(now, c.cfg.Self, ev.Entries)
	case msg.PeerConfigReported:
		effs = append(effs, c.onPeerConfig(now, ev)...)
	case msg.PeerReceived:
		effs = append(effs, c.onPeer(now, ev)...)
	case msg.ConfigProposed:
		effs = append(effs, c.propose(now, ev)...)
	}
	return effs
}

func (c *Component) onTick(now msg.Time) []msg.Effect {
	effs := c.startDueRead(now)
	effs = append(effs, c.queryVoterSet(now)...)
	effs = append(effs, c.updateVoterSet(now)...)
	return append(effs, c.advanceChanges(now)...)
}

func (c *Component) onResult(now msg.Time, r store.Result) []msg.Effect {
	switch r.Tag {
	case tagRead, tagWatch:
		return c.onRead(now, r)
	case tagReadManifest:
		return c.onManifestRead(r)
	case tagDeleteManifest:
		return c.deleteManifest(now, r)
	}
	return c.onChangeResult(now, r)
}

// onPeer handles messages from entry daemons and voters.
func (c *Component) onPeer(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	if !c.peers.isEntry(ev.From) && !c.isVoter(ev.From) {
		return nil
	}
	switch m := ev.Message.(type) {
	case msg.ConfigQuery:
		return c.onQuery(now, ev.From, m)
	case msg.ConfigQueryReply:
		return c.onQueryReply(now, ev.From, m)
	case msg.ConfigFetch:
		return c.onFetch(ev.From, m)
	case msg.ConfigTransfer:
		return c.onTransfer(now, ev.From, m)
	}
	return nil
}
