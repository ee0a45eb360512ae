package request

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// targetNotices is what a target has stated about itself.
type targetNotices struct {
	last msg.TargetNotice
	// leaving reports whether the process has ever stated that it is leaving. It does not
	// return.
	leaving bool
	// firsthand reports whether it stated so to this daemon.
	firsthand bool
	// refusedUntil is when the time ends for which it wants no requests from this daemon.
	refusedUntil msg.Time
	// askedAt is when the latest attempt was sent whose response was taken into
	// account. Responses may overtake each other.
	askedAt msg.Time
}

// applyNotice records what a target states in the response to an attempt. The head of a
// response is taken into account once.
func (s *stepContext) applyNotice(a *attempt, n *msg.TargetNotice) {
	if n == nil || a.noticed {
		return
	}
	a.noticed = true
	t := a.target
	if a.process != t.StartedMS {
		return // An earlier process of the target may have sent the response.
	}
	if n.Leaving && !t.notices.leaving {
		t.notices.leaving = true
		t.notices.firsthand = true
		s.exchange.sendSoon()
	}
	if n.RetryAfter > 0 {
		t.notices.refusedUntil = max(t.notices.refusedUntil, s.now+n.RetryAfter)
	}
	if a.sentAt < t.notices.askedAt {
		return
	}
	previous := t.notices.last
	t.notices.last, t.notices.askedAt = *n, a.sentAt
	s.learnLimit(t, n.RequestLimit, s.now, true)
	s.logNotice(t, previous, *n)
}

// logNotice logs what a target did not state before.
func (s *stepContext) logNotice(t *target, previous, n msg.TargetNotice) {
	if n.Leaving && !previous.Leaving {
		s.noticed(t, msg.NoticeLeaving, "target states that it is leaving")
	}
	if n.RetryAfter > 0 {
		s.noticed(t, msg.NoticeRetryAfter, "target wants no requests for a while", attr("for_ms", formatMS(n.RetryAfter)))
	}
	if n.RequestLimit != previous.RequestLimit {
		limit := strconv.FormatFloat(n.RequestLimit, 'f', 2, 64)
		s.noticed(t, msg.NoticeRequestLimit, "target changes its limit", attr("per_s", limit))
	}
}

func (s *stepContext) noticed(t *target, kind msg.NoticeKind, text string, attrs ...msg.Attr) {
	s.raise(msg.TargetNoticed{Target: t.Target, Kind: kind})
	s.log(text, append([]msg.Attr{attr("target", t.Target)}, attrs...)...)
}

// leavingTargets lists the targets that have told this daemon that they are leaving.
func (s *stepContext) leavingTargets() []msg.LeavingTarget {
	var list []msg.LeavingTarget
	for id, t := range s.targets {
		if t.notices.leaving && t.notices.firsthand {
			list = append(list, msg.LeavingTarget{Target: id, StartedMS: t.StartedMS})
		}
	}
	slices.SortFunc(list, func(a, b msg.LeavingTarget) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// onLeaving applies what targets have told another daemon.
func (s *stepContext) onLeaving(list []msg.LeavingTarget) {
	for _, l := range list {
		if t := s.targets[l.Target]; t != nil && t.StartedMS == l.StartedMS {
			t.notices.leaving = true
		}
	}
}
