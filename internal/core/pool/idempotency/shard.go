package idempotency

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// shard is this process's copy of one ledger object with the claims and
// completions that are to be written to it.
type shard struct {
	index   uint64
	ledger  *ledger
	version msg.Version
	// loaded is false while the object must be read before it is written.
	loaded bool
	// busy is true while a call is in flight.
	busy bool
	// needsRead requests a read although the object is loaded.
	needsRead bool
	retryAt   msg.Time
	backoff   time.Duration
	// queue holds the claims that are not in a write, in order of arrival.
	queue []*claim
	// completions holds the claims whose completion is to be written, in order
	// of arrival. It includes those of the write in flight.
	completions []*claim
	// writingClaims and writingCompletions are the claims and completions in
	// the write in flight; writingLedger is the ledger that it stores.
	writingClaims      []*claim
	writingCompletions []*claim
	writingLedger      *ledger
}

func newShard(index uint64) *shard { return &shard{index: index, ledger: newLedger()} }

func (s *shard) remove(c *claim) {
	s.queue = slices.DeleteFunc(s.queue, func(o *claim) bool { return o == c })
}

// hasWork reports whether a call is due. A completion that is not yet due waits
// for a write that a claim needs, which then carries it too.
func (s *shard) hasWork(now msg.Time) bool {
	if s.needsRead || len(s.queue) > 0 {
		return true
	}
	return slices.ContainsFunc(s.completions, func(c *claim) bool { return c.completion.dueAt <= now })
}

// advance reads or writes the shard's object if this is due and possible now.
func (m *Manager) advance(now msg.Time, s *shard) []msg.Effect {
	if s.busy || now < s.retryAt || !s.hasWork(now) {
		return nil
	}
	if !s.loaded || s.needsRead {
		return m.read(s)
	}
	grants, effs := m.decideQueued(s)
	if s.needsRead {
		return append(effs, m.read(s)...)
	}
	return append(effs, m.write(now, s, grants)...)
}

func (m *Manager) read(s *shard) []msg.Effect {
	s.busy, s.needsRead = true, false
	for _, c := range s.queue {
		c.reread = true
	}
	m.counts.Reads++
	return []msg.Effect{m.store.Get(s.index, msg.KindLedger, ledgerName(s.index))}
}

// write sends the granted claims and the waiting completions in one conditional
// write.
func (m *Manager) write(now msg.Time, s *shard, grants []*claim) []msg.Effect {
	next := s.ledger.clone()
	next.expire(m.wall)
	completions, changed := m.applyCompletions(s, next)
	changed = m.markOrphans(next) || changed
	next.shrink()
	size := next.size()
	var effs []msg.Effect
	for _, c := range grants {
		s.remove(c)
		if size += recordBytes; size > maxLedgerBytes {
			effs = append(effs, m.settle(c, msg.ClaimUnavailable, nil)...)
			m.discard(c)
			continue
		}
		c.phase = phaseWriting
		m.byKey[c.key] = c
		next.records[c.key] = m.newRecord(c)
		s.writingClaims = append(s.writingClaims, c)
	}
	if len(s.writingClaims) == 0 && !changed {
		m.finishCompletions(s, completions)
		return effs
	}
	s.busy, s.writingLedger, s.writingCompletions = true, next, completions
	m.counts.Writes++
	put := m.store.Put(now, s.index, msg.KindLedger, ledgerName(s.index), next.encode(), s.version, 0)
	return append(effs, put)
}

// newRecord returns the record of a claim in stateRunning.
func (m *Manager) newRecord(c *claim) record {
	return record{
		Key: c.key, Body: c.bodyID, Holder: m.self, Req: c.request.Req,
		State: stateRunning, At: m.wall.Unix(),
	}
}

// applyCompletions applies the waiting completions to the next ledger. It returns
// them and reports whether the ledger has to be written for them.
func (m *Manager) applyCompletions(s *shard, next *ledger) (applied []*claim, changed bool) {
	for _, c := range s.completions {
		done := c.completion
		r, found := next.records[c.key]
		own := found && r.Req == c.request.Req && r.Holder == m.self
		switch {
		case done.release && own:
			delete(next.records, c.key)
			changed = true
		case done.release:
			// The claim's record is not in the ledger, but a write with an unknown
			// result may still add it. Any other write makes that one fail.
			changed = changed || s.version == done.fenceVersion
		case own || !found:
			r = m.newRecord(c)
			r.State, r.Response = done.state, done.response
			next.records[c.key] = r
			changed = true
		}
	}
	return slices.Clone(s.completions), changed
}

