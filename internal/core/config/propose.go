package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	// writeFor bounds the writing of a proposal, also of its lost answers.
	writeFor = 8 * time.Second
	// collectFor bounds the wait for acknowledgements.
	collectFor = 5 * time.Second
	// collectInterval is the time between two rounds of asking for them.
	collectInterval = 200 * time.Millisecond
)

// phase is the step that a proposal is at.
type phase uint8

const (
	phaseReading phase = iota
	phaseAuditing
	phaseWriting
	phaseCollecting
)

// proposal is an operator's change on its way.
type proposal struct {
	in      msg.ConfigProposed
	phase   phase
	started msg.Time
	record  msg.ConfigRecord
	version msg.Version

	// asked is when the acknowledgements were last asked for, and collectEnd
	// when that is given up.
	asked      msg.Time
	collectEnd msg.Time
	nonce      uint64
	acks       []msg.HostID
}

func (p *Part) propose(now msg.Time, in msg.ConfigProposed) []msg.Effect {
	if _, err := manifest.Decode(in.Manifest); err != nil {
		return answer(in, msg.ProposalInvalid, 0, err.Error())
	}
	tag := p.nextTag
	p.nextTag++
	p.proposals[tag] = &proposal{in: in, started: now}
	return []msg.Effect{p.store.Get(tag, msg.KindConfig, currentName)}
}

func (p *Part) onProposalResult(now msg.Time, r store.Result) []msg.Effect {
	pr, ok := p.proposals[r.Tag]
	if !ok {
		return nil
	}
	switch pr.phase {
	case phaseReading:
		return p.onProposalRead(now, pr, r)
	case phaseAuditing:
		return p.onPreviousAudited(now, pr, r)
	case phaseWriting:
		return p.onWritten(now, pr, r)
	}
	return nil
}

func (p *Part) onProposalRead(now msg.Time, pr *proposal, r store.Result) []msg.Effect {
	var current msg.ConfigRecord
	switch r.Status {
	case msg.CallOK:
		if err := json.Unmarshal(r.Object.Value, &current); err != nil {
			return p.end(r.Tag, msg.ProposalUnavailable, 0, "the stored configuration can't be decoded")
		}
	case msg.CallNotFound:
	default:
		return p.end(r.Tag, msg.ProposalUnavailable, 0, "the platform does not answer")
	}
	if current.Generation != pr.in.Base {
		return append(p.learn(current), p.end(r.Tag, msg.ProposalConflict, current.Generation,
			fmt.Sprintf("generation %d is in force, the proposal started from %d", current.Generation, pr.in.Base))...)
	}
	pr.version = r.Object.Version
	pr.record = p.nextRecord(pr.in, current)
	if pr.record.Previous == nil {
		return p.write(now, r.Tag, pr)
	}
	pr.phase = phaseAuditing
	return []msg.Effect{p.audit(now, r.Tag, *pr.record.Previous)}
}

func (p *Part) nextRecord(in msg.ConfigProposed, current msg.ConfigRecord) msg.ConfigRecord {
	rec := msg.ConfigRecord{
		Generation: current.Generation + 1,
		Author:     in.Author,
		At:         p.wall.UTC(),
		Manifest:   string(in.Manifest),
		Digest:     digestOf(string(in.Manifest)),
	}
	if current.Generation > 0 {
		change := current.Change()
		rec.Previous = &change
	}
	return rec
}

// audit creates the audit object of a change; that it exists is as good.
func (p *Part) audit(now msg.Time, tag uint64, change msg.ConfigChange) msg.Effect {
	name := fmt.Sprintf("%020d", change.Generation)
	return p.store.Put(now, tag, msg.KindAudit, name, change, 0, now+writeFor)
}

func (p *Part) onPreviousAudited(now msg.Time, pr *proposal, r store.Result) []msg.Effect {
	if r.Status != msg.CallOK && r.Status != msg.CallConflict {
		return p.end(r.Tag, msg.ProposalUnavailable, 0, "the audit of the change before could not be kept")
	}
	return p.write(now, r.Tag, pr)
}

