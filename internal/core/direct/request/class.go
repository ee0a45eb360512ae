package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// class divides the work at engines into that which can be in time and that which gives
// way to it.
//
// It answers a load that exceeds what the engines can do: prompts whose first token can only
// be late then get the time that is left over, and do not make others late. Engines
// admit more urgent requests first, so the class determines the priority of an attempt.
type class uint8

const (
	foreground class = iota
	background
	classes
)

// String returns the class's name in logs.
func (c class) String() string { return [...]string{"foreground", "background"}[c] }

// priority returns the priority at engines of an attempt of the class.
func (c class) priority(r *request) int {
	if c == background {
		return maxPriority
	}
	return r.priority()
}

// isLate reports whether a first token that is expected after the given time misses the
// route's objective. A route without one has no late requests.
func (s *stepContext) isLate(r *request, expected time.Duration) bool {
	return r.route.Objective > 0 && s.now-r.askedAt+expected > r.route.Objective
}

// latenessCause returns why a request whose first token arrives now is late.
func (s *stepContext) latenessCause(r *request) msg.LatenessCause {
	switch {
	case !s.isLate(r, 0):
		return msg.LatenessNone
	case r.placedLate:
		return msg.LatenessExpected
	}
	return msg.LatenessUnexpected
}

// canOnlyBeLate reports whether the first token of a prompt misses its objective at a
// candidate, although the prompt is judged as a typical one if it is longer: the length of
// a prompt alone does not make it background work.
func (s *stepContext) canOnlyBeLate(r *request, c candidate) bool {
	return s.isLate(r, c.expected-s.excessPrefill(r, c))
}

// moveToBackground makes a candidate one that waits for the background work of its target
// as well.
func (s *stepContext) moveToBackground(c *candidate) {
	c.class = background
	wait := s.backlog(c.target, background)
	c.wait += wait
	c.response += wait
	c.expected += wait
	c.cost += wait
}

// pending returns the whole expected duration of the prefills of all classes; see
// pendingPrefill.
func (t *target) pending(now msg.Time) time.Duration {
	return t.pendingPrefill(now, foreground) + t.pendingPrefill(now, background)
}
