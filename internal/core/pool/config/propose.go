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
	// writeTimeout limits the time for writing a change, including the
	// resolution of writes whose response was lost.
	writeTimeout = 8 * time.Second
	// collectTimeout limits the time for collecting acknowledgements.
	collectTimeout = 5 * time.Second
	// collectInterval is the time between two queries for them.
	collectInterval = 200 * time.Millisecond
)

// phase is the step that a change has reached. Each phase but the last ends
// with the result of a call to the object API.
type phase uint8

const (
	phaseReading phase = iota
	phaseStoringAudit
	phaseStoringManifest
	phaseWriting
	phaseCollecting
)

// change is a write of the configuration object in progress: an operator's
// proposal, or an update of the voter set only.
type change struct {
	// proposal is nil if only the voter set changes.
	proposal *msg.ConfigProposed
	phase    phase
	started  msg.Time
	version  msg.Version
	next     storedConfig
	// doc is the proposal's manifest, decoded.
	doc document
	// newSnapshot reports that the manifest becomes the snapshot.
	// obsoleteSnapshot is the name of the snapshot to which nothing refers
	// after this change.
	newSnapshot      bool
	obsoleteSnapshot string

	queriedAt    msg.Time
	collectUntil msg.Time
	nonce        uint64
	acknowledged []msg.HostID
}

func (c *Component) propose(now msg.Time, in msg.ConfigProposed) []msg.Effect {
	doc := newDocument(string(in.Manifest))
	if _, err := doc.decode(); err != nil {
		return []msg.Effect{answerProposal(in, msg.ProposalInvalid, 0, err.Error())}
	}
	return c.startChange(&change{proposal: &in, doc: doc, started: now})
}

// startChange starts a change by reading the configuration object on which it
// is based.
func (c *Component) startChange(ch *change) []msg.Effect {
	tag := c.nextTag
	c.nextTag++
	c.changes[tag] = ch
	return []msg.Effect{c.store.Get(tag, msg.KindConfig, currentName)}
}

func (c *Component) onChangeResult(now msg.Time, r store.Result) []msg.Effect {
	ch, ok := c.changes[r.Tag]
	if !ok {
		return nil
	}
	switch ch.phase {
	case phaseReading:
		return c.onBaseRead(now, ch, r)
	case phaseStoringAudit:
		return c.onPreviousAuditStored(now, ch, r)
	case phaseStoringManifest:
		return c.onManifestStored(now, ch, r)
	case phaseWriting:
		return c.onWritten(now, ch, r)
	}
	return nil
}

// onBaseRead prepares the next record from the stored one.
func (c *Component) onBaseRead(now msg.Time, ch *change, r store.Result) []msg.Effect {
	var current storedConfig
	switch r.Status {
	case msg.CallOK:
		if err := json.Unmarshal(r.Object.Value, &current); err != nil {
			return c.endChange(r.Tag, msg.ProposalUnavailable, 0, "the stored configuration can't be decoded")
		}
	case msg.CallNotFound:
	default:
		return c.endChange(r.Tag, msg.ProposalUnavailable, 0, "the platform does not answer")
	}
	effs := c.adoptStored(current)
	if ch.proposal != nil && current.Generation != ch.proposal.Base {
		reason := fmt.Sprintf("generation %d is in force, the proposal started from %d", current.Generation, ch.proposal.Base)
		return append(effs, c.endChange(r.Tag, msg.ProposalConflict, current.Generation, reason)...)
	}
	if current.Seq != c.record.Seq {
		// The manifest of the base is still being read.
		return append(effs, c.endChange(r.Tag, msg.ProposalUnavailable, current.Generation, "the present configuration is being read, try again")...)
	}
	ch.version = r.Object.Version
	c.prepare(ch, current)
	if ch.proposal != nil && ch.next.Previous != nil {
		ch.phase = phaseStoringAudit
		return append(effs, c.putAudit(now, r.Tag, *ch.next.Previous))
	}
	return append(effs, c.storeManifest(now, r.Tag, ch)...)
}

// prepare sets the record that the change is to write.
func (c *Component) prepare(ch *change, current storedConfig) {
	ch.next = current
	ch.next.Seq++
	ch.next.VoterSets = c.nextVoterSets(current)
	ch.newSnapshot = false
	ch.obsoleteSnapshot = ""
	if ch.proposal == nil {
		ch.doc = c.doc
		return
	}
	ch.next.Generation++
	ch.next.Author = ch.proposal.Author
	ch.next.At = c.wall.UTC()
	ch.next.Digest = ch.doc.digest
	if current.Generation > 0 {
		previous := current.Change()
		ch.next.Previous = &previous
	}
	c.prepareEdits(ch, current)
}

