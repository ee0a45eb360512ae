package request

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
)

// A response that is cut short may be the target's fault in this one response, or the
// target may have crashed under the request. The target is probed to tell which. If
// the probe shows neither, it is repeated, and until crashWindow has passed the
// crash may also show by a failed connection, a restart or the target's removal from
// the list.
const (
	// crashWindow is how long an interrupted attempt waits for its explanation.
	crashWindow = 10 * time.Second
	// minProbeDelay and maxProbeDelay limit the delay after an inconclusive probe,
	// which doubles with each of them.
	minProbeDelay = 300 * time.Millisecond
	maxProbeDelay = 2 * time.Second
)

// endedAttempt is an attempt whose response was cut short, or seemed to be complete, at an
// instant.
type endedAttempt struct {
	*attempt
	at msg.Time
}

// targetCrash is the last crash of a target: of the process that started at the given time,
// first recorded at an instant.
type targetCrash struct {
	process int64
	at      msg.Time
}

// crashProbe is the state of the probes of one target.
type crashProbe struct {
	// call is the probe in flight, or zero. It was sent at sentAt.
	call   msg.CallID
	sentAt msg.Time
	// fingerprints names the requests whose interruption the probe may explain, once
	// for each interruption.
	fingerprints []uint64
	// nextAt is when the next probe may be sent.
	nextAt msg.Time
	delay  time.Duration
}

// addInterrupted records that a target cut an attempt's response short, and probes the
// target, unless the list has shown its restart meanwhile.
func (s *stepContext) addInterrupted(t *target, a *attempt) {
	if a.process != t.StartedMS {
		s.recordCrashUnder(t, endedAttempt{a, s.now})
		return
	}
	t.interrupted = append(t.interrupted, endedAttempt{a, s.now})
	t.probe.nextAt = s.now
	if t.probe.call != 0 {
		s.countProbing(t, a.fingerprint)
	}
	s.probeIfDue(t)
}

// probeIfDue probes a target that has interrupted attempts without an explanation.
// Plain services without a health check can't be probed.
func (s *stepContext) probeIfDue(t *target) {
	if len(t.interrupted) == 0 || t.probe.call != 0 || s.now < t.probe.nextAt {
		return
	}
	spec := s.table.services[t.Service]
	if spec == nil || spec.Engine == nil && spec.HealthPath == "" {
		return
	}
	p := msg.ProbeTarget{Call: s.nextCall(), Target: t.Target, Addr: t.Addr}
	if spec.Engine == nil {
		p.HealthPath = spec.HealthPath
	}
	t.probe.call = p.Call
	t.probe.sentAt = s.now
	for _, a := range t.interrupted {
		s.countProbing(t, a.fingerprint)
	}
	s.emit(p)
}

// countProbing counts an interruption that a target's probe may explain.
func (s *stepContext) countProbing(t *target, fingerprint uint64) {
	t.probe.fingerprints = append(t.probe.fingerprints, fingerprint)
	s.probing[fingerprint]++
}

// endProbing records that a target's probe has explained what it could, or that
// something else did.
func (s *stepContext) endProbing(t *target) {
	for _, f := range t.probe.fingerprints {
		s.probing[f]--
		if s.probing[f] == 0 {
			delete(s.probing, f)
		}
	}
	t.probe.fingerprints = nil
}

// onTargetProbed explains the attempts that were interrupted before the probe was
// sent, if the probe was conclusive.
func (s *stepContext) onTargetProbed(ev msg.TargetProbed) {
	t := s.targets[ev.Target]
	if t != nil && ev.Call != 0 && t.paceProbe.call == ev.Call {
		s.onPaceProbed(t, ev)
		return
	}
	if t == nil || t.probe.call != ev.Call {
		return
	}
	t.probe.call = 0
	s.endProbing(t)
	switch {
	case ev.Result == msg.ProbeDown:
		t.backOff(s.now)
		s.setReachable(t, false)
		s.recordCrash(t)
	case ev.Result == msg.ProbeUnknown:
		t.probe.delay = min(max(2*t.probe.delay, minProbeDelay), maxProbeDelay)
		t.probe.nextAt = s.now + t.probe.delay
	case t.probe.delay > 0:
		// The process that responds may have started after the crash. The list of
		// targets will tell.
		t.probe.nextAt = s.now + crashWindow
	default:
		for _, a := range t.takeInterrupted(t.probe.sentAt) {
			s.log("response was cut short, target is running", attr("target", t.Target), attr("attempt", a.id))
		}
	}
	s.probeIfDue(t)
	s.resumeHeld()
}

