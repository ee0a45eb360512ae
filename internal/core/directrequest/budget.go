package directrequest

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// budgetMargin is the part of the deployment's allowance that is used: the
// windows of the daemons and of the platform do not begin together.
const budgetMargin = 0.7

// budget bounds the arrivals at a service beyond the first of each request.
// Each daemon holds itself to a part of the deployment's allowance by its own
// requests, so the sum keeps to it while the daemons can't hear each other.
type budget struct {
	requests, repeats []msg.Time
}

func (s *step) budget(id msg.ServiceID) *budget {
	b := s.budgets[id]
	if b == nil {
		b = &budget{}
		s.budgets[id] = b
	}
	return b
}

// arrived counts a request.
func (b *budget) arrived(now msg.Time, limits msg.DirectLimits) {
	b.requests = append(since(b.requests, now-limits.RetryWindow), now)
}

// spend counts a repeat and reports true where it is within the allowance.
func (b *budget) spend(now msg.Time, limits msg.DirectLimits, daemons int) bool {
	b.requests = since(b.requests, now-limits.RetryWindow)
	b.repeats = since(b.repeats, now-limits.RetryWindow)
	slack := limits.RetrySlack / float64(max(daemons, 1)+1)
	allowed := budgetMargin * (limits.RetryRatio*float64(len(b.requests)) + slack)
	if float64(len(b.repeats)+1) > allowed {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

// since drops the instants before a time.
func since(list []msg.Time, from time.Duration) []msg.Time {
	i := 0
	for i < len(list) && list[i] < from {
		i++
	}
	return list[i:]
}
