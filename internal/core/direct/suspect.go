package direct

import (
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
	return a.since < t.servedSince && a.overdue(now) > 0
}

// late is how far the oldest attempt is overdue that no later one overtook.
func (t *target) late(now msg.Time) time.Duration {
	var most time.Duration
	for _, a := range t.open {
		if !t.lost(now, a) {
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
		if now-p.at <= digestAge && p.at-told > t.servedSince {
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

// serves clears a target of the suspicion from before an attempt that began.
func (t *target) serves(a *attempt) {
	t.servedSince = max(t.servedSince, a.since)
	t.probeAfter = probeFirst
}
