package directrequest

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
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

// maxLoggedSegments is the largest number of prompt segments in a log line.
const maxLoggedSegments = 8

// interruptedAttempt is an attempt whose response was cut short at an instant.
type interruptedAttempt struct {
	*attempt
	at msg.Time
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

// beginTime is how long after its first token an attempt counts as one that has just
// begun. The prompts of older attempts did not crash their target.
const beginTime = 250 * time.Millisecond

// addInterrupted records that a target cut an attempt's response short, and probes the
// target, unless the list has shown its restart meanwhile.
func (s *stepContext) addInterrupted(t *target, a *attempt) {
	if a.process != t.StartedMS {
		s.recordCrashUnder(t, interruptedAttempt{a, s.now})
		return
	}
	t.interrupted = append(t.interrupted, interruptedAttempt{a, s.now})
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
func (t *target) takeInterrupted(last msg.Time) []interruptedAttempt {
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
	var list []interruptedAttempt
	for _, id := range slices.Sorted(maps.Keys(t.open)) {
		list = append(list, interruptedAttempt{t.open[id], s.now})
	}
	s.recordCrashUnder(t, list...)
}

// recordCrashUnder records the crash of a target under some attempts: for each of their
// requests, and for the segments of the prompts that it had not long begun to answer.
func (s *stepContext) recordCrashUnder(t *target, list ...interruptedAttempt) {
	var records []msg.CrashRecord
	for _, a := range list {
		records = append(records, msg.CrashRecord{Fingerprint: a.fingerprint, ID: msg.CrashID(a.id)})
		if a.runningFor() <= beginTime {
			records = append(records, s.segmentCrashes(a)...)
		}
		s.log("target went down while it was running a request",
			attr("target", t.Target), attr("attempt", a.id), attr("sent_ms", formatMS(a.at-a.sentAt)),
			attr("began_ms", formatMS(a.runningFor())), attr("segments", formatSegments(a.segments)),
		)
	}
	s.effects = append(s.effects, s.poison.RecordCrashes(s.now, records)...)
}

// segmentCrashes returns the crash records of an attempt's prompt segments.
func (s *stepContext) segmentCrashes(a interruptedAttempt) []msg.CrashRecord {
	id := msg.CrashID(fmt.Sprintf("%s@%d", a.target.Target, a.process))
	left := poison.Retention - (s.now - a.at)
	var records []msg.CrashRecord
	for _, seg := range a.segments {
		records = append(records, msg.CrashRecord{
			Fingerprint: seg.ID, ID: id, Segment: true,
			LeftMS: left.Milliseconds(), RanMS: (a.at - a.sentAt).Milliseconds(),
		})
	}
	return records
}

// runningFor returns for how long the first token had arrived as the response was cut
// short, and 0 if it had not.
func (a interruptedAttempt) runningFor() time.Duration {
	if a.startedAt == 0 {
		return 0
	}
	return a.at - a.startedAt
}

// formatSegments formats the IDs of the first prompt segments.
func formatSegments(segments []msg.PromptSegment) string {
	var b strings.Builder
	for i, seg := range segments[:min(len(segments), maxLoggedSegments)] {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(seg.ID, 16))
	}
	return b.String()
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

// checkCrashes returns a refusal if the request, or prompts with one of its segments,
// have crashed too many targets.
func (s *stepContext) checkCrashes(r *request) *refusal {
	if s.poison.CrashCount(r.fingerprint) >= poison.CrashLimit {
		return &refusal{statusUnavailable, "poison", retryAfterPoison}
	}
	id, crashes, blocked := s.poison.BlockedSegment(r.segments)
	if !blocked || crashes == r.trialCrashes {
		return nil
	}
	segment := attr("segment", strconv.FormatUint(id, 16))
	if s.poison.StartTrial(s.now, id) {
		r.trialCrashes = crashes
		s.logRequest(r, "is the trial of a blocked prompt segment", segment, attr("crashes", crashes))
		return nil
	}
	s.logRequest(r, "holds a blocked prompt segment", segment, attr("crashes", crashes))
	// Without Retry-After: the caller need not come back for this.
	return &refusal{status: statusUnavailable, code: "poison"}
}

// mayCrashTargets reports whether probes in flight may show that the request has
// crashed too many targets.
func (s *stepContext) mayCrashTargets(r *request) bool {
	return s.poison.CrashCount(r.fingerprint)+s.probing[r.fingerprint] >= poison.CrashLimit
}

// hold lets a request wait for the probes in flight, or for the origin of its stream.
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
		case s.mayCrashTargets(r) && s.checkCrashes(r) == nil, s.originPending(r):
			s.held = append(s.held, r)
		default:
			s.tryNext(r)
		}
	}
}

// logCrashRecord logs the crash record of a request that this daemon did not know. The
// records of segments are too many for the log.
func (s *stepContext) logCrashRecord(ev msg.CrashRecorded) {
	if ev.Record.Segment {
		return
	}
	s.log("crash record received",
		attr("attempt", ev.Record.ID), attr("source", ev.Source),
		attr("fingerprint", strconv.FormatUint(ev.Record.Fingerprint, 16)), attr("crashes", ev.Count),
	)
}

// logSegmentBlocked logs that prompts with a segment begin or cease to be refused.
func (s *stepContext) logSegmentBlocked(ev msg.SegmentBlocked) {
	text := "prompt segment is blocked, it crashes targets"
	if !ev.Blocked {
		text = "prompt segment is no longer blocked"
	}
	s.log(text, attr("segment", strconv.FormatUint(ev.Segment, 16)), attr("crashes", ev.Crashes))
}