func (p *Part) write(now msg.Time, tag uint64, pr *proposal) []msg.Effect {
	pr.phase = phaseWriting
	return []msg.Effect{p.store.Put(now, tag, msg.KindConfig, currentName, pr.record, pr.version, pr.started+writeFor)}
}

func (p *Part) onWritten(now msg.Time, pr *proposal, r store.Result) []msg.Effect {
	switch r.Status {
	case msg.CallOK:
	case msg.CallConflict:
		return p.end(r.Tag, msg.ProposalConflict, p.record.Generation, "another change came first")
	case msg.CallUnknown:
		return p.end(r.Tag, msg.ProposalUnknown, 0, "the platform's answer was lost")
	case msg.CallRejected:
		return p.end(r.Tag, msg.ProposalInvalid, 0, "the platform refused the manifest, it may be too large")
	default:
		return p.end(r.Tag, msg.ProposalUnavailable, 0, "the platform does not take writes")
	}
	effs := p.learn(pr.record)
	effs = append(effs, answer(pr.in, msg.ProposalWritten, pr.record.Generation, "")...)
	auditTag := p.nextTag
	p.nextTag++
	effs = append(effs, p.audit(now, auditTag, pr.record.Change()))
	pr.phase = phaseCollecting
	pr.collectEnd = now + collectFor
	return append(effs, p.collect(now, r.Tag, pr)...)
}

// pollProposals asks again for missing acknowledgements.
func (p *Part) pollProposals(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	for _, tag := range p.proposalTags() {
		pr := p.proposals[tag]
		switch {
		case pr.phase != phaseCollecting:
		case now >= pr.collectEnd:
			effs = append(effs, p.end(tag, msg.ProposalWritten, pr.record.Generation,
				"written, but a majority of the entry daemons has not confirmed it yet")...)
		case now >= pr.asked+collectInterval:
			effs = append(effs, p.collect(now, tag, pr)...)
		}
	}
	return effs
}

func (p *Part) collect(now msg.Time, tag uint64, pr *proposal) []msg.Effect {
	if len(pr.acks)+1 >= p.peers.majority() {
		return p.end(tag, msg.ProposalAccepted, pr.record.Generation, "")
	}
	pr.asked = now
	if pr.nonce == 0 {
		pr.nonce = p.rand.Uint64() | 1
	}
	return p.ask(pr.nonce)
}

func (p *Part) onAcknowledged(now msg.Time, from msg.HostID, m msg.ConfigHeld) []msg.Effect {
	for _, tag := range p.proposalTags() {
		pr := p.proposals[tag]
		if pr.phase != phaseCollecting || pr.nonce != m.Nonce || m.Generation < pr.record.Generation || now >= pr.collectEnd {
			continue
		}
		if !slices.Contains(pr.acks, from) {
			pr.acks = append(pr.acks, from)
		}
		if len(pr.acks)+1 >= p.peers.majority() {
			return p.end(tag, msg.ProposalAccepted, pr.record.Generation, "")
		}
	}
	return nil
}

func (p *Part) proposalTags() []uint64 {
	tags := make([]uint64, 0, len(p.proposals))
	for tag := range p.proposals {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	return tags
}

func (p *Part) end(tag uint64, status msg.ProposalStatus, g msg.Generation, reason string) []msg.Effect {
	pr := p.proposals[tag]
	delete(p.proposals, tag)
	line := logLine(msg.LogInfo, "proposal answered", generationAttr(g),
		msg.Attr{Key: "author", Value: pr.in.Author}, msg.Attr{Key: "status", Value: status.String()})
	return append([]msg.Effect{line}, answer(pr.in, status, g, reason)...)
}

func answer(in msg.ConfigProposed, status msg.ProposalStatus, g msg.Generation, reason string) []msg.Effect {
	return []msg.Effect{msg.ConfigAnswered{Call: in.Call, Status: status, Generation: g, Reason: reason}}
}

func logLine(level msg.LogLevel, text string, attrs ...msg.Attr) msg.Effect {
	return msg.LogLine{Part: partName, Level: level, Text: text, Attrs: attrs}
}

func generationAttr(g msg.Generation) msg.Attr {
	return msg.Attr{Key: "generation", Value: strconv.FormatUint(uint64(g), 10)}
}
