package requests

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// faultAt is the time of the fault in the runs of recovery tables.
	faultAt = 30 * time.Second
	// restartTime is the time from a target's crash until it serves again.
	restartTime = 30 * time.Second
	// crashNoticeDelay is the time after which a side daemon reports a crash.
	crashNoticeDelay = 5 * time.Millisecond
	// disconnectDelay is the time after which entries detect that a side daemon
	// is unreachable.
	disconnectDelay = time.Second
	// balancerDelay is the time after which the load balancer stops sending
	// requests to an entry that is down.
	balancerDelay = time.Second
)

// faults are the faults in recovery tables.
var faults = []struct {
	name   string
	inject func(*simulation)
}{
	{"target crashes", func(sim *simulation) { sim.crash(sim.serverList[3]) }},
	{"entry dies", func(sim *simulation) { sim.kill(sim.entries[1]) }},
	{"failure domain goes", func(sim *simulation) { sim.loseDomain(1) }},
}

// crash makes a target unavailable for restartTime. Its side daemon reports this to
// the entries.
func (sim *simulation) crash(s *server) {
	sim.takeDown(s, crashNoticeDelay, msg.AttemptCrashed)
	sim.sendReport(s)
	sim.after(restartTime, func() { s.down = false })
}

// takeDown makes a target unavailable. The entries receive the result of its
// attempts after the time notice.
func (sim *simulation) takeDown(s *server, notice time.Duration, result msg.AttemptResult) {
	s.down = true
	s.crashes++
	for _, q := range s.dropAll() {
		sim.after(notice, func() { sim.step(q.entry, msg.AttemptEnded{Attempt: q.spec.Attempt, Result: result}) })
	}
}

// kill ends an entry daemon. Its callers receive no responses.
func (sim *simulation) kill(e *entry) {
	e.down = true
	e.downAt = sim.now
}

// loseDomain makes all hosts of a failure domain unavailable for the rest of the
// run.
func (sim *simulation) loseDomain(domain int) {
	for _, e := range sim.entries {
		if e.domain == domain {
			sim.kill(e)
		}
	}
	for _, s := range sim.serverList {
		if s.domain != domain {
			continue
		}
		s.hostLost = true
		sim.takeDown(s, disconnectDelay, msg.AttemptLost)
		sim.after(disconnectDelay, func() {
			for _, e := range sim.entries {
				sim.step(e, msg.TargetUnreachable{Target: s.id.Target})
			}
		})
	}
}
