package config

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// maxStoredEdits and maxStoredSize limit the edits in the configuration
	// object, which every watching daemon reads after each change.
	maxStoredEdits = 32
	maxStoredSize  = 24 << 10
	// voterSetDelay is how long the desired voter set must have been unchanged
	// before it is written. rankDelay is the additional delay of each next root
	// in order of rank.
	voterSetDelay = 5 * time.Second
	rankDelay     = 5 * time.Second
)

// advanceChanges resends the queries for missing acknowledgements, and ends
// the changes for which the time to collect them is over.
func (c *Component) advanceChanges(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	for _, tag := range c.sortedChangeTags() {
		ch := c.changes[tag]
		switch {
		case ch.phase != phaseCollecting:
		case now >= ch.collectUntil:
			effs = append(effs, c.endChange(tag, msg.ProposalWritten, ch.next.Generation,
				"written, but not yet confirmed by a majority of the entry daemons that vouch for it")...)
		case now >= ch.queriedAt+collectInterval:
			effs = append(effs, c.requestAcknowledgements(now, tag, ch)...)
		}
	}
	return effs
}

// requestAcknowledgements asks the voters of all voter sets of a change
// whether they hold it.
func (c *Component) requestAcknowledgements(now msg.Time, tag uint64, ch *change) []msg.Effect {
	if ch.nonce == 0 {
		ch.nonce = c.rand.Uint64() | 1
		ch.acknowledged = append(ch.acknowledged, c.cfg.Self)
	}
	if effs := c.endIfAccepted(tag, ch); effs != nil {
		return effs
	}
	ch.queriedAt = now
	var missing []msg.HostID
	for _, set := range ch.next.VoterSets {
		for _, h := range set {
			if !slices.Contains(missing, h) && !slices.Contains(ch.acknowledged, h) {
				missing = append(missing, h)
			}
		}
	}
	return c.sendQuery(ch.nonce, missing)
}

func (c *Component) recordAcknowledgement(now msg.Time, from msg.HostID, m msg.ConfigQueryReply) []msg.Effect {
	var effs []msg.Effect
	for _, tag := range c.sortedChangeTags() {
		ch := c.changes[tag]
		if ch.phase != phaseCollecting || ch.nonce != m.Nonce || m.Config < ch.next.Seq || now >= ch.collectUntil {
			continue
		}
		if !slices.Contains(ch.acknowledged, from) {
			ch.acknowledged = append(ch.acknowledged, from)
		}
		effs = append(effs, c.endIfAccepted(tag, ch)...)
	}
	return effs
}

// endIfAccepted ends a change once a majority of each voter set holds it.
func (c *Component) endIfAccepted(tag uint64, ch *change) []msg.Effect {
	for _, set := range ch.next.VoterSets {
		if !majority(set, ch.acknowledged) {
			return nil
		}
	}
	c.accepted = max(c.accepted, ch.next.Seq)
	effs := c.endChange(tag, msg.ProposalAccepted, ch.next.Generation, "")
	if ch.obsoleteSnapshot != "" {
		effs = append(effs, c.store.Get(tagDeleteManifest, msg.KindConfigText, ch.obsoleteSnapshot))
	}
	return effs
}

// deleteManifest deletes a snapshot, whose version was read for this purpose. A
// daemon that still tries to read the snapshot reads the configuration object
// again.
func (c *Component) deleteManifest(now msg.Time, r store.Result) []msg.Effect {
	if r.Op != store.OpGet || r.Status != msg.CallOK || r.Object.Name == c.lastStored.Snapshot.Name {
		return nil
	}
	return []msg.Effect{c.store.Delete(now, tagDeleteManifest, msg.KindConfigText, r.Object.Name, r.Object.Version)}
}

func (c *Component) sortedChangeTags() []uint64 {
	tags := make([]uint64, 0, len(c.changes))
	for tag := range c.changes {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	return tags
}

// nextVoterSets returns the voter sets of which a majority must hold the next
// record: those that may still confirm an older record, and the desired one.
func (c *Component) nextVoterSets(current storedConfig) [][]msg.HostID {
	sets := slices.Clone(current.VoterSets)
	if n := len(sets); n > 0 && c.accepted == current.Seq {
		sets = sets[n-1:]
	}
	desired := c.desiredVoterSet()
	if n := len(sets); n == 0 || !slices.Equal(sets[n-1], desired) {
		sets = append(sets, desired)
	}
	return sets
}

// desiredVoterSet returns the voter set that follows from the host list.
func (c *Component) desiredVoterSet() []msg.HostID {
	if len(c.peers.roots) == 0 {
		return []msg.HostID{c.cfg.Self}
	}
	desired := slices.Clone(c.peers.roots)
	slices.Sort(desired)
	return desired
}

// updateVoterSet writes the desired voter set if it has differed from the
// record's for some time. The first root in order of rank does so, and each
// next one only if those before it have failed to.
func (c *Component) updateVoterSet(now msg.Time) []msg.Effect {
	rank := slices.Index(c.peers.roots, c.cfg.Self)
	if rank < 0 || c.record.Seq == 0 || len(c.changes) > 0 || slices.Equal(c.voterSet(), c.desiredVoterSet()) {
		return nil
	}
	if now < c.peers.rootsAt+voterSetDelay+time.Duration(rank)*rankDelay {
		return nil
	}
	// The other roots get their time to try before this daemon tries again.
	c.peers.rootsAt = now
	return c.startChange(&change{started: now})
}
