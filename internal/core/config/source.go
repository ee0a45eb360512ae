package config

import (
	"encoding/json"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// watchWait is how long the platform may hold a watch. Each answer, also
	// an empty one, confirms the configuration.
	watchWait = 500 * time.Millisecond
	retryMin  = 100 * time.Millisecond
	retryMax  = 2 * time.Second
	// selfHelpAfter is the age of the last confirmation from which a daemon
	// that relies on others asks the platform itself, every selfHelpInterval.
	selfHelpAfter    = 1800 * time.Millisecond
	selfHelpInterval = time.Second
)

// storedConfig is the body of the configuration object. The manifest is the
// snapshot's text with the edits from there on applied.
type storedConfig struct {
	msg.ConfigHead
	Snapshot textRef          `json:"snapshot"`
	Edits    []msg.ConfigEdit `json:"edits,omitempty"`
}

// textRef names a manifest object, which is never changed, and its digest.
type textRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// storedText is the body of a manifest object.
type storedText struct {
	Manifest string `json:"manifest"`
}

// source reads the configuration from the platform.
type source struct {
	revision  msg.Revision
	reading   bool
	since     msg.Time
	nextAt    msg.Time
	retryWait time.Duration
	// pending is a record whose snapshot is being read.
	pending *storedConfig
}

// readIfDue reads on: always where this daemon watches for others, else only
// when it has not heard of a confirmation for a while.
func (p *Component) readIfDue(now msg.Time) []msg.Effect {
	s := &p.source
	if s.reading || now < s.nextAt {
		return nil
	}
	if p.group.isRoot || p.isVoter(p.cfg.Self) || p.record.Seq == 0 {
		return []msg.Effect{p.read(now)}
	}
	if p.fresh.confirmed && now < p.fresh.at+selfHelpAfter {
		return nil
	}
	return []msg.Effect{p.read(now)}
}

// read watches on from the last position, or lists where there is none.
func (p *Component) read(now msg.Time) msg.Effect {
	p.source.reading = true
	p.source.since = now
	if p.source.revision == 0 {
		return p.store.List(tagRead, msg.KindConfig, currentName)
	}
	wait := watchWait
	if !p.group.isRoot && !p.isVoter(p.cfg.Self) {
		wait = 0
	}
	return p.store.Watch(tagWatch, msg.KindConfig, p.source.revision, wait)
}

func (p *Component) onRead(now msg.Time, r store.Result) []msg.Effect {
	s := &p.source
	s.reading = false
	if r.Status != msg.CallOK {
		s.revision = 0
		s.retryWait = min(max(2*s.retryWait, retryMin), retryMax)
		s.nextAt = now + s.retryWait/2 + time.Duration(p.rand.Int64N(int64(s.retryWait)))
		return nil
	}
	s.retryWait = 0
	s.revision = r.Revision
	s.nextAt = now
	if !p.group.isRoot {
		s.nextAt = now + selfHelpInterval
	}
	var effs []msg.Effect
	for _, o := range r.Objects {
		if o.Name == currentName && !o.Deleted {
			effs = append(effs, p.learnObject(o)...)
		}
	}
	if s.pending != nil {
		return effs
	}
	if p.kept.Seq <= p.record.Seq {
		p.group.recovered = true
		effs = append(effs, p.confirm(now, s.since)...)
	}
	return effs
}

// learnObject takes the configuration object as it was read.
func (p *Component) learnObject(o msg.Object) []msg.Effect {
	var stored storedConfig
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return []msg.Effect{logLine(msg.LogError, "stored configuration can't be decoded", msg.Attr{Key: "error", Value: err.Error()})}
	}
	return p.learnStored(stored)
}

func (p *Component) learnStored(stored storedConfig) []msg.Effect {
	if stored.Seq < p.kept.Seq {
		return nil
	}
	p.kept = stored
	if stored.Seq <= p.record.Seq {
		return nil
	}
	if doc, ok := p.doc.follow(stored.Edits, stored.Digest); ok {
		return p.adopt(stored.ConfigHead, doc)
	}
	p.source.pending = &stored
	return []msg.Effect{p.store.Get(tagText, msg.KindConfigText, stored.Snapshot.Name)}
}

// onText completes a pending record from its snapshot.
func (p *Component) onText(r store.Result) []msg.Effect {
	stored := p.source.pending
	p.source.pending = nil
	if stored == nil {
		return nil
	}
	var snapshot storedText
	if r.Status != msg.CallOK || json.Unmarshal(r.Object.Value, &snapshot) != nil {
		p.source.revision = 0 // the snapshot may be gone: read the object again
		return nil
	}
	doc, ok := newDocument(snapshot.Manifest).follow(stored.Edits, stored.Digest)
	if !ok {
		p.source.revision = 0
		return []msg.Effect{logLine(msg.LogError, "stored configuration does not match its digest", generationAttr(stored.Generation))}
	}
	return p.adopt(stored.ConfigHead, doc)
}
