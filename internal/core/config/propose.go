package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// writeFor bounds the writing of a change, also of its lost answers.
	writeFor = 8 * time.Second
	// collectFor bounds the wait for acknowledgements.
	collectFor = 5 * time.Second
	// collectInterval is the time between two rounds of asking for them.
	collectInterval = 200 * time.Millisecond
)

// phase is the step that a change is at.
type phase uint8

const (
	phaseReading phase = iota
	phaseAuditing
	phaseStoringText
	phaseWriting
	phaseCollecting
)

// change is a write of the configuration object on its way: an operator's
// proposal, or a new electorate.
type change struct {
	// proposal is nil where only the electorate changes.
	proposal *msg.ConfigProposed
	phase    phase
	started  msg.Time
	version  msg.Version
	next     storedConfig
	// doc is the proposal's manifest, decoded.
	doc document
	// newText says that the text becomes the snapshot, and oldText names the
	// snapshot that nothing refers to after this change.
	newText bool
	oldText string

	asked      msg.Time
	collectEnd msg.Time
	nonce      uint64
	acks       []msg.HostID
}

func (p *Component) propose(now msg.Time, in msg.ConfigProposed) []msg.Effect {
	doc := newDocument(string(in.Manifest))
	if _, err := doc.decode(); err != nil {
		return []msg.Effect{answer(in, msg.ProposalInvalid, 0, err.Error())}
	}
	return p.begin(&change{proposal: &in, doc: doc, started: now})
}

// begin reads the configuration object, on which the change builds.
func (p *Component) begin(c *change) []msg.Effect {
	tag := p.nextTag
	p.nextTag++
	p.changes[tag] = c
	return []msg.Effect{p.store.Get(tag, msg.KindConfig, currentName)}
}

func (p *Component) onChangeResult(now msg.Time, r store.Result) []msg.Effect {
	c, ok := p.changes[r.Tag]
	if !ok {
		return nil
	}
	switch c.phase {
	case phaseReading:
		return p.onBase(now, c, r)
	case phaseAuditing:
		return p.onPreviousAudited(now, c, r)
	case phaseStoringText:
		return p.onTextStored(now, c, r)
	case phaseWriting:
		return p.onWritten(now, c, r)
	}
	return nil
}

// onBase prepares the next record from the present one.
func (p *Component) onBase(now msg.Time, c *change, r store.Result) []msg.Effect {
	var current storedConfig
	switch r.Status {
	case msg.CallOK:
		if err := json.Unmarshal(r.Object.Value, &current); err != nil {
			return p.end(r.Tag, msg.ProposalUnavailable, 0, "the stored configuration can't be decoded")
		}
	case msg.CallNotFound:
	default:
		return p.end(r.Tag, msg.ProposalUnavailable, 0, "the platform does not answer")
	}
	effs := p.learnStored(current)
	if c.proposal != nil && current.Generation != c.proposal.Base {
		reason := fmt.Sprintf("generation %d is in force, the proposal started from %d", current.Generation, c.proposal.Base)
		return append(effs, p.end(r.Tag, msg.ProposalConflict, current.Generation, reason)...)
	}
	if current.Seq != p.record.Seq {
		// The base's text is still being read.
		return append(effs, p.end(r.Tag, msg.ProposalUnavailable, current.Generation, "the present configuration is being read, try again")...)
	}
	c.version = r.Object.Version
	p.prepare(c, current)
	if c.proposal != nil && c.next.Previous != nil {
		c.phase = phaseAuditing
		return append(effs, p.audit(now, r.Tag, *c.next.Previous))
	}
	return append(effs, p.storeText(now, r.Tag, c)...)
}

// prepare fills in the next record.
func (p *Component) prepare(c *change, current storedConfig) {
	c.next = current
	c.next.Seq++
	c.next.VoterSets = p.nextElectorates(current)
	c.newText = false
	c.oldText = ""
	if c.proposal == nil {
		c.doc = p.doc
		return
	}
	c.next.Generation++
	c.next.Author = c.proposal.Author
	c.next.At = p.wall.UTC()
	c.next.Digest = c.doc.digest
	if current.Generation > 0 {
		previous := current.Change()
		c.next.Previous = &previous
	}
	p.prepareEdits(c, current)
}

// prepareEdits adds the change to the kept edits, or makes its text the new
// snapshot where they grow too many.
func (p *Component) prepareEdits(c *change, current storedConfig) {
	edits := slices.Clone(current.Edits)
	if current.Seq > 0 && c.next.Digest != current.Digest {
		edits = append(edits, p.doc.editTo(c.doc))
	}
	c.next.Edits = tail(edits, maxStoredEdits, maxStoredSize)
	snapshot := current.Snapshot.Digest
	reachable := snapshot == c.next.Digest || lastFrom(c.next.Edits, snapshot) >= 0
	if current.Seq > 0 && reachable {
		return
	}
	c.newText = true
	c.oldText = current.Snapshot.Name
	c.next.Snapshot = textRef{Name: fmt.Sprintf("%s/%s/%d", p.cfg.Self, p.cfg.Incarnation, p.nextTag), Digest: c.next.Digest}
	p.nextTag++
	c.next.Edits = tail(edits, maxStoredEdits/2, maxStoredSize/2)
}

