package request

import (
	"math"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/prefilltime"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// maxLoggedLosers is the largest number of candidates that were not chosen in
	// a log line.
	maxLoggedLosers = 2
	// costJitter is the upper bound of a random addition to each cost. It keeps
	// daemons with the same information from all choosing the same target.
	costJitter = 3 * time.Millisecond
)

// candidate is a possible next attempt of a request.
type candidate struct {
	target *target
	step   msg.DirectStep
	class  class
	// fetchFrom is the target from which a cached prefix is fetched first, or
	// nil.
	fetchFrom *target
	// work is the duration of the prefill on the reference engine of package
	// prefilltime.
	work prefilltime.Work
	// All four are estimates: prefill is the duration of the prefill at the
	// target, wait is the time until it begins, response is the time to the target's
	// first token, handle or response, and expected is the time to the first token
	// that the caller receives.
	prefill, wait, response, expected time.Duration
	// cost ranks the candidates. It is the expected time, increased for
	// failures of the target and for the delay that the work causes to other
	// requests.
	cost time.Duration
}

// place chooses a target for the request's next attempt and starts the attempt.
// A prompt that can only be late may be left waiting instead (see enqueue), as may a
// request whose last attempts are being explained, that resumes a stream of unknown
// origin (see hold) or for which there is soon a share of a limit (see waitForShare). It returns
// a refusal if the key is no longer valid, if the request crashes targets, if there is no
// suitable target, if the wait would be too long, or if the retry budget is used up.
func (s *stepContext) place(r *request) *refusal {
	if s.drain.over(s.now) {
		return stoppingRefusal()
	}
	if ref := s.checkKey(r); ref != nil {
		return ref
	}
	if ref := s.checkCrashes(r); ref != nil {
		return ref
	}
	if awaited, may := s.mayCrashTargets(r); may {
		s.hold(r, awaited)
		return nil
	}
	if ref, pending := s.resolveOrigin(r); pending || ref != nil {
		return ref
	}
	if s.awaitsRecord(r) {
		s.hold(r, "waits for the record of versions")
		return nil
	}
	list := s.candidates(r)
	if len(list) == 0 {
		return s.noTarget(r)
	}
	slices.SortFunc(list, func(a, b candidate) int { return int(a.cost - b.cost) })
	best := list[0]
	if s.mustWait(r, best) {
		return s.enqueue(r, best)
	}
	if r.isRetry(best.step) && !s.retryBudget(r.service).trySpend(s.now, s.limits, len(s.entries)) {
		return &refusal{statusUnavailable, "no-budget", retryAfterShort}
	}
	s.startAttempt(r, best, list)
	return nil
}

// noTarget returns the refusal of a request for which there is no candidate. Where only
// limits are in the way, another daemon may have a share left.
func (s *stepContext) noTarget(r *request) *refusal {
	if r.origin != nil && !slices.ContainsFunc(s.services[r.service], func(t *target) bool { return s.fitsOrigin(r, t) }) {
		return finalRefusal("version-gone")
	}
	limited := s.limitedTargets(r)
	switch {
	case len(limited) == 0:
		return &refusal{statusUnavailable, "no-target", retryAfterShort}
	case s.waitForShare(r, limited):
		return nil
	}
	return &refusal{statusUnavailable, "limited", retryAfterOtherEntry}
}

// candidates returns the service's usable targets, each with its cost.
func (s *stepContext) candidates(r *request) []candidate {
	all := s.services[r.service]
	maxConns := s.connLimit(r.service)
	list := make([]candidate, 0, len(all))
	if r.hasPrompt() && r.handle == "" {
		r.decodeDelay = s.decodeDelay(r)
	}
	for _, t := range all {
		if !t.usable(s.now) || !s.permits(t) || slices.Contains(r.exclude, t.Target) || !s.fitsOrigin(r, t) || len(t.open) >= maxConns {
			continue
		}
		c, ok := s.score(r, t)
		if ok {
			c.cost += time.Duration(s.rand.Float64() * float64(costJitter))
			list = append(list, c)
		}
	}
	return list
}

// connLimit returns this daemon's share of the connections that a target
// accepts.
func (s *stepContext) connLimit(id msg.ServiceID) int {
	spec := s.table.services[id]
	if spec == nil || spec.MaxConns == 0 {
		return math.MaxInt
	}
	return max(spec.MaxConns/max(len(s.entries), 1), 1)
}

