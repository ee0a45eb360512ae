package config

import (
	"encoding/json"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// maxWatchWait is how long the platform may hold a watch open. Each
	// response, also an empty one, confirms the configuration.
	maxWatchWait = 500 * time.Millisecond
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// readAfter is the age of the last confirmation above which a daemon that
	// relies on other daemons reads from the platform itself. readInterval is the
	// time between two such reads.
	readAfter    = 1800 * time.Millisecond
	readInterval = time.Second
)

// storedConfig is the content of the configuration object. A snapshot is a
// manifest that is stored whole. The manifest of the configuration results
// from applying, to the snapshot's text, the edits that start from it.
type storedConfig struct {
	msg.ConfigHead
	Snapshot manifestRef      `json:"snapshot"`
	Edits    []msg.ConfigEdit `json:"edits,omitempty"`
}

// manifestRef is the name of a manifest object, which is never changed, and
// the digest of its text.
type manifestRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// storedManifest is the content of a manifest object.
type storedManifest struct {
	Manifest string `json:"manifest"`
}

// source is the state of reading the configuration from the platform.
// readStartedAt is when the last read began.
type source struct {
	revision      msg.Revision
	reading       bool
	readStartedAt msg.Time
	nextAt        msg.Time
	backoff       time.Duration
	// pending is a configuration whose snapshot is being read.
	pending *storedConfig
}

// startDueRead starts the next read if it is due. Roots, voters and daemons
// without a configuration always read. The others read only if no confirmation
// has arrived for readAfter.
func (c *Component) startDueRead(now msg.Time) []msg.Effect {
	s := &c.source
	if s.reading || now < s.nextAt {
		return nil
	}
	if c.peers.isRoot || c.isVoter(c.cfg.Self) || c.record.Seq == 0 {
		return []msg.Effect{c.read(now)}
	}
	if c.fresh.confirmed && now < c.fresh.at+readAfter {
		return nil
	}
	return []msg.Effect{c.read(now)}
}

// read watches for changes after the last known revision. If there is none, it
// lists the objects.
func (c *Component) read(now msg.Time) msg.Effect {
	c.source.reading = true
	c.source.readStartedAt = now
	if c.source.revision == 0 {
		return c.store.List(tagRead, msg.KindConfig, currentName)
	}
	wait := maxWatchWait
	if !c.peers.isRoot && !c.isVoter(c.cfg.Self) {
		wait = 0
	}
	return c.store.Watch(tagWatch, msg.KindConfig, c.source.revision, wait)
}

func (c *Component) onRead(now msg.Time, r store.Result) []msg.Effect {
	s := &c.source
	s.reading = false
	if r.Status != msg.CallOK {
		s.revision = 0
		s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
		s.nextAt = now + s.backoff/2 + time.Duration(c.rand.Int64N(int64(s.backoff)))
		return nil
	}
	s.backoff = 0
	s.revision = r.Revision
	s.nextAt = now
	if !c.peers.isRoot {
		s.nextAt = now + readInterval
	}
	var effs []msg.Effect
	for _, o := range r.Objects {
		if o.Name == currentName && !o.Deleted {
			effs = append(effs, c.decodeObject(o)...)
		}
	}
	if s.pending != nil {
		return effs
	}
	if c.lastStored.Seq <= c.record.Seq {
		c.peers.mayVote = true
		effs = append(effs, c.confirm(now, s.readStartedAt)...)
	}
	return effs
}

// decodeObject decodes the configuration object and adopts it if it is newer.
func (c *Component) decodeObject(o msg.Object) []msg.Effect {
	var stored storedConfig
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return []msg.Effect{logLine(msg.LogError, "stored configuration can't be decoded", msg.Attr{Key: "error", Value: err.Error()})}
	}
	return c.adoptStored(stored)
}

func (c *Component) adoptStored(stored storedConfig) []msg.Effect {
	if stored.Seq < c.lastStored.Seq {
		return nil
	}
	c.lastStored = stored
	if stored.Seq <= c.record.Seq {
		return nil
	}
	if doc, ok := c.doc.applyEdits(stored.Edits, stored.Digest); ok {
		return c.adopt(stored.ConfigHead, doc)
	}
	c.source.pending = &stored
	return []msg.Effect{c.store.Get(tagReadManifest, msg.KindConfigText, stored.Snapshot.Name)}
}

// onManifestRead completes the pending configuration from its snapshot.
func (c *Component) onManifestRead(r store.Result) []msg.Effect {
	stored := c.source.pending
	c.source.pending = nil
	if stored == nil {
		return nil
	}
	var snapshot storedManifest
	if r.Status != msg.CallOK || json.Unmarshal(r.Object.Value, &snapshot) != nil {
		c.source.revision = 0 // The snapshot may have been deleted. The object is read again.
		return nil
	}
	doc, ok := newDocument(snapshot.Manifest).applyEdits(stored.Edits, stored.Digest)
	if !ok {
		c.source.revision = 0
		return []msg.Effect{logLine(msg.LogError, "stored configuration does not match its digest", generationAttr(stored.Generation))}
	}
	return c.adopt(stored.ConfigHead, doc)
}