// takeInterrupted removes and returns the attempts that were interrupted up to an
// instant.
func (t *target) takeInterrupted(last msg.Time) []endedAttempt {
	i := 0
	for i < len(t.interrupted) && t.interrupted[i].at <= last {
		i++
	}
	taken := t.interrupted[:i]
	t.interrupted = t.interrupted[i:]
	if len(t.interrupted) == 0 {
		t.probe.delay, t.probe.nextAt = 0, 0
	}
	return taken
}

// recordCrash records, for each request whose response the target recently cut
// short, that the target crashed while it was running the request.
func (s *stepContext) recordCrash(t *target) {
	s.endProbing(t)
	s.recordCrashUnder(t, append(t.takeInterrupted(s.now), t.takeUnconfirmed(s.now)...)...)
}

// recordOpen records a crash for each attempt that was open at a target as its process
// ended. Their responses may never break off.
func (s *stepContext) recordOpen(t *target) {
	var list []endedAttempt
	for _, id := range slices.Sorted(maps.Keys(t.open)) {
		list = append(list, endedAttempt{t.open[id], s.now})
	}
	s.recordCrashUnder(t, list...)
}

// advanceProbes repeats inconclusive probes, and gives up the attempts that were
// interrupted longer than crashWindow ago.
func (s *stepContext) advanceProbes() {
	var waiting []*target
	for _, t := range s.targets {
		if len(t.interrupted) > 0 {
			waiting = append(waiting, t)
		}
	}
	slices.SortFunc(waiting, func(a, b *target) int { return cmp.Compare(a.Target, b.Target) })
	for _, t := range waiting {
		for _, a := range t.takeInterrupted(s.now - crashWindow) {
			s.log("response was cut short, target was not seen to go down", attr("target", t.Target), attr("attempt", a.id))
		}
		s.probeIfDue(t)
	}
}

// mayCrashTargets reports whether the request may have crashed too many targets, and what
// will show that: probes in flight, or the trial of a request like it.
func (s *stepContext) mayCrashTargets(r *request) (awaited string, may bool) {
	probing := s.probing[r.fingerprint]
	switch {
	case probing > 0 && s.poison.CrashCount(r.fingerprint)+probing >= poison.CrashLimit:
		return "waits for the probe of a target", true
	case s.poison.Judge(s.now, r.fingerprint) == poison.VerdictWait:
		return "waits for the trial of a request like it", true
	}
	return "", false
}

// awaitsCrashes reports whether a held request still waits for what shows whether it has
// crashed too many targets.
func (s *stepContext) awaitsCrashes(r *request) bool {
	_, may := s.mayCrashTargets(r)
	return may && s.checkCrashes(r) == nil
}

// hold lets a request wait for the probes in flight, for the origin of its stream or for
// a share of a limit.
// One that waits in the queue of its service stays there.
func (s *stepContext) hold(r *request, reason string) {
	if r.waiting || slices.Contains(s.held, r) {
		return
	}
	s.held = append(s.held, r)
	s.logRequest(r, reason)
}

// resumeHeld places the held requests for which nothing is awaited any more.
func (s *stepContext) resumeHeld() {
	held := s.held
	s.held = nil
	for _, r := range held {
		switch {
		case s.requests[r.arrival.Req] != r: // The request has ended meanwhile.
		case s.awaitsCrashes(r), s.originPending(r):
			s.held = append(s.held, r)
		default:
			s.tryNext(r)
		}
	}
}
