package directrequest

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// An attempt whose first token is overdue makes its target suspect: it may be
// stuck, dark or slow, or the answer was lost. The target then costs as much
// as the attempt is late, and is probed with a request now and then. A first
// token of any later attempt clears it.
const (
	// overdueAfter is how far past its expected first token an attempt makes
	// its target suspect.
	overdueAfter = 150 * time.Millisecond
	// probeFirst and probeMax bound the time between two probes.
	probeFirst = 500 * time.Millisecond
	probeMax   = 2 * time.Second
)

// overdue is how far an attempt's first token is past its time, if so far that
// chance does not explain it.
func (a *attempt) overdue(now msg.Time) time.Duration {
	late := now - a.since - a.expected
	if a.began || late <= overdueAfter {
		return 0
	}
	return late
}

// lost reports whether an attempt's answer is unlikely to come: it is overdue,
// and attempts that were sent later have begun.
func (t *target) lost(now msg.Time, a *attempt) bool {
	return a.since < t.servedSince() && a.overdue(now) > 0
}

// gone is lost beyond what an engine's order explains: more urgent requests
// overtake others, those of the same rank don't.
func (t *target) gone(now msg.Time, a *attempt) bool {
	overtaken := slices.Max(t.served[a.rank:]) > a.since
	return overtaken && a.overdue(now) > a.expected
}

// moveLost begins prompts anew elsewhere that a target will not hand out. A
// prompt that was read is no run; where no other target is better, or the
// budget is used up, the answer is waited for.
func (s *step) moveLost() {
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[id]
		if a.step == msg.StepPrefill && a.req != nil && a.req.sends < maxSends && a.target.gone(s.now, a) {
			s.move(a)
		}
	}
}

func (s *step) move(a *attempt) {
	r := a.req
	r.attempt = nil
	r.exclude = append(r.exclude, a.target.Target)
	before := len(s.effects)
	if ref := s.place(r); ref != nil {
		r.attempt = a
		r.exclude = r.exclude[:len(r.exclude)-1]
		return
	}
	a.req = nil
	a.target.outcome(s.now, false)
	// The driver ends the one before it begins the other.
	s.effects = slices.Insert(s.effects, before, msg.Effect(msg.CancelAttempt{Attempt: a.id, Reason: "its answer is lost"}))
	s.logRequest(r, "attempt given up",
		attr("attempt", a.id), attr("target", a.target.Target), attr("took_ms", ms(s.now-a.since)), attr("expected_ms", ms(a.expected)),
	)
}

// late is how far the oldest attempt is overdue that no later one overtook.
func (t *target) late(now msg.Time) time.Duration {
	var most time.Duration
	since := t.servedSince()
	for _, a := range t.open {
		if a.since >= since {
			most = max(most, a.overdue(now))
		}
	}
	return most
}

// suspicion is how late this daemon or another sees a target, unless it may be
// probed now.
func (s *step) suspicion(t *target) time.Duration {
	if s.now-t.sentAt >= t.probeAfter {
		return 0
	}
	return max(t.late(s.now), s.share.late(s.now, t))
}

// late is how late other daemons see a target, by what they told since it
// last served this daemon.
func (sh *share) late(now msg.Time, t *target) time.Duration {
	var most time.Duration
	for _, p := range sh.peers {
		told := time.Duration(p.targets[t.Target].LateMS) * time.Millisecond
		if now-p.at <= digestAge && p.at-told > t.servedSince() {
			most = max(most, told)
		}
	}
	return most
}

// probing counts a request that is sent to a target, a probe if it is suspect.
func (t *target) probing(now msg.Time) {
	if t.late(now) > 0 {
		t.probeAfter = min(2*t.probeAfter, probeMax)
	}
	t.sentAt = now
}

// servedSince is when the newest attempt that began was sent. Attempts from
// before it that have not begun were overtaken.
func (t *target) servedSince() msg.Time { return slices.Max(t.served[:]) }

// serves clears a target of the suspicion from before an attempt that began.
func (t *target) serves(a *attempt) {
	t.served[a.rank] = max(t.served[a.rank], a.since)
	t.probeAfter = probeFirst
}