// score estimates the cost of the request's next step at a target. It returns
// false if the target can't execute the step.
func (s *stepContext) score(r *request, t *target) (candidate, bool) {
	switch {
	case !r.hasPrompt():
		return s.scorePlain(r, t), true
	case r.handle != "":
		return s.scoreDecode(r, t)
	}
	return s.scorePrefill(r, t)
}

// scorePlain scores a target of a plain service, one without model engines, by
// its open requests, the usual response time and the target's speed.
func (s *stepContext) scorePlain(r *request, t *target) candidate {
	open := max(float64(s.openStreams(t)), t.reportedLoad(s.now))
	share := open / float64(max(t.Slots, 1))
	latency := s.slowed(t, 0, s.latency(r))
	wait := time.Duration(float64(latency) * share)
	c := candidate{target: t, step: msg.StepWhole, wait: wait, response: wait + latency, expected: wait + latency}
	c.cost = penalize(c.expected, t)
	return c
}

// scoreDecode scores an engine for a decode step, which continues from a prompt
// that another engine has prefilled.
func (s *stepContext) scoreDecode(r *request, t *target) (candidate, bool) {
	if t.Role == msg.RolePrefill {
		return candidate{}, false
	}
	far := r.source.Domain != t.Domain
	c := candidate{target: t, step: msg.StepDecode, wait: s.queueTime(t)}
	transfer := transferTime(s.engineSpec(t), r.arrival.PromptTokens, far)
	c.expected = c.wait/4 + transfer + s.decodeStart(r, t, transfer)
	c.response = c.expected
	c.cost = c.expected + s.riskCost(r, t)
	return c, true
}

// decodeStart estimates the time until an engine that the KV cache reaches after a delay has
// room for another stream, plus the time that its open streams add to the first token.
func (s *stepContext) decodeStart(r *request, t *target, delay time.Duration) time.Duration {
	return s.slowed(t, delay, s.capacityDelay(r, t))
}

// capacityDelay estimates the time until an engine has a slot and KV cache for
// another stream, plus the time that the open streams add to its first token.
func (s *stepContext) capacityDelay(r *request, t *target) time.Duration {
	others := s.exchange.openWork(s.now, t.Target)
	open := len(t.open) + others.Open
	d := time.Duration(open) * firstTokenPerStream
	spec := s.engineSpec(t)
	if spec == nil {
		return d
	}
	overflow := overflowRatio(open+1, spec.Slots) + overflowRatio(t.openTokens()+others.Tokens+r.arrival.PromptTokens, spec.CacheTokens)
	return d + time.Duration(overflow*float64(s.streamDuration(t.Service)))
}

// decodeDelay returns the shortest decodeStart of the engines of a request's
// service that decode. It is part of the time to the first token of a prompt that
// another engine prefills.
func (s *stepContext) decodeDelay(r *request) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, t := range s.services[r.service] {
		if t.Role == msg.RoleDecode && t.usable(s.now) && s.permits(t) {
			shortest = min(shortest, s.decodeStart(r, t, 0))
		}
	}
	if shortest == math.MaxInt64 {
		return 0
	}
	return shortest
}

// openStreams returns the number of attempts that all daemons have open at an
// engine. Each is counted as a stream, whether or not it has begun.
func (s *stepContext) openStreams(t *target) int {
	return len(t.open) + s.exchange.openWork(s.now, t.Target).Open
}

// overflowRatio returns the fraction of its capacity by which the use of a resource
// exceeds it. Streams that end at a constant rate free the whole capacity once in
// their duration, so that the excess is free again after this fraction of it.
func overflowRatio(used, capacity int) float64 {
	if capacity <= 0 || used <= capacity {
		return 0
	}
	return float64(used-capacity) / float64(capacity)
}

