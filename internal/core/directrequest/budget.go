package directrequest

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// budgetMargin is the part of the deployment's allowance that is used: the
// windows of the daemons and of the platform do not begin together.
const budgetMargin = 0.7

// retryBudget bounds the arrivals at a service beyond the first of each request.
// Each daemon holds itself to a part of the deployment's allowance by its own
// requests, so the sum keeps to it while the daemons can't hear each other.
type retryBudget struct {
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

// countRequest counts a request.
func (b *retryBudget) countRequest(now msg.Time, limits msg.DirectLimits) {
	b.requests = append(dropBefore(b.requests, now-limits.RetryWindow), now)
}

// trySpend counts a repeat and reports true where it is within the allowance.
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

// dropBefore drops the instants before a time.
func dropBefore(list []msg.Time, from time.Duration) []msg.Time {
	i := 0
	for i < len(list) && list[i] < from {
		i++
	}
	return list[i:]
}
