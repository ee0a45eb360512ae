package config

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// maxStoredEdits and maxStoredSize bound the edits in the configuration
	// object, which every watching daemon reads at each change.
	maxStoredEdits = 32
	maxStoredSize  = 24 << 10
	// electorateDelay is how long the wished electorate must stand unchanged
	// before it is written, and rankDelay what each next daemon waits besides.
	electorateDelay = 5 * time.Second
	rankDelay       = 5 * time.Second
)

// pollChanges asks again for missing acknowledgements.
func (p *Component) pollChanges(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	for _, tag := range p.changeTags() {
		c := p.changes[tag]
		switch {
		case c.phase != phaseCollecting:
		case now >= c.collectEnd:
			effs = append(effs, p.end(tag, msg.ProposalWritten, c.next.Generation,
				"written, but not yet confirmed by a majority of the entry daemons that vouch for it")...)
		case now >= c.asked+collectInterval:
			effs = append(effs, p.collect(now, tag, c)...)
		}
	}
	return effs
}

// collect asks all electorates of a change whether they hold it.
func (p *Component) collect(now msg.Time, tag uint64, c *change) []msg.Effect {
	if c.nonce == 0 {
		c.nonce = p.rand.Uint64() | 1
		c.acks = append(c.acks, p.cfg.Self)
	}
	if effs := p.endIfAccepted(tag, c); effs != nil {
		return effs
	}
	c.asked = now
	var ask []msg.HostID
	for _, set := range c.next.VoterSets {
		for _, h := range set {
			if !slices.Contains(ask, h) && !slices.Contains(c.acks, h) {
				ask = append(ask, h)
			}
		}
	}
	return p.ask(c.nonce, ask)
}

func (p *Component) onAcknowledged(now msg.Time, from msg.HostID, m msg.ConfigQueryReply) []msg.Effect {
	var effs []msg.Effect
	for _, tag := range p.changeTags() {
		c := p.changes[tag]
		if c.phase != phaseCollecting || c.nonce != m.Nonce || m.Config < c.next.Seq || now >= c.collectEnd {
			continue
		}
		if !slices.Contains(c.acks, from) {
			c.acks = append(c.acks, from)
		}
		effs = append(effs, p.endIfAccepted(tag, c)...)
	}
	return effs
}

// endIfAccepted ends a change that a majority of each electorate holds.
func (p *Component) endIfAccepted(tag uint64, c *change) []msg.Effect {
	for _, set := range c.next.VoterSets {
		if !majority(set, c.acks) {
			return nil
		}
	}
	p.accepted = max(p.accepted, c.next.Seq)
	effs := p.end(tag, msg.ProposalAccepted, c.next.Generation, "")
	if c.oldText != "" {
		effs = append(effs, p.store.Get(tagRemove, msg.KindConfigText, c.oldText))
	}
	return effs
}

// removeText removes a snapshot that was read for it. A daemon that still
// looks for it reads the configuration object again.
func (p *Component) removeText(now msg.Time, r store.Result) []msg.Effect {
	if r.Op != store.OpGet || r.Status != msg.CallOK || r.Object.Name == p.kept.Snapshot.Name {
		return nil
	}
	return []msg.Effect{p.store.Delete(now, tagRemove, msg.KindConfigText, r.Object.Name, r.Object.Version)}
}

func (p *Component) changeTags() []uint64 {
	tags := make([]uint64, 0, len(p.changes))
	for tag := range p.changes {
		tags = append(tags, tag)
	}
	slices.Sort(tags)
	return tags
}

// nextElectorates returns the sets that must hold the next record: those that
// may still confirm an older one, and the wished one.
func (p *Component) nextElectorates(current storedConfig) [][]msg.HostID {
	sets := slices.Clone(current.VoterSets)
	if n := len(sets); n > 0 && p.accepted == current.Seq {
		sets = sets[n-1:]
	}
	wished := p.wishedElectorate()
	if n := len(sets); n == 0 || !slices.Equal(sets[n-1], wished) {
		sets = append(sets, wished)
	}
	return sets
}

// wishedElectorate is the set that the host list asks for.
func (p *Component) wishedElectorate() []msg.HostID {
	if len(p.group.roots) == 0 {
		return []msg.HostID{p.cfg.Self}
	}
	wished := slices.Clone(p.group.roots)
	slices.Sort(wished)
	return wished
}

// renewElectorate writes the wished electorate when it differs from the
// record's for a while. One daemon does so; the next ones stand by.
func (p *Component) renewElectorate(now msg.Time) []msg.Effect {
	rank := slices.Index(p.group.roots, p.cfg.Self)
	if rank < 0 || p.record.Seq == 0 || len(p.changes) > 0 || slices.Equal(p.electorate(), p.wishedElectorate()) {
		return nil
	}
	if now < p.group.rootsAt+electorateDelay+time.Duration(rank)*rankDelay {
		return nil
	}
	// Not again before the others had their turn.
	p.group.rootsAt = now
	return p.begin(&change{started: now})
}
