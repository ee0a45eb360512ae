package request

import (
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxUnconfirmed limits the unframed responses of a target that wait for a sign that
// its process is still running.
const maxUnconfirmed = 64

// clearCrashes records that an attempt has completed its request, so that neither the
// request nor the segments of its prompt caused earlier crashes. The end of an unframed
// response shows that only if the process is still running afterwards.
func (s *stepContext) clearCrashes(a *attempt, unframed bool) {
	if unframed {
		t := a.target
		t.unconfirmed = append(t.unconfirmed, endedAttempt{a, s.now})
		t.unconfirmed = t.unconfirmed[max(len(t.unconfirmed)-maxUnconfirmed, 0):]
		return
	}
	var segments []uint64
	for _, seg := range a.segments {
		segments = append(segments, seg.ID)
	}
	s.effects = append(s.effects, s.poison.ClearCrashes(s.now, a.fingerprint, segments...)...)
}

// confirmCompleted confirms the unframed responses that had ended at a target before
// it was sent an attempt to which it has responded.
func (s *stepContext) confirmCompleted(t *target, responded *attempt) {
	if responded.process != t.StartedMS {
		return
	}
	for len(t.unconfirmed) > 0 && t.unconfirmed[0].at < responded.sentAt {
		a := t.unconfirmed[0].attempt
		t.unconfirmed = t.unconfirmed[1:]
		if a.process == t.StartedMS {
			s.clearCrashes(a, false)
		}
	}
}

// takeUnconfirmed removes the attempts whose unframed responses had ended at a target
// that has gone down, and returns those that may have ended with it.
func (t *target) takeUnconfirmed(now msg.Time) []endedAttempt {
	list := t.unconfirmed
	t.unconfirmed = nil
	return slices.DeleteFunc(list, func(a endedAttempt) bool { return now-a.at > crashWindow })
}
