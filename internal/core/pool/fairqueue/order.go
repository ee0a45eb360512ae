package fairqueue

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

const (
	// overShareCredits is the lead over the fair share above which an account
	// counts as over its fair share. Leads are given in multiples of the credit,
	// which is the service of a fair share over creditDuration.
	overShareCredits = 0.5
	// maxLeadCredits limits the lead over the fair share, so that an account that
	// used spare capacity does not wait long afterwards.
	maxLeadCredits = 2
	// reservedShare is the fraction of a target's capacity that is reserved for
	// accounts that are not over their fair share.
	reservedShare = 0.3
)

// Heads returns up to n requests in the order in which they are to be served,
// at most one of each account. Accounts at their limit of concurrent requests
// are left out. It also limits the lead of the other accounts to maxLeadCredits
// and updates whether they are over their fair share. The slice is valid until
// the next call.
func (q *Queue) Heads(now msg.Time, n int) []*Item {
	if q.queued == 0 {
		return nil
	}
	q.advance(now)
	q.heads = q.heads[:0]
	credit := q.credit(nil)
	for _, a := range q.sorted {
		it := a.head()
		if it == nil || a.atConcurrencyLimit() {
			continue
		}
		a.normalizedService = min(a.normalizedService, q.fairService+maxLeadCredits*credit)
		a.overShare = a.normalizedService > q.fairService+overShareCredits*credit
		q.heads = q.insertHead(q.heads, it, n)
	}
	return q.heads
}

// insertHead inserts a request into the sorted heads and keeps the first n of
// them.
func (q *Queue) insertHead(heads []*Item, it *Item, n int) []*Item {
	i := len(heads)
	for i > 0 && q.servedBefore(it, heads[i-1]) {
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

// servedBefore reports whether a is served before b. Accounts within their fair
// share come first, then the more urgent class, then the account with less
// normalized service.
func (q *Queue) servedBefore(a, b *Item) bool {
	if q.cfg.Policy == PolicyFIFO {
		return a.seq < b.seq
	}
	x, y := a.account, b.account
	if x.overShare != y.overShare {
		return y.overShare
	}
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return x.normalizedService < y.normalizedService
}

// Share returns the fraction of a target's capacity that is available to a
// request.
func (q *Queue) Share(it *Item) float64 {
	if q.cfg.Policy == PolicyFIFO || it.account == nil || !it.account.overShare {
		return 1
	}
	return 1 - reservedShare
}

// activeWeight returns the sum of the weights of the active accounts.
func (q *Queue) activeWeight() float64 {
	var sum float64
	for _, a := range q.sorted {
		if a.active() {
			sum += a.weight
		}
	}
	return sum
}

// totalServiceRate returns the rate of service of all accounts through all
// entries, in tokens per second.
func (q *Queue) totalServiceRate() float64 {
	sum := q.localTotal.perSecond()
	for _, a := range q.sorted {
		sum += a.remoteRate
	}
	return sum
}

// head returns the account's next request: the oldest one of its most urgent
// class, or nil if none waits.
func (a *account) head() *Item {
	for class := range a.waiting {
		if w := a.waiting[class]; len(w) > 0 {
			return w[0]
		}
	}
	return nil
}

// atConcurrencyLimit reports whether the account runs as many requests as its
// limit allows.
func (a *account) atConcurrencyLimit() bool {
	return a.limits.Concurrent > 0 && a.running >= a.limits.Concurrent
}

// Begin removes a request from the queue because it starts, and charges its
// expected service.
func (q *Queue) Begin(it *Item) {
	acc := it.account
	if acc == nil {
		return
	}
	q.Remove(it)
	acc.running++
	acc.throughput.add(q.advancedTo, it.Tokens)
	acc.charge(it.Tokens)
	q.localTotal.add(it.Tokens)
	q.addFairService(it.Tokens)
}

// BeginUnqueued charges the expected service of a request that starts without
// having waited in the queue.
func (q *Queue) BeginUnqueued(now msg.Time, a Account, tokens float64) {
	q.advance(now)
	acc := q.account(a)
	acc.running++
	acc.charge(tokens)
	q.localTotal.add(tokens)
	q.addFairService(tokens)
}

// End records that a request of an account no longer runs. The correction is
// its actual service less the service that was charged when it began, in
// tokens.
func (q *Queue) End(id msg.AccountID, correction float64) {
	acc := q.accounts[id]
	if acc == nil {
		return
	}
	acc.running = max(acc.running-1, 0)
	acc.charge(correction)
	acc.localRate.sum = max(acc.localRate.sum, 0)
	q.localTotal.add(correction)
	q.addFairService(correction)
	q.localTotal.sum = max(q.localTotal.sum, 0)
}
