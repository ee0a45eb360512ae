package gate

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

func (g *Gate) readTarget(now msg.Time) []msg.Effect {
	g.reads.seq++
	g.reads.pending = true
	g.reads.sent = now
	return []msg.Effect{msg.ReadTarget{Call: g.reads.seq}}
}

func (g *Gate) onRead(now msg.Time, ev msg.TargetRead) []msg.Effect {
	if ev.Call != g.reads.seq || !g.reads.pending {
		return nil
	}
	g.reads.pending = false
	if ev.Status != msg.CallOK {
		g.reads.failures++
		g.reads.down = g.reads.down || g.reads.failures >= downAfter
		return nil
	}
	g.reads.failures = 0
	g.reads.known = true
	g.reads.down = false
	g.reads.report = ev.Report
	g.reads.epoch = ev.Epoch
	g.reads.at = now
	g.orders.raiseEpoch(ev.Epoch)
	return nil
}

// report is the last read of the target with what the gate knows better.
func (g *Gate) report() msg.LoadReport {
	r := g.reads.report
	r.Phase = g.phase()
	r.Running = max(0, g.attempts.count()-r.Queued)
	return r
}

// publish sends a report when the phase, role or models changed, and
// otherwise from time to time.
func (g *Gate) publish(now msg.Time) []msg.Effect {
	r := g.report()
	if !differs(r, g.published) && now-g.publishedAt < publishInterval {
		return nil
	}
	g.published = r
	g.publishedAt = now
	return []msg.Effect{msg.PublishReport{Report: r}}
}

func differs(a, b msg.LoadReport) bool {
	return a.Phase != b.Phase || a.Role != b.Role || a.Order != b.Order || !reflect.DeepEqual(a.Models, b.Models)
}
