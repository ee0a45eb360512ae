package idempotency

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// verdict is what the ledger says about a wanted claim.
type verdict uint8

const (
	// verdictGrant means that the key is free.
	verdictGrant verdict = iota
	// verdictSettle means that an earlier request has the key.
	verdictSettle
	// verdictReread means that the known record may be out of date.
	verdictReread
	// verdictWait means that this process is about to free the key.
	verdictWait
)

// judgeQueue settles the queued claims that can be settled without a write
// and returns those to be granted by one.
func (m *Manager) judgeQueue(s *shard) ([]*claim, []msg.Effect) {
	var grants []*claim
	var effs []msg.Effect
	taken := make(map[keyID]bool)
	for _, c := range slices.Clone(s.queue) {
		v, status, answer := m.judge(s, c)
		if v == verdictGrant && taken[c.key] {
			v, status = verdictSettle, msg.ClaimRunning
		}
		switch v {
		case verdictGrant:
			taken[c.key] = true
			grants = append(grants, c)
		case verdictReread:
			s.wantRead = true
		case verdictSettle:
			effs = append(effs, m.settle(c, status, answer)...)
			s.remove(c)
			m.forget(c)
		case verdictWait:
		}
	}
	return grants, effs
}

func (m *Manager) judge(s *shard, c *claim) (verdict, msg.ClaimStatus, *msg.StoredResponse) {
	if m.cfg.Mutation == MutateIgnoreRecords {
		return verdictGrant, 0, nil
	}
	if own := m.byKey[c.key]; own != nil {
		return judgeOwn(own, c)
	}
	r, found := s.ledger.records[c.key]
	if found {
		return m.judgeRecord(r, c)
	}
	if _, ok := s.ledger.expired[c.mark]; ok {
		return verdictSettle, msg.ClaimExpired, nil
	}
	return verdictGrant, 0, nil
}

// judgeOwn compares a wanted claim with one that this process holds.
func judgeOwn(own, c *claim) (verdict, msg.ClaimStatus, *msg.StoredResponse) {
	switch {
	case own.ending != nil && own.ending.release:
		return verdictWait, 0, nil
	case own.body != c.body:
		return verdictSettle, msg.ClaimMismatch, nil
	case own.ending == nil:
		return verdictSettle, msg.ClaimRunning, nil
	case own.ending.state == stateDone:
		return verdictSettle, msg.ClaimDone, own.ending.answer
	}
	return verdictSettle, msg.ClaimUnknown, nil
}

// judgeRecord compares a wanted claim with a record of the ledger. Records
// that are done are final; others are believed only when read after the
// request arrived.
func (m *Manager) judgeRecord(r record, c *claim) (verdict, msg.ClaimStatus, *msg.StoredResponse) {
	if r.State != stateDone && !c.reread {
		return verdictReread, 0, nil
	}
	switch {
	case r.Body != c.body:
		return verdictSettle, msg.ClaimMismatch, nil
	case r.State == stateDone:
		return verdictSettle, msg.ClaimDone, r.Answer
	case r.State == stateUnknown || m.lost(r):
		return verdictSettle, msg.ClaimUnknown, nil
	}
	return verdictSettle, msg.ClaimRunning, nil
}