// prepareEdits appends the change to the stored edits. If they become too many
// to reach the new manifest from the snapshot, the new manifest becomes the
// snapshot.
func (c *Component) prepareEdits(ch *change, current storedConfig) {
	edits := slices.Clone(current.Edits)
	if current.Seq > 0 && ch.next.Digest != current.Digest {
		edits = append(edits, c.doc.editTo(ch.doc))
	}
	ch.next.Edits = lastWithin(edits, maxStoredEdits, maxStoredSize)
	snapshot := current.Snapshot.Digest
	reachable := snapshot == ch.next.Digest || lastIndexFrom(ch.next.Edits, snapshot) >= 0
	if current.Seq > 0 && reachable {
		return
	}
	ch.newSnapshot = true
	ch.obsoleteSnapshot = current.Snapshot.Name
	ch.next.Snapshot = manifestRef{Name: fmt.Sprintf("%s/%s/%d", c.cfg.Self, c.cfg.Incarnation, c.nextTag), Digest: ch.next.Digest}
	c.nextTag++
	ch.next.Edits = lastWithin(edits, maxStoredEdits/2, maxStoredSize/2)
}

func (c *Component) onPreviousAuditStored(now msg.Time, ch *change, r store.Result) []msg.Effect {
	if r.Status != msg.CallOK && r.Status != msg.CallConflict {
		return c.endChange(r.Tag, msg.ProposalUnavailable, 0, "the audit of the change before could not be kept")
	}
	return c.storeManifest(now, r.Tag, ch)
}

// storeManifest stores a new snapshot before anything refers to it.
func (c *Component) storeManifest(now msg.Time, tag uint64, ch *change) []msg.Effect {
	if !ch.newSnapshot {
		return c.write(now, tag, ch)
	}
	ch.phase = phaseStoringManifest
	text := storedManifest{Manifest: ch.doc.text}
	return []msg.Effect{c.store.Put(now, tag, msg.KindConfigText, ch.next.Snapshot.Name, text, 0, ch.started+writeTimeout)}
}

func (c *Component) onManifestStored(now msg.Time, ch *change, r store.Result) []msg.Effect {
	switch r.Status {
	case msg.CallOK:
		return c.write(now, r.Tag, ch)
	case msg.CallRejected:
		return c.endChange(r.Tag, msg.ProposalInvalid, 0, "the platform refused the manifest, it may be too large")
	}
	return c.endChange(r.Tag, msg.ProposalUnavailable, 0, "the platform does not take writes")
}

func (c *Component) write(now msg.Time, tag uint64, ch *change) []msg.Effect {
	ch.phase = phaseWriting
	return []msg.Effect{c.store.Put(now, tag, msg.KindConfig, currentName, ch.next, ch.version, ch.started+writeTimeout)}
}

func (c *Component) onWritten(now msg.Time, ch *change, r store.Result) []msg.Effect {
	switch r.Status {
	case msg.CallOK:
	case msg.CallConflict:
		return c.retryChange(now, r.Tag, ch)
	case msg.CallUnknown:
		return c.endChange(r.Tag, msg.ProposalUnknown, 0, "the platform's answer was lost")
	default:
		return c.endChange(r.Tag, msg.ProposalUnavailable, 0, "the platform does not take writes")
	}
	effs := c.adopt(ch.next.ConfigHead, ch.doc)
	if ch.proposal != nil {
		effs = append(effs, answerProposal(*ch.proposal, msg.ProposalWritten, ch.next.Generation, ""))
		auditTag := c.nextTag
		c.nextTag++
		effs = append(effs, c.putAudit(now, auditTag, ch.next.Change()))
	}
	ch.phase = phaseCollecting
	ch.collectUntil = now + collectTimeout
	return append(effs, c.requestAcknowledgements(now, r.Tag, ch)...)
}

// retryChange starts the change again after a conflict. The conflicting write
// may have changed only the voter set.
func (c *Component) retryChange(now msg.Time, tag uint64, ch *change) []msg.Effect {
	var effs []msg.Effect
	if ch.newSnapshot {
		effs = append(effs, c.store.Get(tagDeleteManifest, msg.KindConfigText, ch.next.Snapshot.Name))
	}
	if ch.proposal == nil || now >= ch.started+writeTimeout {
		return append(effs, c.endChange(tag, msg.ProposalConflict, c.record.Generation, "another change came first")...)
	}
	delete(c.changes, tag)
	ch.phase = phaseReading
	return append(effs, c.startChange(ch)...)
}

// putAudit creates the audit object of a change. It does not matter whether
// this or an earlier write created it.
func (c *Component) putAudit(now msg.Time, tag uint64, ch msg.ConfigChange) msg.Effect {
	return c.store.Put(now, tag, msg.KindAudit, fmt.Sprintf("%020d", ch.Generation), ch, 0, now+writeTimeout)
}

// endChange reports the result of a change to its author and removes the
// change.
func (c *Component) endChange(tag uint64, status msg.ProposalStatus, g msg.Generation, reason string) []msg.Effect {
	ch := c.changes[tag]
	delete(c.changes, tag)
	if ch.proposal == nil {
		return []msg.Effect{logLine(msg.LogDebug, "update of voter set ended", msg.Attr{Key: "status", Value: status.String()})}
	}
	line := logLine(msg.LogInfo, "proposal answered", generationAttr(g),
		msg.Attr{Key: "author", Value: ch.proposal.Author}, msg.Attr{Key: "status", Value: status.String()})
	return []msg.Effect{line, answerProposal(*ch.proposal, status, g, reason)}
}

func answerProposal(in msg.ConfigProposed, status msg.ProposalStatus, g msg.Generation, reason string) msg.Effect {
	return msg.AnswerConfigProposal{Call: in.Call, Status: status, Generation: g, Reason: reason}
}
