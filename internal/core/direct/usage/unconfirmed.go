package usage

import (
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A report that got no answer may still arrive: a proxy may have acknowledged it and deliver
// it once a partition has healed, even if its sender has reset the connection since. If it
// arrived after a report of the next holder, the platform would see an older fencing token
// after a newer one. The object with the frozen windows therefore says, from before a report
// is sent until its answer, that a report is unconfirmed. A holder that finds this reports
// nothing for as long as that report may be on its way.
//
// Builds that do not write the field leave it empty. Behind them, reports do not wait.

// reportReserve is the time for the reports that have waited to be sent before they are due:
// one write and one call, without a retry. More would let a late report pass them, which is
// worse than a window that is missed because a second call fails.
const reportReserve = 600 * time.Millisecond

// unconfirmed is the state of a holder that concerns reports without an answer.
type unconfirmed struct {
	// unansweredMS is when the last report was begun that got no answer, of this holder or
	// of an earlier one, in Unix milliseconds. It is zero if there is none. It is known once
	// the frozen windows have been read.
	unansweredMS int64
	known        bool
	// heldUntil is until when the reports wait for one of an earlier holder, and held is
	// set while they do.
	heldUntil time.Time
	held      bool
	// announced is set from when the object says that a report is unconfirmed until that
	// report is sent.
	announced bool
}

// reportTransit returns how long a report without an answer is taken to be on its way. The
// next window's report can wait so long if the unconfirmed one was sent without a delay.
func (m *Meter) reportTransit() time.Duration {
	return m.cfg.Window + m.cfg.ReportDeadline - collectDelay - reportReserve
}

// reportDue returns when the report of a window is due.
func (m *Meter) reportDue(window int64) time.Time {
	return m.endOf(window).Add(m.cfg.ReportDeadline)
}

// inherit notes whether a report was unconfirmed when this daemon became the holder.
func (m *Meter) inherit() {
	if m.known {
		return
	}
	m.known, m.held = true, false
	m.unansweredMS = min(m.frozen.UnconfirmedMS, m.wall.UnixMilli())
	m.heldUntil = time.Time{}
	if m.unansweredMS != 0 {
		m.heldUntil = time.UnixMilli(m.unansweredMS).Add(m.reportTransit())
	}
}

// updateHold begins or ends the wait for the report of an earlier holder. It ends by wall
// time, so that it ends at the same time for a holder that takes over meanwhile.
func (m *Meter) updateHold() []msg.Effect {
	held := m.wall.Before(m.heldUntil)
	if held == m.held {
		return nil
	}
	m.held = held
	text := "usage reports wait for an unconfirmed one of an earlier holder"
	if !held {
		text = "usage reports wait no longer"
	}
	return []msg.Effect{msg.LogLine{Component: logComponent, Text: text, Attrs: []msg.Attr{
		{Key: "until", Value: m.heldUntil.UTC().Format(time.RFC3339Nano)},
		{Key: "epoch", Value: strconv.FormatUint(uint64(m.lease.Epoch), 10)},
	}}}
}

// nextUnconfirmedMS returns the time to write before a report. It is later than that of any
// report without an answer, also if the wall clock has been set back.
func (m *Meter) nextUnconfirmedMS() int64 { return max(m.wall.UnixMilli(), m.unansweredMS+1) }

// writeUnconfirmed writes since when a report is unconfirmed.
func (m *Meter) writeUnconfirmed(now msg.Time, sinceMS int64) msg.Effect {
	next := m.frozen
	next.UnconfirmedMS = sinceMS
	next.Reported = m.reportedThrough()
	return m.writeFrozen(now, next)
}
