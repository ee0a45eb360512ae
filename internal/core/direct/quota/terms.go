// Package quota decides which requests of client accounts are within their quotas, which
// hold for all entry daemons together.
//
// It is designed for up to thousands of accounts, of which a few are large and may send
// many times their quota, and for requests that differ a hundredfold in cost, so that a
// single one may take most of a burst. A few daemons hold each account's quota (package
// sharedrate). A [Holder] decides at a holder, and an [Asker] asks holders for the requests
// of one daemon. A message for each request keeps the sum exact. What is denied is
// remembered, so that a flood of denied requests costs few messages.
package quota

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// maxHolders is the largest number of daemons that hold an account's quota.
	maxHolders = 3
	// debtPart is the part of the tolerance that holders may grant beyond their burst.
	// It makes up for what flows over at one holder while another is short. excessPart
	// is a further part for requests that are larger than the burst. The rest covers the
	// time in which daemons disagree about the holders.
	debtPart   = 0.4
	excessPart = 0.1
	// targetPart and limitPart are the parts of the tolerance that the target and the
	// limit of the use in a window lie above the quota.
	targetPart = 0.4
	limitPart  = 0.7
	// adjustTime is the time in which the bucket of an account that asks for more would
	// fill by what its use in the window is below the target.
	adjustTime = 2 * time.Second
	// minDebt is the debt, as a part of the burst, with which several daemons hold a
	// quota. With less, one holder must see all requests of the account.
	minDebt = 0.3
	// maxSinglePart is the part of a holder's capacity, besides its debt, that a request
	// may need to be granted by one holder alone.
	maxSinglePart = 0.7
	// maxFairPart limits the level that short requests have to leave to long ones that
	// were denied, as a part of the capacity. A bucket that had to be full would waste
	// what flows over until the next request.
	maxFairPart = 0.9
)

// Cost returns what a request counts as.
func Cost(q *msg.AccountQuota, promptTokens, maxTokens int) float64 {
	switch {
	case !q.ByTokens:
		return 1
	case promptTokens <= 0 && maxTokens <= 0:
		return q.PlainCost
	}
	return float64(promptTokens + maxTokens)
}

// terms are the terms of one holder of a quota.
type terms struct {
	// holders is the number of holders.
	holders int
	// perSecond and capacity are those of the bucket. Its level may fall to -debt, and
	// after a request that is larger than the burst to -debt-excess.
	perSecond, capacity, debt, excess float64
	// window is the length over which use is limited; zero if it is not limited. target
	// is the use that an account that asks for more is led to, and limit the largest.
	window        time.Duration
	target, limit float64
}

// rate returns the rate at which the bucket fills. What the quota allows in a window,
// rate and burst, may be used in each: an account that has used less gets more than its
// rate, and one that always asks for more a steady rate.
func (t *terms) rate(used float64) float64 {
	if t.window == 0 {
		return t.perSecond
	}
	return max(t.perSecond, (t.target-used)/adjustTime.Seconds())
}

// withinLimit reports whether the use in the window allows a grant.
func (t *terms) withinLimit(used, cost float64) bool {
	return t.window == 0 || used+cost <= t.limit
}

// termsOf returns the terms of each holder. The sum of what the holders grant in a
// window stays within what [msg.DirectLimits] allows.
func termsOf(q *msg.AccountQuota, l *msg.DirectLimits) terms {
	burst := max(q.Burst, q.PlainCost) // A quota without a burst allows single requests.
	allowed := q.PerSecond*l.QuotaWindow.Seconds() + burst
	tolerance := l.QuotaOverage*allowed + l.QuotaSlack
	debt := debtPart * tolerance
	n := 1
	if debt >= minDebt*burst {
		n = maxHolders
	}
	share := float64(n)
	return terms{
		window: l.QuotaWindow, target: (allowed + targetPart*tolerance) / share, limit: (allowed + limitPart*tolerance) / share,
		holders: n, perSecond: q.PerSecond / share, capacity: burst / share,
		debt: debt / share, excess: excessPart * tolerance / share,
	}
}

// partial reports whether a request is so large that several holders have to grant it
// together. One that is larger than the burst is never inside the quota. A full holder
// grants it if the tolerance allows it.
func (t *terms) partial(cost float64) bool {
	burst := t.capacity * float64(t.holders)
	return t.holders > 1 && cost <= burst && cost > t.debt+maxSinglePart*t.capacity
}

// need returns the level at which a request is granted: that at which it leaves the debt
// allowed, or a full bucket if that is not enough. It returns false if the request never
// fits.
func (t *terms) need(cost float64) (float64, bool) {
	if cost > t.capacity+t.debt+t.excess {
		return 0, false
	}
	return min(cost-t.debt, t.capacity), true
}

// needFair is like need while requests of the given cost of the same account were denied
// lately. Short requests then need the same level as long ones. Otherwise they would
// keep the level too low for those.
func (t *terms) needFair(cost, denied float64) (float64, bool) {
	need, ok := t.need(cost)
	if fair, fits := t.need(denied); fits {
		need = max(need, min(fair, maxFairPart*t.capacity))
	}
	return need, ok
}
