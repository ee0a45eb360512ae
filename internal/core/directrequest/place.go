package directrequest

import (
	"math"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// logged is the number of losing candidates in a log line.
	logged = 2
	// spread is the part of a cost that is drawn at random, so that daemons
	// with the same picture do not all choose the same target.
	spread = 3 * time.Millisecond
)

// candidate is one way to serve a request.
type candidate struct {
	target *target
	step   msg.DirectStep
	// from is a target whose cached prefix is fetched first, or nil.
	from *target
	// work is the prefill at the target, wait the time until it begins and
	// expected the time to the first token.
	work, wait, expected time.Duration
	// cost ranks the candidates: the expected time, weighed by the target's
	// failures, and what the work costs others.
	cost time.Duration
}

// place chooses a target for the request's next attempt and starts it. It
// returns a refusal where there is none, or none in time.
func (s *step) place(r *request) *refusal {
	if ref := s.checkKey(r); ref != nil {
		return ref
	}
	list := s.candidates(r)
	if len(list) == 0 {
		return &refusal{statusUnavailable, "no-target", retrySoon}
	}
	slices.SortFunc(list, func(a, b candidate) int { return int(a.cost - b.cost) })
	best := list[0]
	late := s.now - r.since + best.expected - time.Duration(s.policy.MaxDelayRatio*float64(r.route.Objective))
	if r.generation() && r.handle == "" && r.runs == 0 && late > 0 {
		return &refusal{statusUnavailable, "overloaded", max(late, retrySoon)}
	}
	if r.repeats(best.step) && !s.budget(r.service).spend(s.now, s.limits, len(s.entries)) {
		return &refusal{statusUnavailable, "no-budget", retrySoon}
	}
	s.start(r, best, list)
	return nil
}

// candidates filters the service's targets and scores each.
func (s *step) candidates(r *request) []candidate {
	all := s.services[r.service]
	most := s.connLimit(r.service)
	list := make([]candidate, 0, len(all))
	for _, t := range all {
		if !t.usable(s.now) || slices.Contains(r.exclude, t.Target) || len(t.open) >= most {
			continue
		}
		c, ok := s.score(r, t)
		if ok {
			c.cost += time.Duration(s.rand.Float64() * float64(spread))
			list = append(list, c)
		}
	}
	return list
}

// connLimit is this daemon's part of the connections that a target takes.
func (s *step) connLimit(id msg.ServiceID) int {
	spec := s.table.services[id]
	if spec == nil || spec.MaxConns == 0 {
		return math.MaxInt
	}
	return max(spec.MaxConns/max(len(s.entries), 1), 1)
}

// score returns the way in which a target can serve the request's next step.
func (s *step) score(r *request, t *target) (candidate, bool) {
	switch {
	case !r.generation():
		return s.scorePlain(t), true
	case r.handle != "":
		return s.scoreDecode(r, t)
	}
	return s.scoreRead(r, t)
}

// scorePlain scores a target of a plain service by the work that is open.
func (s *step) scorePlain(t *target) candidate {
	open := max(len(t.open)+s.share.open(t.Target).Open, t.told(s.now))
	slots := max(t.Slots, 1)
	latency := max(t.latency, time.Millisecond)
	wait := time.Duration(float64(latency) * float64(open) / float64(slots))
	c := candidate{target: t, step: msg.StepWhole, wait: wait, expected: wait + latency}
	c.cost = penalize(c.expected, t)
	return c
}

// scoreDecode scores an engine that goes on from a prompt read elsewhere.
func (s *step) scoreDecode(r *request, t *target) (candidate, bool) {
	if t.Role == msg.RolePrefill {
		return candidate{}, false
	}
	far := r.source.Domain != t.Domain
	c := candidate{target: t, step: msg.StepDecode, wait: s.wait(t)}
	c.expected = c.wait/4 + s.roomTime(r, t) + transferTime(s.engine(t), r.arrived.PromptTokens, far)
	c.cost = c.expected + s.riskCost(r, t)
	return c, true
}

