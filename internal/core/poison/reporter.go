package poison

import (
	"cmp"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// CrashReporter is the part of a side daemon that knows which attempts ran on its
// target when it went down. It tells the connected entry daemons and keeps the
// strikes at the platform, so that they outlive the entries that asked for the
// attempts.
type CrashReporter struct {
	writer
	running map[msg.AttemptID]uint64
	entries map[msg.HostID]bool
}

// NewCrashReporter returns the witness of one side daemon.
func NewCrashReporter() *CrashReporter {
	return &CrashReporter{running: make(map[msg.AttemptID]uint64), entries: make(map[msg.HostID]bool)}
}

// Idle reports whether all strikes are kept at the platform.
func (w *CrashReporter) Idle() bool { return w.empty() }

// Step takes one event.
func (w *CrashReporter) Step(now msg.Time, ev msg.Event) []msg.Effect {
	var effects []msg.Effect
	switch ev := ev.(type) {
	case msg.Started:
		w.start(ev)
	case msg.PeerUp:
		w.entries[ev.Host] = true
	case msg.PeerDown:
		delete(w.entries, ev.Host)
	case msg.AttemptStarting:
		w.running[ev.Spec.Attempt] = ev.Spec.Fingerprint
	case msg.SideAttemptEnded:
		delete(w.running, ev.Attempt)
	case msg.TargetCrashed:
		effects = w.onCrash()
	case msg.Tick:
		w.wall = ev.Wall
	}
	if w.client == nil {
		return effects
	}
	results, more := w.client.Step(now, ev)
	for _, r := range results {
		w.onWritten(r)
	}
	effects = append(effects, more...)
	return append(effects, w.flush(now)...)
}

// onCrash strikes what ran on the target. Attempts are struck once.
func (w *CrashReporter) onCrash() []msg.Effect {
	var notice msg.CrashNotice
	for attempt, fingerprint := range w.running {
		if fingerprint != 0 {
			notice.Crashes = append(notice.Crashes, msg.CrashRecord{Fingerprint: fingerprint, Attempt: attempt})
		}
	}
	clear(w.running)
	if len(notice.Crashes) == 0 {
		return nil
	}
	slices.SortFunc(notice.Crashes, func(a, b msg.CrashRecord) int { return cmp.Compare(a.Attempt, b.Attempt) })
	w.add(notice)
	var effects []msg.Effect
	for _, h := range w.connected() {
		effects = append(effects, msg.SendPeer{To: h, Message: notice})
	}
	return effects
}

func (w *CrashReporter) connected() []msg.HostID {
	out := make([]msg.HostID, 0, len(w.entries))
	for h := range w.entries {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}
