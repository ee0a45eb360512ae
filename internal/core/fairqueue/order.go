package fairqueue

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

const (
	// overCredit is the lead over the fair share, relative to the credit, from
	// which an account counts as over it.
	overCredit = 0.5
	// debtCredit bounds that lead, so that an account that used spare capacity
	// is not held back for long.
	debtCredit = 2
	// reserved is the part of a target's capacity that is kept for accounts
	// below their fair share.
	reserved = 0.3
)

// Heads returns up to n requests that are next in turn, at most one of each
// account. The slice is valid until the next call.
func (q *Queue) Heads(now msg.Time, n int) []*Item {
	if q.queued == 0 {
		return nil
	}
	q.advance(now)
	q.heads = q.heads[:0]
	credit := q.credit(nil)
	for _, a := range q.sorted {
		it := a.head()
		if it == nil || a.atLimit() {
			continue
		}
		a.counter = min(a.counter, q.virtual+debtCredit*credit)
		a.over = a.counter > q.virtual+overCredit*credit
		q.heads = q.insertHead(q.heads, it, n)
	}
	return q.heads
}

// insertHead inserts a request into the ordered heads and keeps n of them.
func (q *Queue) insertHead(heads []*Item, it *Item, n int) []*Item {
	i := len(heads)
	for i > 0 && q.before(it, heads[i-1]) {
		i--
	}
	if i >= n {
		return heads
	}
	heads = append(heads, nil)
	copy(heads[i+1:], heads[i:])
	heads[i] = it
	return heads[:min(len(heads), n)]
}

// before reports whether a is served before b.
func (q *Queue) before(a, b *Item) bool {
	if q.cfg.Policy == PolicyFIFO {
		return a.order < b.order
	}
	x, y := a.account, b.account
	if x.over != y.over {
		return y.over
	}
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return x.counter < y.counter
}

// Share is the part of a target's capacity that a request may fill.
func (q *Queue) Share(it *Item) float64 {
	if q.cfg.Policy == PolicyFIFO || it.account == nil || !it.account.over {
		return 1
	}
	return 1 - reserved
}

// weights is the sum of the weights of the accounts that take part.
func (q *Queue) weights() float64 {
	var sum float64
	for _, a := range q.sorted {
		if a.active() {
			sum += a.weight
		}
	}
	return sum
}

// service is the rate of service of all accounts through all entries.
func (q *Queue) service() float64 {
	sum := q.total.value()
	for _, a := range q.sorted {
		sum += a.remote
	}
	return sum
}

func (a *account) head() *Item {
	for class := range a.waiting {
		if w := a.waiting[class]; len(w) > 0 {
			return w[0]
		}
	}
	return nil
}

func (a *account) atLimit() bool {
	return a.limits.Concurrent > 0 && a.running >= a.limits.Concurrent
}

// Begin takes a request out of the queue and charges its expected service.
func (q *Queue) Begin(it *Item) {
	acc := it.account
	if acc == nil {
		return
	}
	q.Remove(it)
	acc.running++
	acc.drained.add(q.last, it.Tokens)
	acc.charge(it.Tokens)
	q.total.add(it.Tokens)
	q.serve(it.Tokens)
}

// BeginAside charges a request that did not wait in the queue.
func (q *Queue) BeginAside(now msg.Time, a Account, tokens float64) {
	q.advance(now)
	acc := q.account(a)
	acc.running++
	acc.charge(tokens)
	q.total.add(tokens)
	q.serve(tokens)
}

// End takes note that a request of an account runs no longer. The correction
// is its service less what was charged at its begin.
func (q *Queue) End(id msg.AccountID, correction float64) {
	acc := q.accounts[id]
	if acc == nil {
		return
	}
	acc.running = max(acc.running-1, 0)
	acc.charge(correction)
	acc.own.sum = max(acc.own.sum, 0)
	q.total.add(correction)
	q.serve(correction)
	q.total.sum = max(q.total.sum, 0)
}
