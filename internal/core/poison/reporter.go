package poison

import (
	"cmp"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// CrashReporter is the component of a side daemon that reports which attempts
// were running on its target when the target went down. It sends the crash
// records to the connected entry daemons and stores them at the platform, so
// that they outlive the entries that started the attempts.
type CrashReporter struct {
	crashWriter
	// running holds the fingerprint of each running attempt's request, and
	// entries the connected entry daemons.
	running map[msg.AttemptID]uint64
	entries map[msg.HostID]bool
}

// NewCrashReporter returns the crash reporter of a side daemon.
func NewCrashReporter() *CrashReporter {
	return &CrashReporter{running: make(map[msg.AttemptID]uint64), entries: make(map[msg.HostID]bool)}
}

// Idle reports whether all crash records are stored at the platform.
func (c *CrashReporter) Idle() bool { return c.flushed() }

// Step handles one event.
func (c *CrashReporter) Step(now msg.Time, ev msg.Event) []msg.Effect {
	var effects []msg.Effect
	switch ev := ev.(type) {
	case msg.Started:
		c.start(ev)
	case msg.PeerUp:
		c.entries[ev.Host] = true
	case msg.PeerDown:
		delete(c.entries, ev.Host)
	case msg.AttemptStarting:
		c.running[ev.Spec.Attempt] = ev.Spec.Fingerprint
	case msg.SideAttemptEnded:
		delete(c.running, ev.Attempt)
	case msg.TargetCrashed:
		effects = c.onCrash()
	case msg.Tick:
		c.wall = ev.Wall
	}
	if c.client == nil {
		return effects
	}
	results, more := c.client.Step(now, ev)
	for _, r := range results {
		c.onWritten(r)
	}
	effects = append(effects, more...)
	return append(effects, c.flush(now)...)
}

// onCrash records a crash for each attempt that was running on the target. The
// attempts are then no longer running, so that each is recorded once.
func (c *CrashReporter) onCrash() []msg.Effect {
	var notice msg.CrashNotice
	for attempt, fingerprint := range c.running {
		if fingerprint != 0 {
			notice.Crashes = append(notice.Crashes, msg.CrashRecord{Fingerprint: fingerprint, ID: msg.CrashID(attempt)})
		}
	}
	clear(c.running)
	if len(notice.Crashes) == 0 {
		return nil
	}
	slices.SortFunc(notice.Crashes, func(a, b msg.CrashRecord) int { return cmp.Compare(a.ID, b.ID) })
	c.enqueue(notice)
	var effects []msg.Effect
	for _, h := range c.connectedEntries() {
		effects = append(effects, msg.SendPeer{To: h, Message: notice})
	}
	return effects
}

// connectedEntries returns the connected entry daemons, sorted.
func (c *CrashReporter) connectedEntries() []msg.HostID {
	out := make([]msg.HostID, 0, len(c.entries))
	for h := range c.entries {
		out = append(out, h)
	}
	slices.Sort(out)
	return out
}
