package fairqueue

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Local returns this entry's service rate and waiting tokens of each account,
// to be shared with the other entries. The prefix distinguishes the pools.
func (q *Queue) Local(now msg.Time, prefix string) []msg.SectionEntry {
	q.advance(now)
	var out []msg.SectionEntry
	for _, a := range q.sorted {
		if a.own.value() < minServiceMeasured && a.queued == 0 {
			continue
		}
		out = append(out, msg.SectionEntry{
			Key:    prefix + string(a.id),
			Values: []float32{float32(a.own.value()), float32(a.waitingTokens())},
		})
	}
	return out
}

// Remote takes the sum of an account's values over the other entries.
func (q *Queue) Remote(now msg.Time, id msg.AccountID, weight float64, values []float32) {
	if len(values) < 2 {
		return
	}
	q.advance(now)
	acc := q.accounts[id]
	if acc == nil {
		acc = q.account(Account{ID: id, Weight: weight})
		acc.counter = q.virtual
	}
	acc.remote = float64(values[0])
	acc.remoteWaiting = float64(values[1])
	acc.remoteAt = now
}