func (p *Component) onPreviousAudited(now msg.Time, c *change, r store.Result) []msg.Effect {
	if r.Status != msg.CallOK && r.Status != msg.CallConflict {
		return p.end(r.Tag, msg.ProposalUnavailable, 0, "the audit of the change before could not be kept")
	}
	return p.storeText(now, r.Tag, c)
}

// storeText keeps a new snapshot before anything refers to it.
func (p *Component) storeText(now msg.Time, tag uint64, c *change) []msg.Effect {
	if !c.newText {
		return p.write(now, tag, c)
	}
	c.phase = phaseStoringText
	text := storedText{Manifest: c.doc.text}
	return []msg.Effect{p.store.Put(now, tag, msg.KindConfigText, c.next.Snapshot.Name, text, 0, c.started+writeFor)}
}

func (p *Component) onTextStored(now msg.Time, c *change, r store.Result) []msg.Effect {
	switch r.Status {
	case msg.CallOK:
		return p.write(now, r.Tag, c)
	case msg.CallRejected:
		return p.end(r.Tag, msg.ProposalInvalid, 0, "the platform refused the manifest, it may be too large")
	}
	return p.end(r.Tag, msg.ProposalUnavailable, 0, "the platform does not take writes")
}

func (p *Component) write(now msg.Time, tag uint64, c *change) []msg.Effect {
	c.phase = phaseWriting
	return []msg.Effect{p.store.Put(now, tag, msg.KindConfig, currentName, c.next, c.version, c.started+writeFor)}
}

func (p *Component) onWritten(now msg.Time, c *change, r store.Result) []msg.Effect {
	switch r.Status {
	case msg.CallOK:
	case msg.CallConflict:
		return p.startOver(now, r.Tag, c)
	case msg.CallUnknown:
		return p.end(r.Tag, msg.ProposalUnknown, 0, "the platform's answer was lost")
	default:
		return p.end(r.Tag, msg.ProposalUnavailable, 0, "the platform does not take writes")
	}
	effs := p.adopt(c.next.ConfigHead, c.doc)
	if c.proposal != nil {
		effs = append(effs, answer(*c.proposal, msg.ProposalWritten, c.next.Generation, ""))
		auditTag := p.nextTag
		p.nextTag++
		effs = append(effs, p.audit(now, auditTag, c.next.Change()))
	}
	c.phase = phaseCollecting
	c.collectEnd = now + collectFor
	return append(effs, p.collect(now, r.Tag, c)...)
}

// startOver reads the object again: the write that came first may have been
// one of the electorate only.
func (p *Component) startOver(now msg.Time, tag uint64, c *change) []msg.Effect {
	var effs []msg.Effect
	if c.newText {
		effs = append(effs, p.store.Get(tagRemove, msg.KindConfigText, c.next.Snapshot.Name))
	}
	if c.proposal == nil || now >= c.started+writeFor {
		return append(effs, p.end(tag, msg.ProposalConflict, p.record.Generation, "another change came first")...)
	}
	delete(p.changes, tag)
	c.phase = phaseReading
	return append(effs, p.begin(c)...)
}

// audit creates the audit object of a change; that it exists is as good.
func (p *Component) audit(now msg.Time, tag uint64, ch msg.ConfigChange) msg.Effect {
	return p.store.Put(now, tag, msg.KindAudit, fmt.Sprintf("%020d", ch.Generation), ch, 0, now+writeFor)
}

// end answers a change's author and forgets the change.
func (p *Component) end(tag uint64, status msg.ProposalStatus, g msg.Generation, reason string) []msg.Effect {
	c := p.changes[tag]
	delete(p.changes, tag)
	if c.proposal == nil {
		return []msg.Effect{logLine(msg.LogDebug, "electorate written", msg.Attr{Key: "status", Value: status.String()})}
	}
	line := logLine(msg.LogInfo, "proposal answered", generationAttr(g),
		msg.Attr{Key: "author", Value: c.proposal.Author}, msg.Attr{Key: "status", Value: status.String()})
	return []msg.Effect{line, answer(*c.proposal, status, g, reason)}
}

func answer(in msg.ConfigProposed, status msg.ProposalStatus, g msg.Generation, reason string) msg.Effect {
	return msg.AnswerConfigProposal{Call: in.Call, Status: status, Generation: g, Reason: reason}
}