// scorePrefill scores an engine that would prefill the prompt. After the prefill
// by a prefill engine, a decode step at another engine follows; any other engine
// runs the whole request. It returns false for a prefill engine if the route's
// responses are not streams or a stream is to be resumed.
func (s *stepContext) scorePrefill(r *request, t *target) (candidate, bool) {
	if t.Role == msg.RolePrefill && (r.route.Retry != msg.RetryStream || r.lastEvent > 0) {
		return candidate{}, false
	}
	c := candidate{target: t, step: msg.StepWhole, wait: s.queueTime(t)}
	cached := s.caches.cachedTokens(t.Target, r.segments)
	from, held := s.bestHolder(r, t, cached)
	var fetch time.Duration
	if from != nil {
		c.fetchFrom = from
		fetch = transferTime(s.engineSpec(t), held-cached, from.Domain != t.Domain)
	}
	estimator := s.prefillEstimator(t)
	c.work = prefilltime.WorkOf(t.Role, r.arrival.PromptTokens, held)
	start := sendTime + c.wait + fetch
	usual := estimator.Prefill(c.work)
	c.prefill = time.Duration(s.congestionFactor(t) * float64(s.slowed(t, start, usual)))
	c.response = start + estimator.Base() + c.prefill
	c.expected = c.response
	if t.Role == msg.RolePrefill {
		c.step = msg.StepPrefill
		c.expected += sendTime + transferTime(s.engineSpec(t), r.arrival.PromptTokens, true) + r.decodeDelay
	}
	// The speed of the engine is left out; see price.go.
	slowdown := s.slowed(t, start, usual) - usual
	c.cost = penalize(c.expected, t) - slowdown + s.copyCost(estimator, held-cached)
	if t.Role == msg.RoleDecode {
		c.expected += s.slowed(t, start, s.capacityDelay(r, t))
		c.response = c.expected
		harm := time.Duration(s.policy.DecodeInterference * float64(s.openStreams(t)) * float64(c.prefill))
		c.cost = c.expected + s.riskCost(r, t) + c.prefill + harm
	}
	if s.canOnlyBeLate(r, c) {
		s.moveToBackground(&c)
	}
	return c, true
}

// bestHolder returns the engine other than t that holds the longest prefix of
// the prompt in its cache, with the length of that prefix in tokens. The
// parameter cached is the length of the prefix that t holds. The result is nil and
// cached unless the other prefix is longer by at least minSharedTokens. Of engines with
// equally long prefixes, one in t's failure domain is preferred.
func (s *stepContext) bestHolder(r *request, t *target, cached int) (*target, int) {
	if len(r.segments) == 0 {
		return nil, cached
	}
	var best *target
	longest := cached
	for id := range s.caches.holders[r.segments[0].ID] {
		h := s.targets[id]
		if h == nil || h == t || s.now < h.backoffUntil {
			continue
		}
		held := s.caches.cachedTokens(id, r.segments)
		if held > longest || held == longest && best != nil && nearer(h, best, t) {
			best = h
			longest = held
		}
	}
	if longest-cached < minSharedTokens {
		return nil, cached
	}
	return best, longest
}

// nearer reports whether h is preferable to best as a source for t: it is if
// only h is in t's failure domain, and otherwise if its ID is lower.
func nearer(h, best, t *target) bool {
	if near := h.Domain == t.Domain; near != (best.Domain == t.Domain) {
		return near
	}
	return h.Target < best.Target
}

// queueTime estimates the time until a target begins new foreground work. It counts the
// work that all daemons have sent. For a suspect target it is at least the
// target's lateness (see suspicionDelay).
func (s *stepContext) queueTime(t *target) time.Duration {
	return max(s.backlog(t, foreground), s.suspicionDelay(t))
}

// backlog estimates the time that a target needs for the work of a class that all daemons
// have sent.
func (s *stepContext) backlog(t *target, c class) time.Duration {
	return t.backlog(s.now, c) + s.workOfPeers(t).total(c)
}

// engineSpec returns the configuration of the engines of a target's service. It
// returns nil if the target is not an engine or there is no configuration.
func (s *stepContext) engineSpec(t *target) *msg.EngineSpec {
	if s.table == nil {
		return nil
	}
	if spec := s.table.services[t.Service]; spec != nil {
		return spec.Engine
	}
	return nil
}

// riskCost returns the cost of the risk that an engine fails the request, whose
// run can't be repeated: the engine's failure risk times the route's objective.
// Without it, an engine that fails requests at once would look idle and be
// preferred.
func (s *stepContext) riskCost(r *request, t *target) time.Duration {
	return time.Duration(t.failureRisk(s.now) * float64(r.route.Objective))
}

// penalize increases a cost with the target's failure rate, because a failed
// attempt has to be retried or fails its request.
func penalize(cost time.Duration, t *target) time.Duration {
	const weight = 6
	return time.Duration(float64(cost) * (1 + weight*t.failureRate*t.failureRate))
}
