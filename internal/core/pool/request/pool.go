package request

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fairqueue"
)

const (
	// maxHeads is the number of client accounts that are tried before the pool
	// counts as full: the router is asked for a target for the next request of
	// each of them.
	maxHeads = 4
	// publishInterval is the interval at which service rates are published.
	publishInterval = 500 * time.Millisecond
	// poolSeparator separates the pool's name from the client account in keys
	// of published values.
	poolSeparator = "/"
)

// pool holds the requests that wait for a target of one pool.
type pool struct {
	name  string
	queue *fairqueue.Queue
	// suspects are the waiting requests with a recorded crash, in the order in
	// which they were added. They wait outside of the queue because each needs
	// a target that runs no other suspect.
	suspects []*request
}

// pool returns the state of a pool, which it creates if there is none. The
// pools are sorted by name.
func (s *step) pool(name string) *pool {
	i, ok := slices.BinarySearchFunc(s.pools, name, func(p *pool, n string) int {
		return strings.Compare(p.name, n)
	})
	if !ok {
		s.pools = slices.Insert(s.pools, i, &pool{name: name, queue: fairqueue.New(s.cfg.FairQueue)})
	}
	return s.pools[i]
}

// admit queues a new request or refuses it. It also refuses the requests that
// were evicted from the queue to make space for it.
func (s *step) admit(r *request) {
	p := s.pool(r.pool.Name)
	s.budgets.Deposit(msg.RouteID(r.route.Name), r.accountID())
	if s.poison.CrashCount(r.fingerprint) > 0 {
		s.queueSuspect(p, r)
		return
	}
	r.item = s.newQueueItem(r)
	ref, evicted := p.queue.Push(s.now, r.queueAccount(), r.item)
	if ref != nil {
		s.refuse(r, overloadRefusal(ref.Reason, ref.RetryAfter, r.outcome))
		return
	}
	r.state = stateQueued
	for _, it := range evicted {
		if other := s.requests[it.Req]; other != nil {
			other.state = stateEvicted
			s.refuse(other, overloadRefusal(fairqueue.ReasonEvicted, retryAfterDefault, other.outcome))
		}
	}
	s.dispatch(p)
}

// overloadRefusal returns the refusal of a request that can't be queued.
func overloadRefusal(reason fairqueue.Reason, retryAfter time.Duration, outcome msg.Outcome) refusal {
	return refusal{statusTooManyRequests, CodeOverloaded, string(reason), outcome, retryAfter}
}

// newQueueItem returns an item for the queue that stands for the request, or for
// the remainder of it after an earlier attempt.
func (s *step) newQueueItem(r *request) *fairqueue.Item {
	tokens := float64(r.arrived.PromptTokens + r.tokens + s.expectedOutput(r))
	return &fairqueue.Item{Req: r.arrived.Req, Class: r.class, Tokens: max(tokens, minRequestTokens), StartBy: r.startBy}
}

// minRequestTokens is the minimum number of tokens that a request is charged
// for when its attempt starts. It is also the final charge for a call of a plain
// service.
const minRequestTokens = 100

// requeue queues a request for a further attempt.
func (s *step) requeue(r *request) {
	p := s.pool(r.pool.Name)
	if s.poison.CrashCount(r.fingerprint) > 0 {
		s.queueSuspect(p, r)
		return
	}
	r.item = s.newQueueItem(r)
	p.queue.Requeue(s.now, r.queueAccount(), r.item)
	r.state = stateQueued
	s.dispatch(p)
}

// dispatch starts attempts until no waiting request of the pool can start.
func (s *step) dispatch(p *pool) {
	s.dispatchSuspects(p)
	for s.dispatchOne(p) {
	}
}

// dispatchOne starts an attempt of the first request in the queue's order that a
// target can run. It asks for a target for the first maxHeads requests only, and
// reports false if it starts none.
func (s *step) dispatchOne(p *pool) bool {
	for _, it := range p.queue.Heads(s.now, maxHeads) {
		r := s.requests[it.Req]
		if s.startAttempt(p, r) {
			return true
		}
	}
	return false
}

// maxSuspects is the maximum number of suspects that wait for one pool.
const maxSuspects = 2048

// queueSuspect adds a request to the waiting suspects, or refuses it.
func (s *step) queueSuspect(p *pool, r *request) {
	if len(p.suspects) >= maxSuspects {
		s.refuse(r, overloadRefusal(fairqueue.ReasonQueueFull, retryAfterDefault, r.outcome))
		return
	}
	r.item = nil
	r.state = stateQueued
	p.suspects = append(p.suspects, r)
	s.dispatch(p)
}

// dispatchSuspects starts the waiting suspects in order until no target can run
// the next one.
func (s *step) dispatchSuspects(p *pool) {
	for len(p.suspects) > 0 {
		r := p.suspects[0]
		if !s.startAttempt(p, r) {
			return
		}
		p.removeWaiting(r)
	}
}

// removeWaiting removes a request from the queue or from the waiting suspects.
func (p *pool) removeWaiting(r *request) {
	if r.item != nil {
		p.queue.Remove(r.item)
		return
	}
	if i := slices.Index(p.suspects, r); i >= 0 {
		p.suspects = slices.Delete(p.suspects, i, i+1)
	}
}

// publishRates publishes to the other entries the rates at which this entry
// serves the client accounts, and the expected tokens of their waiting requests.
func (s *step) publishRates() {
	if s.now < s.nextPublishAt {
		return
	}
	s.nextPublishAt = s.now + publishInterval
	var value msg.SectionValue
	for _, p := range s.pools {
		value.Entries = append(value.Entries, p.queue.LocalEntries(s.now, p.name+poolSeparator)...)
	}
	s.raise(msg.PublishState{Section: msg.SectionServedTokens, Value: value})
}

// onAggregateReceived applies the service rates and waiting tokens of the other
// entries.
func (s *step) onAggregateReceived(ev msg.AggregateReceived) {
	if ev.Section != msg.SectionServedTokens {
		return
	}
	for _, e := range ev.Value.Entries {
		name, account, ok := strings.Cut(e.Key, poolSeparator)
		if !ok {
			continue
		}
		weight := 1.0
		if s.index != nil {
			if a := s.index.Account(account); a != nil {
				weight = a.Weight
			}
		}
		s.pool(name).queue.ApplyRemote(s.now, msg.AccountID(account), weight, e.Values)
	}
}

// defaultOutput is the expected length of a response in tokens on a route on
// which no response has been finished.
const defaultOutput = 256

// expectedOutput returns the number of tokens that a request is expected to
// generate, without those of earlier attempts. It is 0 for a call of a plain
// service, and at least 1 otherwise.
func (s *step) expectedOutput(r *request) int {
	if r.arrived.Service != "" {
		return 0
	}
	expected, ok := s.outputLengths[r.route.Name]
	if !ok {
		expected = defaultOutput
	}
	left := max(int(expected), r.tokens+1) - r.tokens
	if limit := r.arrived.MaxTokens; limit > 0 {
		left = min(left, max(limit-r.tokens, 1))
	}
	return left
}

// outputWeight is the weight of one response in the moving average of the
// length of responses.
const outputWeight = 0.02

// updateExpectedOutput adds the length of a response to the average of its
// route.
func (s *step) updateExpectedOutput(r *request, generated int) {
	expected, ok := s.outputLengths[r.route.Name]
	if !ok {
		expected = defaultOutput
	}
	s.outputLengths[r.route.Name] = expected + outputWeight*(float64(generated)-expected)
}
