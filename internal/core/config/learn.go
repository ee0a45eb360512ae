package config

import (
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// maxRecent bounds the edits that are kept for daemons that are behind.
	maxRecent     = 32
	maxRecentSize = 64 << 10
	// fetchInterval is the least time between two requests for a newer record.
	fetchInterval = 200 * time.Millisecond
)

// adopt takes a record that is known to be stored, if it is newer.
func (p *Component) adopt(head msg.ConfigHead, doc document) []msg.Effect {
	if head.Seq <= p.record.Seq {
		return nil
	}
	if doc.digest != head.Digest {
		return []msg.Effect{logLine(msg.LogError, "configuration does not match its digest", generationAttr(head.Generation))}
	}
	if head.Digest != p.doc.digest {
		m, err := doc.decode()
		if err != nil {
			return []msg.Effect{logLine(msg.LogError, "configuration can't be decoded", generationAttr(head.Generation),
				msg.Attr{Key: "error", Value: err.Error()})}
		}
		if p.record.Seq > 0 {
			p.recent = tail(append(slices.Clone(p.recent), p.doc.editTo(doc)), maxRecent, maxRecentSize)
		}
		p.doc = doc
		p.index = manifest.NewIndex(m)
	}
	newer := head.Generation > p.record.Generation
	p.record = msg.ConfigRecord{ConfigHead: head, Manifest: doc.text}
	p.group.electorates = head.VoterSets
	p.fresh.restart()
	effs := []msg.Effect{p.known()}
	if !newer {
		return effs
	}
	return append(effs,
		logLine(msg.LogInfo, "configuration in force", generationAttr(head.Generation), msg.Attr{Key: "author", Value: head.Author}),
		msg.Raise{Event: msg.ConfigChanged{Generation: head.Generation, Index: p.index}})
}

// known tells the exchange what this daemon holds and how well it is confirmed.
func (p *Component) known() msg.Effect {
	return msg.Raise{Event: msg.ConfigRecordChanged{
		Config:      p.record.Seq,
		Generation:  p.record.Generation,
		Confirmed:   p.fresh.confirmed,
		ConfirmedAt: p.fresh.at,
	}}
}

// onExchange takes what another daemon told through the exchange.
func (p *Component) onExchange(now msg.Time, ev msg.PeerConfigReported) []msg.Effect {
	if ev.Config > p.record.Seq {
		return p.fetch(now, ev.From)
	}
	if ev.Config < p.record.Seq || !ev.Confirmed {
		return nil
	}
	return p.confirm(now, ev.ConfirmedAt)
}

func (p *Component) fetch(now msg.Time, from msg.HostID) []msg.Effect {
	if now < p.fetchAt {
		return nil
	}
	p.fetchAt = now + fetchInterval
	return []msg.Effect{msg.SendPeer{To: from, Message: msg.ConfigFetch{Digest: p.doc.digest}}}
}

// onFetch answers with the edits since the asker's manifest, or the whole.
func (p *Component) onFetch(from msg.HostID, m msg.ConfigFetch) []msg.Effect {
	if p.record.Seq == 0 {
		return nil
	}
	body := msg.ConfigTransfer{Head: p.record.ConfigHead}
	i := lastFrom(p.recent, m.Digest)
	switch {
	case m.Digest == p.record.Digest:
	case m.Digest != "" && i >= 0:
		body.Edits = p.recent[i:]
	default:
		body.Whole = true
		body.Manifest = p.record.Manifest
	}
	return []msg.Effect{msg.SendPeer{To: from, Message: body}}
}

func (p *Component) onBody(now msg.Time, from msg.HostID, m msg.ConfigTransfer) []msg.Effect {
	if m.Head.Seq <= p.record.Seq {
		return nil
	}
	if m.Whole {
		return p.adopt(m.Head, newDocument(m.Manifest))
	}
	doc, ok := p.doc.follow(m.Edits, m.Head.Digest)
	if !ok {
		p.fetchAt = now + fetchInterval
		return []msg.Effect{msg.SendPeer{To: from, Message: msg.ConfigFetch{}}}
	}
	return p.adopt(m.Head, doc)
}

func logLine(level msg.LogLevel, text string, attrs ...msg.Attr) msg.Effect {
	return msg.LogLine{Component: partName, Level: level, Text: text, Attrs: attrs}
}

func generationAttr(g msg.Generation) msg.Attr {
	return msg.Attr{Key: "generation", Value: strconv.FormatUint(uint64(g), 10)}
}
