package idempotency

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// shard is one ledger object as this process knows it.
type shard struct {
	index   uint64
	ledger  *ledger
	version msg.Version
	// known is false while the object must be read before it is written.
	known bool
	// busy is true while a call is in flight.
	busy     bool
	wantRead bool
	retryAt  msg.Time
	backoff  time.Duration
	// queue holds claims without a write, in order of arrival.
	queue []*claim
	// endings holds completions without a write, in order of arrival.
	endings []*claim
	// writing and written are the claims and endings of the write in flight;
	// next is the ledger that it stores.
	writing []*claim
	written []*claim
	next    *ledger
}

func newShard(index uint64) *shard { return &shard{index: index, ledger: newLedger()} }

func (s *shard) remove(c *claim) {
	s.queue = slices.DeleteFunc(s.queue, func(o *claim) bool { return o == c })
}

// hasWork reports whether a call is due. Completions wait a while for claims
// whose write can carry them.
func (s *shard) hasWork(now msg.Time) bool {
	if s.wantRead || len(s.queue) > 0 {
		return true
	}
	return slices.ContainsFunc(s.endings, func(c *claim) bool { return c.ending.due <= now })
}

// advance does the shard's next step, if it can do one now.
func (m *Manager) advance(now msg.Time, s *shard) []msg.Effect {
	if s.busy || now < s.retryAt || !s.hasWork(now) {
		return nil
	}
	if !s.known || s.wantRead {
		return m.read(s)
	}
	grants, effs := m.judgeQueue(s)
	if s.wantRead {
		return append(effs, m.read(s)...)
	}
	return append(effs, m.write(now, s, grants)...)
}

func (m *Manager) read(s *shard) []msg.Effect {
	s.busy, s.wantRead = true, false
	for _, c := range s.queue {
		c.reread = true
	}
	m.counts.Reads++
	return []msg.Effect{m.store.Get(s.index, msg.KindLedger, objectName(s.index))}
}

// write sends the grants and the endings in one conditional write.
func (m *Manager) write(now msg.Time, s *shard, grants []*claim) []msg.Effect {
	next := s.ledger.clone()
	next.expire(m.wall)
	endings, changed := m.applyEndings(s, next)
	changed = m.markLost(next) || changed
	next.shrink()
	size := next.size()
	var effs []msg.Effect
	for _, c := range grants {
		s.remove(c)
		if size += recordBytes; size > maxLedgerBytes {
			effs = append(effs, m.settle(c, msg.ClaimUnavailable, nil)...)
			m.forget(c)
			continue
		}
		c.phase = phaseWriting
		m.byKey[c.key] = c
		next.records[c.key] = m.recordOf(c)
		s.writing = append(s.writing, c)
	}
	if len(s.writing) == 0 && !changed {
		m.endingsDone(s, endings)
		return effs
	}
	s.busy, s.next, s.written = true, next, endings
	m.counts.Writes++
	put := m.store.Put(now, s.index, msg.KindLedger, objectName(s.index), next.encode(), s.version, 0)
	return append(effs, put)
}

func (m *Manager) recordOf(c *claim) record {
	return record{
		Key: c.key, Body: c.body, Holder: m.self, Req: c.want.Req,
		State: stateRunning, At: m.wall.Unix(),
	}
}

// applyEndings applies the waiting completions and reports whether the ledger
// has to be written for them.
func (m *Manager) applyEndings(s *shard, next *ledger) (endings []*claim, changed bool) {
	for _, c := range s.endings {
		e := c.ending
		r, found := next.records[c.key]
		own := found && r.Req == c.want.Req && r.Holder == m.self
		switch {
		case e.release && own:
			delete(next.records, c.key)
			changed = true
		case e.release:
			// Any write makes a late one fail.
			changed = changed || s.version == e.fence
		case own || !found:
			r = m.recordOf(c)
			r.State, r.Answer = e.state, e.answer
			next.records[c.key] = r
			changed = true
		}
	}
	return slices.Clone(s.endings), changed
}

// markLost marks the claims of earlier processes of this host.
func (m *Manager) markLost(next *ledger) bool {
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

func (m *Manager) endingsDone(s *shard, done []*claim) {
	for _, c := range done {
		m.forget(c)
	}
	s.endings = slices.DeleteFunc(s.endings, func(c *claim) bool { return slices.Contains(done, c) })
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
			s.known = false
			s.later(now)
			return []msg.Effect{msg.LogLine{Component: logPart, Level: msg.LogError, Text: "ledger can't be decoded", Attrs: []msg.Attr{{Key: "object", Value: r.Object.Name}}}}
		}
		s.ledger, s.version, s.known = l, r.Object.Version, true
	case msg.CallNotFound:
		s.ledger, s.version, s.known = newLedger(), 0, true
	default:
		s.known = false
		s.later(now)
		return nil
	}
	s.backoff = 0
	return m.advance(now, s)
}

func (m *Manager) onWritten(now msg.Time, s *shard, r store.Result) []msg.Effect {
	writing, written, sentOn := s.writing, s.written, s.version
	s.writing, s.written = nil, nil
	var effs []msg.Effect
	switch r.Status {
	case msg.CallOK:
		s.ledger, s.version, s.backoff = s.next, r.Object.Version, 0
		m.endingsDone(s, written)
		effs = m.committed(s, writing)
	case msg.CallUnknown:
		s.known = false
		m.uncertain(s, writing, sentOn)
		s.later(now)
	case msg.CallConflict:
		s.known = false
		m.counts.Conflicts++
		m.requeue(s, writing)
	default:
		m.requeue(s, writing)
		s.later(now)
	}
	s.next = nil
	return append(effs, m.advance(now, s)...)
}

// committed grants the claims of a write that took effect. Claims that ended
// meanwhile go on to their completion.
func (m *Manager) committed(s *shard, writing []*claim) []msg.Effect {
	var effs []msg.Effect
	for _, c := range writing {
		if c.ending != nil {
			c.phase = phaseEnding
			s.endings = append(s.endings, c)
			continue
		}
		c.phase = phaseGranted
		effs = append(effs, m.settle(c, msg.ClaimGranted, nil)...)
	}
	return effs
}

// requeue takes back the claims of a write that had no effect.
func (m *Manager) requeue(s *shard, writing []*claim) {
	var again []*claim
	for _, c := range writing {
		if c.ending != nil {
			m.forget(c)
			continue
		}
		c.phase = phaseQueued
		delete(m.byKey, c.key)
		again = append(again, c)
	}
	s.queue = append(again, s.queue...)
}

// uncertain releases the claims of a write that may yet take effect. Their
// requests were told long before that nothing ran.
func (m *Manager) uncertain(s *shard, writing []*claim, fence msg.Version) {
	for _, c := range writing {
		if c.ending == nil {
			c.ending = &ending{release: true}
		}
		c.settled = true
		c.ending.fence = fence
		c.phase = phaseEnding
		s.endings = append(s.endings, c)
	}
}

func (s *shard) later(now msg.Time) {
	s.backoff = min(max(2*s.backoff, retryMin), retryMax)
	s.retryAt = now + s.backoff
}
