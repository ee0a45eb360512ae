package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// budgetMargin is the fraction of the permitted retries that is used. The rest
// is a reserve because the time windows of the daemons and of the platform do
// not start at the same time.
const budgetMargin = 0.7

// retryBudget limits the retries at a service. Each daemon limits itself to a
// share of the retries permitted to the deployment, computed from its own
// requests. The sum therefore stays within the limit even while the daemons
// can't communicate.
type retryBudget struct {
	// requests and retries hold the times of the requests and retries within
	// RetryWindow, in order.
	requests, retries []msg.Time
}

func (s *stepContext) retryBudget(id msg.ServiceID) *retryBudget {
	b := s.retryBudgets[id]
	if b == nil {
		b = &retryBudget{}
		s.retryBudgets[id] = b
	}
	return b
}

// countRequest records the arrival of a request.
func (b *retryBudget) countRequest(now msg.Time, limits msg.DirectLimits) {
	b.requests = append(dropBefore(b.requests, now-limits.RetryWindow), now)
}

// trySpend records a retry and returns true if the budget permits it; otherwise
// it returns false.
func (b *retryBudget) trySpend(now msg.Time, limits msg.DirectLimits, daemons int) bool {
	b.requests = dropBefore(b.requests, now-limits.RetryWindow)
	b.retries = dropBefore(b.retries, now-limits.RetryWindow)
	slack := limits.RetrySlack / float64(max(daemons, 1)+1)
	allowed := budgetMargin * (limits.RetryRatio*float64(len(b.requests)) + slack)
	if float64(len(b.retries)+1) > allowed {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// refund takes back the last retry, which did not reach a target.
func (b *retryBudget) refund() {
	b.retries = b.retries[:max(len(b.retries)-1, 0)]
}

// dropBefore returns a sorted list of instants without those before from.
func dropBefore(list []msg.Time, from time.Duration) []msg.Time {
	i := 0
	for i < len(list) && list[i] < from {
		i++
	}
	return list[i:]
}
