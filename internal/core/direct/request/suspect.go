package request

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// An attempt is overdue if its first token is missing for longer than
// overdueMargin after the expected time. It makes its target suspect: the target
// may be stuck, unreachable or slow, or its response was lost. (The suspect
// requests of package poison are something else.) The lateness of a target is
// the time for which its longest overdue attempt has been overdue. The expected
// wait at a suspect target is at least its lateness, and the target is probed
// with a request from time to time. The first token of any later attempt clears
// the suspicion.
//
// An overdue attempt is overtaken if an attempt that was sent later has started.
// It is presumed lost under the stricter condition of target.presumedLost.
const (
	// overdueMargin is how long after its expected time a first token must be
	// missing for the attempt to make its target suspect.
	overdueMargin = 150 * time.Millisecond
	// minProbeInterval and maxProbeInterval limit the time between two probes.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 2 * time.Second
)

// overdue returns how long an attempt's first token has been overdue. It
// returns 0 up to overdueMargin, within which the delay may be chance.
func (a *attempt) overdue(now msg.Time) time.Duration {
	late := now - a.sentAt - a.expected
	if a.started || late <= overdueMargin {
		return 0
	}
	return late
}

// overtaken reports whether an attempt is overdue although an attempt that was
// sent later has started. Its response is then unlikely to arrive.
func (t *target) overtaken(now msg.Time, a *attempt) bool {
	return a.sentAt < t.newestStartedSentAt() && a.overdue(now) > 0
}

// presumedLost reports whether an attempt is overdue beyond what the engine's
// scheduling explains: the engine has started a later attempt of the same or a
// lower priority, and the first token is overdue by more than the time that it
// was expected to take. An engine lets only attempts of a higher priority
// overtake earlier ones.
func (t *target) presumedLost(now msg.Time, a *attempt) bool {
	laterStarted := slices.Max(t.startedSentAt[a.priority:]) > a.sentAt
	return laterStarted && a.overdue(now) > a.expected
}

// lateness returns the longest time for which the first token of an open attempt
// has been overdue. It ignores attempts that were overtaken by later ones, and
// returns 0 if no other attempt is overdue.
func (t *target) lateness(now msg.Time) time.Duration {
	var longest time.Duration
	since := t.newestStartedSentAt()
	for _, a := range t.open {
		if a.sentAt >= since {
			longest = max(longest, a.overdue(now))
		}
	}
	return longest
}

// suspicionDelay returns the lateness of a target, as observed by this daemon or
// reported by another one, whichever is longer. It returns 0 if the target may
// be probed now.
func (s *stepContext) suspicionDelay(t *target) time.Duration {
	if s.now-t.lastSentAt >= t.probeInterval {
		return 0
	}
	return max(t.lateness(s.now), s.exchange.peerLateness(s.now, t))
}

// peerLateness returns the longest lateness of a target that other daemons
// reported. If the target has started an attempt of this daemon, that attempt
// refutes a lateness that began before it was sent. Such a lateness is ignored.
func (x *loadExchange) peerLateness(now msg.Time, t *target) time.Duration {
	var longest time.Duration
	for _, p := range x.peers {
		late := time.Duration(p.targets[t.Target].LateMS) * time.Millisecond
		if now-p.receivedAt <= digestMaxAge && p.receivedAt-late > t.newestStartedSentAt() {
			longest = max(longest, late)
		}
	}
	return longest
}

// recordSend records that a request is sent to a target. If the target is
// suspect, the request is a probe, and the time until the next probe doubles,
// up to maxProbeInterval.
func (t *target) recordSend(now msg.Time) {
	if t.lateness(now) > 0 {
		t.probeInterval = min(2*t.probeInterval, maxProbeInterval)
	}
	t.lastSentAt = now
}

// newestStartedSentAt returns the time at which the newest started attempt was
// sent: of the attempts that have started, the one that was sent last. Attempts
// that were sent before it and have not started are overtaken once they are
// overdue.
func (t *target) newestStartedSentAt() msg.Time { return slices.Max(t.startedSentAt[:]) }

// clearSuspicion records that an attempt has started. This clears a suspicion
// that arose before the attempt was sent, and resets the probe interval.
func (t *target) clearSuspicion(a *attempt) {
	t.startedSentAt[a.priority] = max(t.startedSentAt[a.priority], a.sentAt)
	t.probeInterval = minProbeInterval
}
