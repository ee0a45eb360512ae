package request

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/targetspeed"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// minKnownPrefills is the number of observed prefills from which the estimate of a
	// service's engines serves as the reference for the speed of each.
	minKnownPrefills = 10
	// mixedWeight is the weight of a prefill at an engine that also decodes, whose streams
	// delay it, and plainWeight that of a response of a plain service, whose requests
	// differ in their work.
	mixedWeight = 0.3
	plainWeight = 0.15
	// initialLatency is the assumed response time of a route of a plain service until
	// responses have been seen, and latencyMemory the number of responses over which
	// it is averaged.
	initialLatency = 20 * time.Millisecond
	latencyMemory  = 50
	// maxLatencyRatio limits an observed response time, as a multiple of the average.
	maxLatencyRatio = 4
	// congestionWeight is the weight of one prefill in a target's congestion,
	// maxCongestion and minCongestion limit one observation, and congestionMemory is
	// the time constant with which the congestion is forgotten.
	congestionWeight = 0.2
	maxCongestion    = 8.0
	minCongestion    = 0.6
	congestionMemory = 2 * time.Second
	// maxSpeedsPerDigest limits the speeds in a digest, and thereby its size.
	maxSpeedsPerDigest = 16
	// maxSpeedsPerMessage limits the speeds in a message to a daemon that has started, so
	// that it fits into a datagram.
	maxSpeedsPerMessage = 200
)

// routeLatency is the average response time of a route of a plain service, at a target
// that is like its service and has a free slot.
type routeLatency struct {
	mean float64 // in nanoseconds
	n    float64
}

// speedFactor returns the factor by which a target takes longer than is usual in its
// service, for work of the given duration that it begins after a delay. It is the only
// way by which placement asks for the speed of a target.
func (s *stepContext) speedFactor(t *target, delay, duration time.Duration) float64 {
	if s.policy.IgnoreSpeeds || !s.knowsSpeed(t) {
		return 1
	}
	return s.speeds.Factor(s.now, t.Target, delay, duration)
}

// knowsSpeed reports whether placement heeds the speed of a target. What prefills took also
// shows the work of daemons that this one has not heard of, and the sooner all daemons
// agree on small differences of that kind, the more of them choose the same engine.
// Engines are therefore told apart only in services that report paces.
func (s *stepContext) knowsSpeed(t *target) bool {
	return s.paced[t.Service] || s.engineSpec(t) == nil
}

// slowed returns the time that work takes at a target that begins it after a delay. The
// parameter usual is the time that is usual in the target's service.
func (s *stepContext) slowed(t *target, delay, usual time.Duration) time.Duration {
	return time.Duration(s.speedFactor(t, delay, usual) * float64(usual))
}

// recordLoad records the load that the head of a response to an attempt reports.
func (s *stepContext) recordLoad(a *attempt, load *msg.TargetLoad) {
	if load == nil || a.loadKnown {
		return
	}
	a.loadKnown = true
	a.pace = load.Pace
	a.target.load = load
	a.target.loadAt = s.now
	if load.Pace > 0 {
		s.paced[a.target.Service] = true
		s.speeds.Report(s.now, a.target.Target, load.Pace)
	}
}

// observeSpeed learns from a prefill that its target began at once. The parameter usual is
// the time that is usual for it in the service, and base the part of it that does
// not depend on the prompt.
func (s *stepContext) observeSpeed(a *attempt, usual, base, took time.Duration) {
	if usual <= base {
		return
	}
	// The shorter the prefill, the less it shows.
	share := float64(usual-base) / float64(usual)
	weight := share * share
	if a.step != msg.StepPrefill {
		weight *= mixedWeight
	}
	ratio := float64(max(took-base, usual/10)) / float64(usual-base)
	s.speeds.Observe(s.now, a.target.Target, targetspeed.Observation{Ratio: ratio, Took: took, Pace: a.pace, Weight: weight})
}

// factorOver returns the factor of an attempt's target over the time that the attempt took.
func (s *stepContext) factorOver(a *attempt, took time.Duration) float64 {
	if !s.knowsSpeed(a.target) {
		return 1
	}
	return s.speeds.Over(s.now, a.target.Target, a.pace, took)
}

// latency returns the average response time of a request's route.
func (s *stepContext) latency(r *request) time.Duration {
	if l := s.latencies[r.route.Name]; l != nil {
		return time.Duration(l.mean)
	}
	return initialLatency
}

// observeLatency learns from a response of a plain service. Only a target with a free
// slot shows how long the work itself takes.
func (s *stepContext) observeLatency(a *attempt, took time.Duration) {
	if a.req == nil || !a.unqueued {
		return
	}
	l := s.latencies[a.req.route.Name]
	if l == nil {
		l = &routeLatency{}
		s.latencies[a.req.route.Name] = l
	}
	if l.n >= minKnownPrefills {
		ratio := float64(took) / l.mean
		s.speeds.Observe(s.now, a.target.Target, targetspeed.Observation{Ratio: ratio, Took: took, Pace: a.pace, Weight: plainWeight})
	}
	usual := float64(took) / s.factorOver(a, took)
	if l.n > 0 {
		usual = min(usual, maxLatencyRatio*l.mean)
	}
	l.n = min(l.n+1, latencyMemory)
	l.mean += (usual - l.mean) / l.n
}

// observeCongestion updates the congestion of an attempt's target from the time to the
// attempt's first token.
func (s *stepContext) observeCongestion(a *attempt) {
	if a.started || a.prefill == 0 {
		return
	}
	t := a.target
	c := s.congestionFactor(t)
	ratio := c * float64(s.now-a.sentAt) / float64(a.expected)
	t.congestion = c + congestionWeight*(min(max(ratio, minCongestion), maxCongestion)-c)
	t.congestionAt = s.now
}

// congestionFactor returns the factor by which prefills at a target take longer than its
// speed and the work that is known to be there explain: other daemons may have sent work of
// which this one has not been told yet. Such work is soon done, so that the factor
// returns to 1. Where placement does not heed speeds, it stands for the target's speed as
// well, and remains.
func (s *stepContext) congestionFactor(t *target) float64 {
	if !s.knowsSpeed(t) {
		return t.congestion
	}
	return math.Pow(t.congestion, math.Exp(-float64(s.now-t.congestionAt)/float64(congestionMemory)))
}

// reportedLoad returns the number of requests that the target last reported. Its influence
// decays with its age.
func (t *target) reportedLoad(now msg.Time) float64 {
	if t.load == nil {
		return 0
	}
	return float64(t.load.Running+t.load.Waiting) * math.Exp(-float64(now-t.loadAt)/float64(loadMemory))
}

// reportSpeeds raises an event with the range of the speeds of each service's targets.
func (s *stepContext) reportSpeeds() {
	for _, id := range slices.Sorted(maps.Keys(s.services)) {
		ev := msg.SpeedsUpdated{Service: id}
		var paces int
		for i, t := range s.services[id] {
			f := s.speeds.Lasting(s.now, t.Target)
			if i == 0 {
				ev.Fastest, ev.Slowest = f, f
			}
			ev.Fastest, ev.Slowest = min(ev.Fastest, f), max(ev.Slowest, f)
			if age, ok := s.speeds.PaceAge(s.now, t.Target); ok {
				paces++
				ev.PaceAge += age
			}
		}
		ev.PaceAge /= time.Duration(max(paces, 1))
		s.raise(ev)
	}
}
