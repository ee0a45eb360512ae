package idempotency

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// decision is what happens to a queued claim according to the ledger.
type decision uint8

const (
	// decisionGrant means that the key is free.
	decisionGrant decision = iota
	// decisionSettle means that an earlier request used the key, so that the
	// claim is settled without being granted.
	decisionSettle
	// decisionReread means that the ledger must be read first, because the cached
	// record may be out of date.
	decisionReread
	// decisionWait means that the claim stays queued, because this process is
	// about to release the key.
	decisionWait
)

// decideQueued settles the queued claims that can be settled without a write.
// It returns the claims that the next write is to grant.
func (m *Manager) decideQueued(s *shard) ([]*claim, []msg.Effect) {
	var grants []*claim
	var effs []msg.Effect
	grantedKeys := make(map[keyID]bool)
	for _, c := range slices.Clone(s.queue) {
		dec, status, resp := m.decide(s, c)
		if dec == decisionGrant && grantedKeys[c.key] {
			dec, status = decisionSettle, msg.ClaimRunning
		}
		switch dec {
		case decisionGrant:
			grantedKeys[c.key] = true
			grants = append(grants, c)
		case decisionReread:
			s.needsRead = true
		case decisionSettle:
			effs = append(effs, m.settle(c, status, resp)...)
			s.remove(c)
			m.discard(c)
		case decisionWait:
		}
	}
	return grants, effs
}

// decide returns the decision on a queued claim. With decisionSettle it also
// returns the claim's status and, with ClaimDone, the stored response.
func (m *Manager) decide(s *shard, c *claim) (decision, msg.ClaimStatus, *msg.StoredResponse) {
	if m.cfg.Mutation == MutateIgnoreRecords {
		return decisionGrant, 0, nil
	}
	if own := m.byKey[c.key]; own != nil {
		return decideAgainstOwn(own, c)
	}
	r, found := s.ledger.records[c.key]
	if found {
		return m.decideAgainstRecord(r, c)
	}
	if _, ok := s.ledger.expired[c.fingerprint]; ok {
		return decisionSettle, msg.ClaimExpired, nil
	}
	return decisionGrant, 0, nil
}

// decideAgainstOwn decides a claim whose key this process already claimed.
func decideAgainstOwn(own, c *claim) (decision, msg.ClaimStatus, *msg.StoredResponse) {
	switch {
	case own.completion != nil && own.completion.release:
		return decisionWait, 0, nil
	case own.bodyID != c.bodyID:
		return decisionSettle, msg.ClaimMismatch, nil
	case own.completion == nil:
		return decisionSettle, msg.ClaimRunning, nil
	case own.completion.state == stateDone:
		return decisionSettle, msg.ClaimDone, own.completion.response
	}
	return decisionSettle, msg.ClaimUnknown, nil
}

// decideAgainstRecord decides a claim whose key has a record in the ledger.
// Records in stateDone are final; others count only if the ledger was read
// after the claim was queued.
func (m *Manager) decideAgainstRecord(r record, c *claim) (decision, msg.ClaimStatus, *msg.StoredResponse) {
	if r.State != stateDone && !c.reread {
		return decisionReread, 0, nil
	}
	switch {
	case r.Body != c.bodyID:
		return decisionSettle, msg.ClaimMismatch, nil
	case r.State == stateDone:
		return decisionSettle, msg.ClaimDone, r.Response
	case r.State == stateUnknown || m.holderGone(r):
		return decisionSettle, msg.ClaimUnknown, nil
	}
	return decisionSettle, msg.ClaimRunning, nil
}
