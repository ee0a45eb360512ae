package requests

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// faultAt is the time of the fault in recovery tables.
	faultAt = 30 * time.Second
	// restartTime is the time after which a crashed target serves again.
	restartTime = 30 * time.Second
	// crashNotice is the time after which a side daemon tells of a crash.
	crashNotice = 5 * time.Millisecond
	// silenceTime is the time after which entries find that a side daemon is
	// gone, and balancerTime that after which the balancer passes over an
	// entry.
	silenceTime  = time.Second
	balancerTime = time.Second
)

// faults are the faults of recovery tables.
var faults = []struct {
	name string
	do   func(*world)
}{
	{"target crashes", func(w *world) { w.crash(w.ordered[3]) }},
	{"entry dies", func(w *world) { w.kill(w.entries[1]) }},
	{"failure domain goes", func(w *world) { w.loseDomain(1) }},
}

// crash takes a target down for a while; its side daemon tells the entries.
func (w *world) crash(s *server) {
	w.stop(s, crashNotice, msg.AttemptCrashed)
	w.report(s)
	w.after(restartTime, func() { s.down = false })
}

// stop takes a target down. The entries learn of its attempts after a while.
func (w *world) stop(s *server, notice time.Duration, result msg.AttemptResult) {
	s.down = true
	s.life++
	for _, q := range s.crashed() {
		w.after(notice, func() { w.step(q.entry, msg.AttemptEnded{Attempt: q.spec.Attempt, Result: result}) })
	}
}

// kill ends an entry daemon. Its requests are lost to their callers.
func (w *world) kill(e *entry) {
	e.down = true
	e.downAt = w.now
}

// loseDomain takes all hosts of a failure domain away.
func (w *world) loseDomain(domain int) {
	for _, e := range w.entries {
		if e.domain == domain {
			w.kill(e)
		}
	}
	for _, s := range w.ordered {
		if s.domain != domain {
			continue
		}
		s.gone = true
		w.stop(s, silenceTime, msg.AttemptLost)
		w.after(silenceTime, func() {
			for _, e := range w.entries {
				w.step(e, msg.TargetUnreachable{Target: s.id.Target})
			}
		})
	}
}
