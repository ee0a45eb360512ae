package request

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// limitedTargets returns the targets to which a request could be sent if their limits
// permitted it.
func (s *stepContext) limitedTargets(r *request) []*target {
	var list []*target
	for _, t := range s.services[r.service] {
		if t.usable(s.now) && !slices.Contains(r.exclude, t.Target) && s.fitsOrigin(r, t) && !s.permits(t) {
			list = append(list, t)
		}
	}
	return list
}

// waitForShare lets a request wait if this daemon's shares of the targets' limits are
// expected to permit it within its objective, after those that wait already. It answers
// a load near the limits: a share is a request in some seconds, and the callers that
// come between two of them would be refused while the next one goes unused. It reports
// whether the request waits. One that has been sent before does not.
func (s *stepContext) waitForShare(r *request, limited []*target) bool {
	if r.attemptsSent > 0 {
		return false
	}
	if r.shareBy == 0 {
		wait, ok := s.shareWait(limited, s.waitingForShare(r.service))
		if !ok || wait > r.route.Objective {
			return false
		}
		r.shareBy = min(s.now+r.route.Objective, r.deadline)
	}
	if s.now >= r.shareBy {
		return false
	}
	s.hold(r, "waits for a share of a limit")
	return true
}

// shareWait returns the time after which the shares of some targets are expected to
// permit one request after those ahead of it. It returns false if they never do.
func (s *stepContext) shareWait(limited []*target, ahead int) (time.Duration, bool) {
	var level, perSecond float64
	for _, t := range limited {
		level += max(t.limit.bucket.Level(s.now), 0)
		perSecond += s.limitMembers.TargetShare(t.Target, s.self.Host, t.limit.perSecond)
	}
	if perSecond == 0 {
		return 0, false
	}
	missing := max(float64(ahead+1)-level, 0)
	return time.Duration(missing / perSecond * float64(time.Second)), true
}

// waitingForShare returns the number of requests of a service that wait for a share.
func (s *stepContext) waitingForShare(id msg.ServiceID) int {
	n := 0
	for _, r := range s.held {
		if r.service == id && r.shareBy > 0 {
			n++
		}
	}
	return n
}
