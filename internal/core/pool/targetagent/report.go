package targetagent

import (
	"reflect"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// targetReads holds the state of the reads of the target and the last result.
type targetReads struct {
	lastCall msg.CallID
	pending  bool
	sentAt   msg.Time
	failures int
	// succeeded is set once a read of the target succeeded; down is set while
	// the target does not answer.
	succeeded, down bool
	report          msg.LoadReport
	epoch           msg.Epoch
	readAt          msg.Time
}

// due reports whether the target is to be read again. A read without a result
// is abandoned after readTimeout.
func (r *targetReads) due(now msg.Time, poll time.Duration) bool {
	if r.pending {
		return now-r.sentAt >= readTimeout
	}
	return now-r.sentAt >= poll
}

// onCrash marks the target as down until a read that starts later succeeds. The
// result of a read in flight is ignored.
func (r *targetReads) onCrash() {
	r.down = true
	r.pending = false
}

func (a *Agent) readTarget(now msg.Time) []msg.Effect {
	a.reads.lastCall++
	a.reads.pending = true
	a.reads.sentAt = now
	return []msg.Effect{msg.ReadTarget{Call: a.reads.lastCall}}
}

func (a *Agent) onRead(now msg.Time, ev msg.TargetRead) []msg.Effect {
	if ev.Call != a.reads.lastCall || !a.reads.pending {
		return nil
	}
	a.reads.pending = false
	if ev.Status != msg.CallOK {
		a.reads.failures++
		a.reads.down = a.reads.down || a.reads.failures >= maxFailedReads
		return nil
	}
	a.reads.failures = 0
	a.reads.succeeded = true
	a.reads.down = false
	a.reads.report = ev.Report
	a.reads.epoch = ev.Epoch
	a.reads.readAt = now
	a.orders.raiseEpoch(ev.Epoch)
	return nil
}

// report returns the last load report read from the target, with two values of
// the agent: the phase, and the number of running attempts, which is the number
// of admitted attempts less those that the target reported as queued.
func (a *Agent) report() msg.LoadReport {
	r := a.reads.report
	r.Phase = a.phase()
	r.Running = max(0, a.attempts.count()-r.Queued)
	return r
}

// publish sends a report when the phase, role, last order or models have
// changed, and otherwise every publishInterval.
func (a *Agent) publish(now msg.Time) []msg.Effect {
	r := a.report()
	if !needsPublish(r, a.published) && now-a.publishedAt < publishInterval {
		return nil
	}
	a.published = r
	a.publishedAt = now
	return []msg.Effect{msg.PublishReport{Report: r}}
}

func needsPublish(a, b msg.LoadReport) bool {
	return a.Phase != b.Phase || a.Role != b.Role || a.Order != b.Order || !reflect.DeepEqual(a.Models, b.Models)
}
