package request

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

const (
	// paceProbeInterval is the age of a target's pace at which the target is asked for a
	// new one.
	paceProbeInterval = 300 * time.Millisecond
	// workMemory is how long a service counts as one with work after this daemon has
	// sent it a request.
	workMemory = time.Second
)

// paceProbe is a health check of a target that is to show the target's pace.
type paceProbe struct {
	// assigned reports whether this daemon is the one that asks the target.
	assigned bool
	call     msg.CallID
	sentAt   msg.Time
}

// assignPaceProbes decides which targets this daemon asks for their paces. Each target is
// asked by one daemon, which tells the others.
func (s *stepContext) assignPaceProbes() {
	for id, t := range s.targets {
		t.paceProbe.assigned = rendezvous.Rank(string(id), s.self.Host, s.entries) == 0
	}
}

// probePaces asks targets for their paces, where responses to requests don't show them
// often enough. Only services that report paces and have work are asked.
func (s *stepContext) probePaces() {
	if s.table == nil || s.policy.IgnoreSpeeds {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.services)) {
		spec := s.table.services[id]
		if spec == nil || spec.HealthPath == "" || !s.paced[id] {
			continue
		}
		for _, t := range s.services[id] {
			s.probePace(t, spec.HealthPath)
		}
	}
}

// hasWork reports whether a target or its service has got requests lately.
func (s *stepContext) hasWork(t *target) bool {
	return s.now-s.sentAt[t.Service] < workMemory || s.openStreams(t) > 0
}

// probePace asks a target for its pace if that is due.
func (s *stepContext) probePace(t *target, path string) {
	p := &t.paceProbe
	if !p.assigned || s.now-p.sentAt < paceProbeInterval || !t.usable(s.now) || t.limit.limited(s.now) || !s.hasWork(t) {
		return
	}
	if age, ok := s.speeds.PaceAge(s.now, t.Target); ok && age < paceProbeInterval {
		return
	}
	p.call, p.sentAt = s.nextCall(), s.now
	s.emit(msg.ProbeTarget{Call: p.call, Target: t.Target, Addr: t.Addr, HealthPath: path, Once: true})
}

// onPaceProbed records the pace that a target reported with its health check.
func (s *stepContext) onPaceProbed(t *target, ev msg.TargetProbed) {
	t.paceProbe.call = 0
	if ev.Load != nil && ev.Load.Pace > 0 {
		s.speeds.Report(s.now, t.Target, ev.Load.Pace)
	}
}
