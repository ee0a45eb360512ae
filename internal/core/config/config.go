// Package config is the part of a reducer that learns the newest
// configuration, proves its freshness and takes operators' proposals.
//
// The configuration is one object of the platform, changed by conditional
// update; each change adds one to its generation. A daemon takes a record
// only where its generation is higher than its own, whatever way it came, so
// a stale watch, a restarted peer or a late message never reverts it.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
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

	// watchWait is how long the platform may hold a watch. Each answer, also
	// an empty one, confirms the configuration.
	watchWait = 500 * time.Millisecond
	retryMin  = 100 * time.Millisecond
	retryMax  = 2 * time.Second
)

// Tags of store calls; those of proposals start at tagProposal.
const (
	tagRead uint64 = iota
	tagWatch
	tagProposal
)

// Config configures the part.
type Config struct {
	Self        msg.HostID
	Incarnation msg.Incarnation
}

// Part is the configuration part of an entry daemon.
type Part struct {
	cfg   Config
	store *store.Client
	rand  *rand.Rand
	wall  time.Time

	record   msg.ConfigRecord
	index    *manifest.Index
	revision msg.Revision
	// readSince is when the present read or watch was sent.
	readSince msg.Time
	retryAt   msg.Time
	retryWait time.Duration
	reading   bool

	peers     peers
	fresh     freshness
	proposals map[uint64]*proposal
	nextTag   uint64
}

// New returns the part.
func New(cfg Config) *Part {
	return &Part{
		cfg:       cfg,
		store:     store.New(store.PartConfig, string(cfg.Self)+"/"+string(cfg.Incarnation)),
		rand:      rand.New(rand.NewPCG(0, 0)),
		proposals: make(map[uint64]*proposal),
		nextTag:   tagProposal,
	}
}

// Current returns the configuration in force; generation 0 means none.
func (p *Part) Current() msg.ConfigRecord { return p.record }

// Step implements the reducer's part.
func (p *Part) Step(now msg.Time, ev msg.Event) []msg.Effect {
	results, effs := p.store.Step(now, ev)
	for _, r := range results {
		effs = append(effs, p.onResult(now, r)...)
	}
	switch ev := ev.(type) {
	case msg.Started:
		p.rand = rand.New(rand.NewPCG(ev.Seed, uint64(store.PartConfig)))
		p.wall = ev.Wall
		effs = append(effs, p.read(now))
	case msg.Tick:
		p.wall = ev.Wall
		effs = append(effs, p.onTick(now)...)
	case msg.MembersChanged:
		p.peers.set(p.cfg.Self, ev.Entries)
	case msg.PeerReceived:
		effs = append(effs, p.onPeer(now, ev)...)
	case msg.ConfigProposed:
		effs = append(effs, p.propose(now, ev)...)
	}
	return effs
}

func (p *Part) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	if !p.reading && now >= p.retryAt {
		effs = append(effs, p.read(now))
	}
	effs = append(effs, p.confirmByPeers(now)...)
	return append(effs, p.pollProposals(now)...)
}

func (p *Part) onResult(now msg.Time, r store.Result) []msg.Effect {
	switch r.Tag {
	case tagRead, tagWatch:
		return p.onRead(now, r)
	}
	return p.onProposalResult(now, r)
}

// read lists the configuration; the list gives the position for watches.
func (p *Part) read(now msg.Time) msg.Effect {
	p.reading = true
	p.readSince = now
	return p.store.List(tagRead, msg.KindConfig, currentName)
}

func (p *Part) onRead(now msg.Time, r store.Result) []msg.Effect {
	p.reading = false
	if r.Status != msg.CallOK {
		p.retryWait = min(max(2*p.retryWait, retryMin), retryMax)
		p.retryAt = now + p.retryWait/2 + time.Duration(p.rand.Int64N(int64(p.retryWait)))
		return nil
	}
	p.retryWait = 0
	p.revision = r.Revision
	var effs []msg.Effect
	for _, o := range r.Objects {
		if o.Name == currentName && !o.Deleted {
			effs = append(effs, p.learnObject(o)...)
		}
	}
	effs = append(effs, p.confirmed(p.readSince)...)
	p.reading = true
	p.readSince = now
	return append(effs, p.store.Watch(tagWatch, msg.KindConfig, p.revision, watchWait))
}

func (p *Part) learnObject(o msg.Object) []msg.Effect {
	var rec msg.ConfigRecord
	if err := json.Unmarshal(o.Value, &rec); err != nil {
		return []msg.Effect{logLine(msg.LogError, "stored configuration can't be decoded", msg.Attr{Key: "error", Value: err.Error()})}
	}
	return p.learn(rec)
}

// learn takes a record that is known to be stored, if it is newer.
func (p *Part) learn(rec msg.ConfigRecord) []msg.Effect {
	if rec.Generation <= p.record.Generation {
		return nil
	}
	if digestOf(rec.Manifest) != rec.Digest {
		return []msg.Effect{logLine(msg.LogError, "configuration does not match its digest", generationAttr(rec.Generation))}
	}
	m, err := manifest.Decode([]byte(rec.Manifest))
	if err != nil {
		return []msg.Effect{logLine(msg.LogError, "configuration can't be decoded", generationAttr(rec.Generation),
			msg.Attr{Key: "error", Value: err.Error()})}
	}
	p.record = rec
	p.index = manifest.NewIndex(m)
	return []msg.Effect{
		logLine(msg.LogInfo, "configuration in force", generationAttr(rec.Generation), msg.Attr{Key: "author", Value: rec.Author}),
		msg.Raise{Event: msg.ConfigChanged{Generation: rec.Generation, Index: p.index}},
	}
}

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
