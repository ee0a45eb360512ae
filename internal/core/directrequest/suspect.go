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
	// overdueMargin is how far past its expected first token an attempt makes
	// its target suspect.
	overdueMargin = 150 * time.Millisecond
	// minProbeInterval and probeMax bound the time between two probes.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// overdue is how far an attempt's first token is past its time, if so far that
// chance does not explain it.
func (a *attempt) overdue(now msg.Time) time.Duration {
	late := now - a.sentAt - a.expected
	if a.started || late <= overdueMargin {
		return 0
	}
	return late
}

// overtaken reports whether an attempt's answer is unlikely to come: it is overdue,
// and attempts that were sent later have begun.
func (t *target) overtaken(now msg.Time, a *attempt) bool {
	return a.sentAt < t.newestStartedSentAt() && a.overdue(now) > 0
}

// presumedLost is lost beyond what an engine's order explains: more urgent requests
// overtake others, those of the same rank don't.
func (t *target) presumedLost(now msg.Time, a *attempt) bool {
	overtaken := slices.Max(t.startedSentAt[a.priority:]) > a.sentAt
	return overtaken && a.overdue(now) > a.expected
}

// restartLostPrefills begins prompts anew elsewhere that a target will not hand out. A
// prompt that was read is no run; where no other target is better, or the
// budget is used up, the answer is waited for.
func (s *stepContext) restartLostPrefills() {
	for _, id := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[id]
		if a.step == msg.StepPrefill && a.req != nil && a.req.attemptsSent < maxAttempts && a.target.presumedLost(s.now, a) {
			s.restartElsewhere(a)
		}
	}
}

func (s *stepContext) restartElsewhere(a *attempt) {
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
	a.target.recordOutcome(s.now, false)
	// The driver ends the one before it begins the other.
	s.effects = slices.Insert(s.effects, before, msg.Effect(msg.CancelAttempt{Attempt: a.id, Reason: "its answer is lost"}))
	s.logRequest(r, "attempt given up",
		attr("attempt", a.id), attr("target", a.target.Target), attr("took_ms", formatMS(s.now-a.sentAt)), attr("expected_ms", formatMS(a.expected)),
	)
}

// lateness is how far the oldest attempt is overdue that no later one overtook.
func (t *target) lateness(now msg.Time) time.Duration {
	var most time.Duration
	since := t.newestStartedSentAt()
	for _, a := range t.open {
		if a.sentAt >= since {
			most = max(most, a.overdue(now))
		}
	}
	return most
}

// suspicionDelay is how late this daemon or another sees a target, unless it may be
// probed now.
func (s *stepContext) suspicionDelay(t *target) time.Duration {
	if s.now-t.lastSentAt >= t.probeInterval {
		return 0
	}
	return max(t.lateness(s.now), s.exchange.peerLateness(s.now, t))
}

// peerLateness is how peerLateness other daemons see a target, by what they told since it
// last served this daemon.
func (sh *loadExchange) peerLateness(now msg.Time, t *target) time.Duration {
	var most time.Duration
	for _, p := range sh.peers {
		told := time.Duration(p.targets[t.Target].LateMS) * time.Millisecond
		if now-p.receivedAt <= digestMaxAge && p.receivedAt-told > t.newestStartedSentAt() {
			most = max(most, told)
		}
	}
	return most
}

// recordSend counts a request that is sent to a target, a probe if it is suspect.
func (t *target) recordSend(now msg.Time) {
	if t.lateness(now) > 0 {
		t.probeInterval = min(2*t.probeInterval, maxProbeInterval)
	}
	t.lastSentAt = now
}

// newestStartedSentAt is when the newest attempt that began was sent. Attempts from
// before it that have not begun were overtaken.
func (t *target) newestStartedSentAt() msg.Time { return slices.Max(t.startedSentAt[:]) }

// clearSuspicion clears a target of the suspicion from before an attempt that began.
func (t *target) clearSuspicion(a *attempt) {
	t.startedSentAt[a.priority] = max(t.startedSentAt[a.priority], a.sentAt)
	t.probeInterval = minProbeInterval
}
