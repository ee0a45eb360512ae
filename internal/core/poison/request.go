package poison

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The same request may be on its way many times. When targets go down for another reason,
// several at once and under several copies of it, each of these crashes is recorded for the
// request, though it has caused none. Two rules keep such a request in use, where targets
// name their processes:
//
//   - A crash counts once however many copies it broke off, and crashes are independent
//     only if the later copy was sent some time after the earlier crash: a copy that is sent
//     again at once may meet the next target that goes down. A request is refused after
//     CrashLimit independent crashes.
//   - With as many crashes that are not independent, the request may have caused them or
//     not. One copy at a time is let through as its trial, by the daemons in turn. If it
//     completes, the request is cleared; if it crashes its target, that crash is
//     independent.

const (
	// trialTurn is how long the turn of a daemon lasts for the trial of a request whose
	// crashes are not independent. A crash is usually told from a broken response within it.
	trialTurn = 500 * time.Millisecond
	// commonCauseTime is the time within which targets that go down one after the other may
	// do so for one reason. It is shorter than a turn, so that the crash of a trial is
	// independent.
	commonCauseTime = 450 * time.Millisecond
)

// Verdict states what the crashes that are known of a request mean for it.
type Verdict uint8

// Verdicts.
const (
	// VerdictRun means that the request may run.
	VerdictRun Verdict = iota
	// VerdictTrial means that it may run as its trial: see [Tracker.BeginTrial].
	VerdictTrial
	// VerdictWait means that it must wait for the trial of another copy.
	VerdictWait
	// VerdictRefuse means that it crashes its targets.
	VerdictRefuse
)

// Judge returns the verdict on a request.
func (t *Tracker) Judge(now msg.Time, fingerprint uint64) Verdict {
	verdict, _ := t.judge(now, fingerprint)
	return verdict
}

// BeginTrial records that a copy of a request runs as its trial, if the verdict is that it
// may. No other copy does until the next turn.
func (t *Tracker) BeginTrial(now msg.Time, fingerprint uint64) {
	if verdict, next := t.judge(now, fingerprint); verdict == VerdictTrial {
		t.histories[fingerprint].trial = next
	}
}

// judge returns the verdict on a request and the trial that is due, if any.
func (t *Tracker) judge(now msg.Time, fingerprint uint64) (Verdict, trial) {
	h := t.histories[fingerprint]
	if h == nil || h.segment {
		return VerdictRun, trial{}
	}
	crashes := h.uncleared()
	if len(crashes) < CrashLimit {
		return VerdictRun, trial{}
	}
	verdict, delay := VerdictWait, trialTurn
	if n := independent(crashes, commonCauseTime); n >= CrashLimit {
		verdict, delay = VerdictRefuse, trialDelay(n)
	}
	next := h.nextTrial(now, delay)
	if t.mayTry(h, next, 1) {
		verdict = VerdictTrial
	}
	return verdict, next
}