// markOrphans sets the records in stateRunning of earlier processes on this host
// to stateUnknown and reports whether there were any.
func (m *Manager) markOrphans(next *ledger) bool {
	changed := false
	for k, r := range next.records {
		if r.State == stateRunning && r.Holder.Host == m.self.Host && r.Holder != m.self {
			r.State = stateUnknown
			next.records[k] = r
			changed = true
		}
	}
	return changed
}

// finishCompletions discards claims whose completions are stored or need no write.
func (m *Manager) finishCompletions(s *shard, done []*claim) {
	for _, c := range done {
		m.discard(c)
	}
	s.completions = slices.DeleteFunc(s.completions, func(c *claim) bool { return slices.Contains(done, c) })
}

func (m *Manager) onResult(now msg.Time, r store.Result) []msg.Effect {
	s := m.shards[r.Tag]
	s.busy = false
	if r.Op == store.OpGet {
		return m.onRead(now, s, r)
	}
	return m.onWritten(now, s, r)
}

func (m *Manager) onRead(now msg.Time, s *shard, r store.Result) []msg.Effect {
	switch r.Status {
	case msg.CallOK:
		l, err := decodeLedger(r.Object.Value)
		if err != nil {
			s.loaded = false
			s.retryLater(now)
			return []msg.Effect{msg.LogLine{Component: logComponent, Level: msg.LogError, Text: "ledger can't be decoded", Attrs: []msg.Attr{{Key: "object", Value: r.Object.Name}}}}
		}
		s.ledger, s.version, s.loaded = l, r.Object.Version, true
	case msg.CallNotFound:
		s.ledger, s.version, s.loaded = newLedger(), 0, true
	default:
		s.loaded = false
		s.retryLater(now)
		return nil
	}
	s.backoff = 0
	return m.advance(now, s)
}

func (m *Manager) onWritten(now msg.Time, s *shard, r store.Result) []msg.Effect {
	claims, completions, ifVersion := s.writingClaims, s.writingCompletions, s.version
	s.writingClaims, s.writingCompletions = nil, nil
	var effs []msg.Effect
	switch r.Status {
	case msg.CallOK:
		s.ledger, s.version, s.backoff = s.writingLedger, r.Object.Version, 0
		m.finishCompletions(s, completions)
		effs = m.onCommitted(s, claims)
	case msg.CallUnknown:
		s.loaded = false
		effs = m.releaseUncertain(s, claims, ifVersion)
		s.retryLater(now)
	case msg.CallConflict:
		s.loaded = false
		m.counts.Conflicts++
		m.requeue(s, claims)
	default:
		m.requeue(s, claims)
		s.retryLater(now)
	}
	s.writingLedger = nil
	return append(effs, m.advance(now, s)...)
}

// onCommitted grants the claims of a write that took effect. For claims whose
// request ended or whose deadline passed in the meantime, it queues the
// completion.
func (m *Manager) onCommitted(s *shard, claims []*claim) []msg.Effect {
	var effs []msg.Effect
	for _, c := range claims {
		if c.completion != nil {
			c.phase = phaseCompleting
			s.completions = append(s.completions, c)
			continue
		}
		c.phase = phaseGranted
		effs = append(effs, m.settle(c, msg.ClaimGranted, nil)...)
	}
	return effs
}

// requeue returns the claims of a write that had no effect to the head of the
// queue. Claims whose request ended or whose deadline passed in the meantime are
// discarded.
func (m *Manager) requeue(s *shard, claims []*claim) {
	var requeued []*claim
	for _, c := range claims {
		if c.completion != nil {
			m.discard(c)
			continue
		}
		c.phase = phaseQueued
		delete(m.byKey, c.key)
		requeued = append(requeued, c)
	}
	s.queue = append(requeued, s.queue...)
}

// releaseUncertain releases the claims of a write whose result is unknown and
// which may still take effect. Claims without a result are settled as unavailable,
// so that their requests do not run.
func (m *Manager) releaseUncertain(s *shard, claims []*claim, fenceVersion msg.Version) []msg.Effect {
	var effs []msg.Effect
	for _, c := range claims {
		if c.completion == nil {
			c.completion = &completion{release: true}
		}
		effs = append(effs, m.settle(c, msg.ClaimUnavailable, nil)...)
		c.completion.fenceVersion = fenceVersion
		c.phase = phaseCompleting
		s.completions = append(s.completions, c)
	}
	return effs
}

func (s *shard) retryLater(now msg.Time) {
	s.backoff = min(max(2*s.backoff, retryMin), retryMax)
	s.retryAt = now + s.backoff
}
