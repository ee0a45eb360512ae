package targetagent

import (
	"reflect"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// reads follows the reads of the target's state.
type reads struct {
	seq      msg.CallID
	pending  bool
	sent     msg.Time
	failures int
	// known says that the target was read at least once; down that it does
	// not answer.
	known, down bool
	report      msg.LoadReport
	epoch       msg.Epoch
	at          msg.Time
}

// due reports whether the target is to be read again. An unanswered read is
// given up after a while.
func (r *reads) due(now msg.Time, poll time.Duration) bool {
	if r.pending {
		return now-r.sent >= readTimeout
	}
	return now-r.sent >= poll
}

// crashed marks the target as down until a read that begins from here on.
func (r *reads) crashed() {
	r.down = true
	r.pending = false
}

func (a *Agent) readTarget(now msg.Time) []msg.Effect {
	a.reads.seq++
	a.reads.pending = true
	a.reads.sent = now
	return []msg.Effect{msg.ReadTarget{Call: a.reads.seq}}
}

func (a *Agent) onRead(now msg.Time, ev msg.TargetRead) []msg.Effect {
	if ev.Call != a.reads.seq || !a.reads.pending {
		return nil
	}
	a.reads.pending = false
	if ev.Status != msg.CallOK {
		a.reads.failures++
		a.reads.down = a.reads.down || a.reads.failures >= downAfter
		return nil
	}
	a.reads.failures = 0
	a.reads.known = true
	a.reads.down = false
	a.reads.report = ev.Report
	a.reads.epoch = ev.Epoch
	a.reads.at = now
	a.orders.raiseEpoch(ev.Epoch)
	return nil
}

// report is the last read of the target with what the gate knows better.
func (a *Agent) report() msg.LoadReport {
	r := a.reads.report
	r.Phase = a.phase()
	r.Running = max(0, a.attempts.count()-r.Queued)
	return r
}

// publish sends a report when the phase, role or models changed, and
// otherwise from time to time.
func (a *Agent) publish(now msg.Time) []msg.Effect {
	r := a.report()
	if !differs(r, a.published) && now-a.publishedAt < publishInterval {
		return nil
	}
	a.published = r
	a.publishedAt = now
	return []msg.Effect{msg.PublishReport{Report: r}}
}

func differs(a, b msg.LoadReport) bool {
	return a.Phase != b.Phase || a.Role != b.Role || a.Order != b.Order || !reflect.DeepEqual(a.Models, b.Models)
}
