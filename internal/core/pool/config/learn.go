package config

import (
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// maxRecentEdits and maxRecentSize limit the edits that are kept for
	// daemons whose configuration is older.
	maxRecentEdits = 32
	maxRecentSize  = 64 << 10
	// fetchInterval is the least time between two requests for a newer record.
	fetchInterval = 200 * time.Millisecond
)

// adopt makes a record the one in force in this daemon if it is newer than the
// present one. The record must have been stored by the platform.
func (c *Component) adopt(head msg.ConfigHead, doc document) []msg.Effect {
	if head.Seq <= c.record.Seq {
		return nil
	}
	if doc.digest != head.Digest {
		return []msg.Effect{logLine(msg.LogError, "configuration does not match its digest", generationAttr(head.Generation))}
	}
	if head.Digest != c.doc.digest {
		m, err := doc.decode()
		if err != nil {
			return []msg.Effect{logLine(msg.LogError, "configuration can't be decoded", generationAttr(head.Generation),
				msg.Attr{Key: "error", Value: err.Error()})}
		}
		if c.record.Seq > 0 {
			c.recentEdits = lastWithin(append(slices.Clone(c.recentEdits), c.doc.editTo(doc)), maxRecentEdits, maxRecentSize)
		}
		c.doc = doc
		c.index = manifest.NewIndex(m)
	}
	newer := head.Generation > c.record.Generation
	c.record = msg.ConfigRecord{ConfigHead: head, Manifest: doc.text}
	c.peers.voterSets = head.VoterSets
	c.fresh.restart()
	effs := []msg.Effect{c.recordChanged()}
	if !newer {
		return effs
	}
	return append(effs,
		logLine(msg.LogInfo, "configuration applied", generationAttr(head.Generation), msg.Attr{Key: "author", Value: head.Author}),
		msg.Raise{Event: msg.ConfigChanged{Generation: head.Generation, Index: c.index}})
}

// recordChanged returns the event that passes the sequence number and the
// confirmation of the record to the exchange.
func (c *Component) recordChanged() msg.Effect {
	return msg.Raise{Event: msg.ConfigRecordChanged{
		Config:      c.record.Seq,
		Generation:  c.record.Generation,
		Confirmed:   c.fresh.confirmed,
		ConfirmedAt: c.fresh.at,
	}}
}

// onPeerConfig handles the configuration that another daemon reports through
// the exchange.
func (c *Component) onPeerConfig(now msg.Time, ev msg.PeerConfigReported) []msg.Effect {
	if ev.Config > c.record.Seq {
		return c.fetch(now, ev.From)
	}
	if ev.Config < c.record.Seq || !ev.Confirmed {
		return nil
	}
	return c.confirm(now, ev.ConfirmedAt)
}

func (c *Component) fetch(now msg.Time, from msg.HostID) []msg.Effect {
	if now < c.fetchAt {
		return nil
	}
	c.fetchAt = now + fetchInterval
	return []msg.Effect{msg.SendPeer{To: from, Message: msg.ConfigFetch{Digest: c.doc.digest}}}
}

// onFetch replies with the edits since the sender's manifest, or with the whole
// manifest.
func (c *Component) onFetch(from msg.HostID, m msg.ConfigFetch) []msg.Effect {
	if c.record.Seq == 0 {
		return nil
	}
	body := msg.ConfigTransfer{Head: c.record.ConfigHead}
	i := lastIndexFrom(c.recentEdits, m.Digest)
	switch {
	case m.Digest == c.record.Digest:
	case m.Digest != "" && i >= 0:
		body.Edits = c.recentEdits[i:]
	default:
		body.Whole = true
		body.Manifest = c.record.Manifest
	}
	return []msg.Effect{msg.SendPeer{To: from, Message: body}}
}

func (c *Component) onTransfer(now msg.Time, from msg.HostID, m msg.ConfigTransfer) []msg.Effect {
	if m.Head.Seq <= c.record.Seq {
		return nil
	}
	if m.Whole {
		return c.adopt(m.Head, newDocument(m.Manifest))
	}
	doc, ok := c.doc.applyEdits(m.Edits, m.Head.Digest)
	if !ok {
		c.fetchAt = now + fetchInterval
		return []msg.Effect{msg.SendPeer{To: from, Message: msg.ConfigFetch{}}}
	}
	return c.adopt(m.Head, doc)
}

func logLine(level msg.LogLevel, text string, attrs ...msg.Attr) msg.Effect {
	return msg.LogLine{Component: componentName, Level: level, Text: text, Attrs: attrs}
}

func generationAttr(g msg.Generation) msg.Attr {
	return msg.Attr{Key: "generation", Value: strconv.FormatUint(uint64(g), 10)}
}