// roomTime is the time until an engine has a slot and memory for one more
// stream, and what the streams beside it add to its first token.
func (s *step) roomTime(r *request, t *target) time.Duration {
	others := s.share.open(t.Target)
	open := len(t.open) + others.Open
	d := time.Duration(open) * streamDelay
	spec := s.engine(t)
	if spec == nil {
		return d
	}
	d += overflow(open+1, spec.Slots)
	return d + overflow(t.memory()+others.Tokens+r.arrived.PromptTokens, spec.CacheTokens)
}

// streams is the number of attempts that all daemons have open at an engine.
func (s *step) streams(t *target) int { return len(t.open) + s.share.open(t.Target).Open }

// overflow is the time until what exceeds a capacity has left: streams that
// fill it leave within streamTime.
func overflow(used, capacity int) time.Duration {
	if capacity <= 0 || used <= capacity {
		return 0
	}
	return time.Duration(float64(streamTime) * float64(used-capacity) / float64(capacity))
}

// scoreRead scores an engine that reads the prompt: one that decodes goes on
// with the request, one that prefills hands it on.
func (s *step) scoreRead(r *request, t *target) (candidate, bool) {
	c := candidate{target: t, step: msg.StepWhole, wait: s.wait(t)}
	cached := s.caches.held(t.Target, r.parts)
	from, held := s.bestHolder(r, t, cached)
	var fetch time.Duration
	if from != nil {
		c.from = from
		fetch = transferTime(s.engine(t), held-cached, from.Domain != t.Domain)
		cached = held
	}
	c.work = time.Duration(t.slow * float64(readTime(t.Role, r.arrived.PromptTokens, cached)))
	c.expected = hop + firstToken + c.wait + fetch + c.work
	if t.Role == msg.RolePrefill {
		if r.route.Retry != msg.RetryStream || r.lastEvent > 0 {
			return candidate{}, false
		}
		c.step = msg.StepPrefill
		c.expected += hop + transferTime(s.engine(t), r.arrived.PromptTokens, true)
	}
	c.cost = penalize(c.expected, t)
	if t.Role == msg.RoleDecode {
		harm := time.Duration(s.policy.DecodeInterference * float64(s.streams(t)) * float64(c.work))
		c.cost = c.expected + s.riskCost(r, t) + c.work + harm
	}
	return c, true
}

// bestHolder returns the engine that holds the longest prefix of the prompt,
// if it is longer than what t holds itself: one of t's failure domain first.
func (s *step) bestHolder(r *request, t *target, cached int) (*target, int) {
	if len(r.parts) == 0 {
		return nil, 0
	}
	var best *target
	most := cached
	for id := range s.caches.holders[r.parts[0].ID] {
		h := s.targets[id]
		if h == nil || h == t || s.now < h.avoidUntil {
			continue
		}
		held := s.caches.held(id, r.parts)
		if held > most || held == most && best != nil && nearer(h, best, t) {
			best = h
			most = held
		}
	}
	if most-cached < minShared {
		return nil, 0
	}
	return best, most
}

func nearer(h, best, t *target) bool {
	if near := h.Domain == t.Domain; near != (best.Domain == t.Domain) {
		return near
	}
	return h.Target < best.Target
}

// wait is the time until a target begins with new work, counting what all
// daemons sent.
func (s *step) wait(t *target) time.Duration {
	return max(t.backlog(s.now)+s.share.backlog(s.now, t.Target), s.suspicion(t))
}

// engine returns what the configuration says of a target's engines, or nil.
func (s *step) engine(t *target) *msg.EngineSpec {
	if s.table == nil {
		return nil
	}
	if spec := s.table.services[t.Service]; spec != nil {
		return spec.Engine
	}
	return nil
}

// riskCost is what a request is likely to lose at an engine that fails some of
// its runs, which can't be made again: an engine that fails at once looks idle.
func (s *step) riskCost(r *request, t *target) time.Duration {
	return time.Duration(t.risk(s.now) * float64(r.route.Objective))
}

// penalize weighs a cost by the target's failures: an attempt that fails has
// to be made again, or is lost.
func penalize(cost time.Duration, t *target) time.Duration {
	const weight = 6
	return time.Duration(float64(cost) * (1 + weight*t.failing*t.failing))
}
