package request

import (
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/admission"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// typicalPrefillWeight is the weight of one prompt in the average prefill time
	// of a route.
	typicalPrefillWeight = 0.05
	// minStreamPatience and objectivesOfPatience bound how long a caller waits for
	// the first event of a stream: the longer of this time and this multiple of the
	// route's objective.
	minStreamPatience    = 2 * time.Second
	objectivesOfPatience = 4
	// startMargin is kept of a waiting prompt's time, for what the estimates leave
	// out.
	startMargin = 50 * time.Millisecond
)

// mustWait reports whether a prompt is not to start at its best candidate now. What
// has been prefilled or may have run does not wait.
func (s *stepContext) mustWait(r *request, best candidate) bool {
	if !r.hasPrompt() || r.handle != "" || r.attemptsSent > 0 {
		return false
	}
	if !r.waiting && s.meetsObjective(r, best) {
		return false
	}
	// The prompt can only be late. It starts where others leave room, but not ahead
	// of those that wait already.
	hasRoom := best.wait <= time.Duration(s.policy.WaitingStartRatio*float64(r.route.Objective))
	return !hasRoom || !r.waiting && s.waitingQueue(r.service).Len() > 0
}

// meetsObjective reports whether the first token of a prompt is expected within
// Policy.MaxDelayRatio objectives after its caller first asked. A prompt that is longer
// than its route's typical one is judged as that one, so that long prompts are not put off
// more often.
func (s *stepContext) meetsObjective(r *request, best candidate) bool {
	s.observeTypicalPrefill(r, best)
	return s.now-r.askedAt+best.expected-s.excessPrefill(r, best) <= time.Duration(s.policy.MaxDelayRatio*float64(r.route.Objective))
}

// excessPrefill returns the time by which a prompt's prefill is longer than that of its
// route's typical prompt.
func (s *stepContext) excessPrefill(r *request, c candidate) time.Duration {
	typical, ok := s.typicalPrefill[r.route.Name]
	if !ok {
		return 0
	}
	return max(c.prefill-typical, 0)
}

// observeTypicalPrefill updates the average prefill time of the route's prompts.
func (s *stepContext) observeTypicalPrefill(r *request, best candidate) {
	typical, ok := s.typicalPrefill[r.route.Name]
	if !ok {
		typical = best.prefill
	}
	typical += time.Duration(typicalPrefillWeight * float64(best.prefill-typical))
	s.typicalPrefill[r.route.Name] = typical
}

// enqueue lets a prompt wait for an engine, or returns a refusal if its turn would not
// come in time.
func (s *stepContext) enqueue(r *request, best candidate) *refusal {
	if r.waiting {
		return nil
	}
	q := s.waitingQueue(r.service)
	patience := max(minStreamPatience, objectivesOfPatience*r.route.Objective)
	limit := min(r.deadline, r.arrivedAt+patience)
	w := admission.Waiter{Req: r.arrival.Req, Work: best.prefill, StartBy: limit - (best.expected - best.wait) - startMargin}
	if retryAfter, ok := q.Offer(s.now, w); !ok {
		spread := 0.75 + 0.5*s.rand.Float64()
		return &refusal{statusUnavailable, "overloaded", time.Duration(spread * float64(retryAfter))}
	}
	r.waiting = true
	s.logRequest(r, "waits for an engine", attr("route", r.route.Name), attr("expected_ms", formatMS(best.expected)), attr("ahead", q.Len()-1))
	return nil
}

// waitingQueue returns the queue of the prompts that wait for a service, with the
// capacity that this daemon may use.
func (s *stepContext) waitingQueue(id msg.ServiceID) *admission.Queue {
	q := s.queues[id]
	if q == nil {
		q = &admission.Queue{}
		s.queues[id] = q
	}
	q.SetCapacity(float64(len(s.services[id])) / float64(max(len(s.entries), 1)))
	return q
}

// startWaiting starts prompts that wait for a service as long as engines have room.
func (s *stepContext) startWaiting(id msg.ServiceID) {
	q := s.queues[id]
	if q == nil {
		return
	}
	for {
		w, ok := q.Head()
		if !ok {
			return
		}
		r := s.requests[w.Req]
		if ref := s.place(r); ref != nil {
			s.refuse(r, *ref)
			continue
		}
		if r.waiting {
			return
		}
	}
}

// leaveQueue removes a request that starts or ends from its queue.
func (s *stepContext) leaveQueue(r *request, started bool) {
	if !r.waiting {
		return
	}
	r.waiting = false
	if started {
		s.queues[r.service].Started(r.arrival.Req)
		return
	}
	s.queues[r.service].Remove(r.arrival.Req)
}

// advanceQueues starts prompts for which there is room, and refuses those whose turn
// will not come in time.
func (s *stepContext) advanceQueues() {
	for _, id := range slices.Sorted(maps.Keys(s.queues)) {
		s.startWaiting(id)
		for _, req := range s.waitingQueue(id).Advance(s.now) {
			r := s.requests[req]
			r.waiting = false
			s.refuse(r, refusal{statusUnavailable, "overloaded", retryAfterShort})
		}
	}
}
