package request

import (
	"maps"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/prefilltime"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// firstTokenPerStream is the time that each open stream of an engine adds
	// to the first token of the next request.
	firstTokenPerStream = time.Millisecond
	// initialStreamDuration is the assumed duration of a service's streams until some
	// have ended, and streamDurationWeight the weight of one stream in the average.
	initialStreamDuration = 500 * time.Millisecond
	streamDurationWeight  = 0.02
	// sendTime is the time in which a request reaches its target.
	sendTime = 2 * time.Millisecond
	// transferSetup is the fixed part of the time of a KV cache transfer
	// between two engines.
	transferSetup = 4 * time.Millisecond
	// crossDomainFactor multiplies the part of a transfer's time that depends on
	// its size if the two engines are in different failure domains.
	crossDomainFactor = 2
)

// engineKind identifies engines that are taken to be equally fast.
type engineKind struct {
	service msg.ServiceID
	role    msg.Role
}

// forgetRemoved discards what was learnt of routes and services that the configuration
// no longer has.
func (s *stepContext) forgetRemoved() {
	routes := make(map[msg.RouteID]bool)
	for _, list := range s.table.routes {
		for _, r := range list {
			routes[r.Name] = true
		}
	}
	maps.DeleteFunc(s.typicalPrefill, func(id msg.RouteID, _ time.Duration) bool { return !routes[id] })
	maps.DeleteFunc(s.latencies, func(id msg.RouteID, _ *routeLatency) bool { return !routes[id] })
	maps.DeleteFunc(s.sentAt, func(id msg.ServiceID, _ msg.Time) bool { return s.table.services[id] == nil })
	maps.DeleteFunc(s.paced, func(id msg.ServiceID, _ bool) bool { return s.table.services[id] == nil })
	maps.DeleteFunc(s.streamDurations, func(id msg.ServiceID, _ time.Duration) bool { return s.table.services[id] == nil })
	maps.DeleteFunc(s.prefillTimes, func(k engineKind, _ *prefilltime.Estimator) bool { return s.table.services[k.service] == nil })
}

// prefillEstimator returns the estimator of the prefill times of engines like t.
func (s *stepContext) prefillEstimator(t *target) *prefilltime.Estimator {
	kind := engineKind{t.Service, t.Role}
	e := s.prefillTimes[kind]
	if e == nil {
		e = prefilltime.New()
		s.prefillTimes[kind] = e
	}
	return e
}

// observePrefill learns from the time to an attempt's first token or handle. Only an
// attempt that found the engine idle shows how long the prefill itself takes.
func (s *stepContext) observePrefill(a *attempt) {
	if a.started || a.prefill == 0 {
		return
	}
	took := s.now - a.sentAt
	if a.unqueued {
		s.observeUnqueued(a, max(took-sendTime, 0))
	}
	s.raise(msg.PrefillTimed{Step: a.step, Expected: a.expected, Took: took})
}

// observeUnqueued learns from a prefill that its target began at once: how fast the
// target is, and with this taken off, how fast the engines of its service are.
func (s *stepContext) observeUnqueued(a *attempt, took time.Duration) {
	e := s.prefillEstimator(a.target)
	base := e.Base()
	if e.Observations() >= minKnownPrefills {
		s.observeSpeed(a, base+e.Prefill(a.work), base, took)
	}
	// The base does not depend on the speed of the target.
	e.Observe(a.work, min(took, base)+time.Duration(float64(max(took-base, 0))/s.factorOver(a, took)))
}

// streamDuration returns the average duration of a service's streams, from the first
// token to the end.
func (s *stepContext) streamDuration(id msg.ServiceID) time.Duration {
	if d, ok := s.streamDurations[id]; ok {
		return d
	}
	return initialStreamDuration
}

// observeStream updates the average duration of a service's streams.
func (s *stepContext) observeStream(a *attempt) {
	if a.startedAt == 0 || a.step == msg.StepPrefill {
		return
	}
	d := s.streamDuration(a.target.Service)
	d += time.Duration(streamDurationWeight * float64(s.now-a.startedAt-d))
	s.streamDurations[a.target.Service] = d
}

// transferTime estimates how long the transfer of KV cache between two engines
// takes.
func transferTime(spec *msg.EngineSpec, tokens int, crossDomain bool) time.Duration {
	if spec == nil || spec.LinkMbps <= 0 || tokens == 0 {
		return 0
	}
	bits := float64(tokens) * spec.TokenBytes * 8
	d := time.Duration(bits / (spec.LinkMbps * 1e6) * float64(time.Second))
	if crossDomain {
		d *= crossDomainFactor
	}
	return transferSetup + d
}
