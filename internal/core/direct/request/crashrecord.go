package request

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
)

// maxLoggedSegments is the largest number of prompt segments in a log line.
const maxLoggedSegments = 8

// beginTime is how long after its first token an attempt counts as one that has just
// begun. The prompts of older attempts did not crash their target.
const beginTime = 250 * time.Millisecond

// trialTimeout is how long a request waits for the trial of a request like it.
const trialTimeout = time.Second

// recordCrashUnder records the crash of a target under some attempts: for each of their
// requests, and for the segments of the prompts that it had not long begun to answer.
func (s *stepContext) recordCrashUnder(t *target, list ...endedAttempt) {
	var records []msg.CrashRecord
	for _, a := range list {
		records = append(records, s.crashRecord(t, a))
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

// crashRecord returns the crash record of an attempt's request. The crash is identified by
// the target's process, so that it counts once for the copies of a request that it broke
// off. Where the process is not known, it is identified by the attempt.
func (s *stepContext) crashRecord(t *target, a endedAttempt) msg.CrashRecord {
	r := msg.CrashRecord{
		Fingerprint: a.fingerprint, ID: msg.CrashID(a.id),
		LeftMS: (poison.Retention - (s.now - a.at)).Milliseconds(), RanMS: (a.at - a.sentAt).Milliseconds(),
	}
	switch {
	case a.process == 0:
	case t.crashed.process == a.process && a.sentAt > t.crashed.at:
		// The process had gone down before the attempt was sent, so that it reached one
		// which was not listed yet.
	default:
		r.ID = processCrashID(a)
		if t.crashed.process != a.process {
			t.crashed = targetCrash{a.process, s.now}
		}
	}
	return r
}

// processCrashID identifies the crash of the process that ran an attempt.
func processCrashID(a endedAttempt) msg.CrashID {
	return msg.CrashID(fmt.Sprintf("%s@%d", a.target.Target, a.process))
}

// segmentCrashes returns the crash records of an attempt's prompt segments.
func (s *stepContext) segmentCrashes(a endedAttempt) []msg.CrashRecord {
	id := processCrashID(a)
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
func (a endedAttempt) runningFor() time.Duration {
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

// checkCrashes returns a refusal if the request, or prompts with one of its segments,
// have crashed too many targets, or if it has waited for the trial of a request like it.
func (s *stepContext) checkCrashes(r *request) *refusal {
	switch s.poison.Judge(s.now, r.fingerprint) {
	case poison.VerdictRefuse:
		return finalRefusal("poison")
	case poison.VerdictWait:
		if s.now-r.arrivedAt >= trialTimeout {
			return &refusal{statusUnavailable, "suspect", retryAfterShort}
		}
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
	return finalRefusal("poison")
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
