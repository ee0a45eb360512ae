package fairqueue

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// LocalEntries returns the service rate of each account through this entry and
// its waiting tokens, for the other entries. Accounts without either are left
// out. The prefix of the keys distinguishes the pools.
func (q *Queue) LocalEntries(now msg.Time, prefix string) []msg.SectionEntry {
	q.advance(now)
	var out []msg.SectionEntry
	for _, a := range q.sorted {
		if a.localRate.perSecond() < minMeasuredRate && a.queued == 0 {
			continue
		}
		out = append(out, msg.SectionEntry{
			Key:    prefix + string(a.id),
			Values: []float32{float32(a.localRate.perSecond()), float32(a.totalWaitingTokens())},
		})
	}
	return out
}

// ApplyRemote applies the values of an account, summed over the other entries:
// its service rate and its waiting tokens.
func (q *Queue) ApplyRemote(now msg.Time, id msg.AccountID, weight float64, values []float32) {
	if len(values) < 2 {
		return
	}
	q.advance(now)
	acc := q.accounts[id]
	if acc == nil {
		acc = q.account(Account{ID: id, Weight: weight})
		acc.normalizedService = q.fairService
	}
	acc.remoteRate = float64(values[0])
	acc.remoteAt = now
}
