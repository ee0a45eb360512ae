package request

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/fairqueue"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// headsTried is the number of accounts whose next request is offered to
	// the router before a pool counts as full.
	headsTried = 4
	// shareEvery is the interval at which service rates are shared.
	shareEvery = 500 * time.Millisecond
	// poolSeparator ends the pool's name in keys of shared values.
	poolSeparator = "/"
)

// pool holds the requests that wait for the targets of one pool.
type pool struct {
	name  string
	queue *fairqueue.Queue
	// suspects are the requests with a strike. They wait apart, because each
	// needs a target without another suspect.
	suspects []*request
}

// pool returns the state of a pool; the pools are kept in order of name.
func (s *step) pool(name string) *pool {
	i, ok := slices.BinarySearchFunc(s.pools, name, func(p *pool, n string) int {
		return strings.Compare(p.name, n)
	})
	if !ok {
		s.pools = slices.Insert(s.pools, i, &pool{name: name, queue: fairqueue.New(s.cfg.Admit)})
	}
	return s.pools[i]
}

// admit queues a new request or refuses it.
func (s *step) admit(r *request) {
	p := s.pool(r.pool.Name)
	s.budgets.Earn(msg.RouteID(r.route.Name), r.accountID())
	if s.poison.CrashCount(r.fingerprint) > 0 {
		s.setAside(p, r)
		return
	}
	r.item = s.newItem(r)
	ref, evicted := p.queue.Push(s.now, r.admitAccount(), r.item)
	if ref != nil {
		s.refuse(r, overload(ref.Reason, ref.RetryAfter, r.outcome))
		return
	}
	r.state = stateQueued
	for _, it := range evicted {
		if other := s.requests[it.Req]; other != nil {
			other.state = stateEvicted
			s.refuse(other, overload(fairqueue.ReasonEvicted, retrySoon, other.outcome))
		}
	}
	s.dispatch(p)
}

func overload(reason fairqueue.Reason, retryAfter time.Duration, outcome msg.Outcome) refusal {
	return refusal{statusTooManyRequests, CodeOverloaded, string(reason), outcome, retryAfter}
}

func (s *step) newItem(r *request) *fairqueue.Item {
	tokens := float64(r.arrived.PromptTokens + r.tokens + s.outputLeft(r))
	return &fairqueue.Item{Req: r.arrived.Req, Class: r.class, Tokens: max(tokens, minTokens), StartBy: r.startBy}
}

// minTokens is the least service that a request counts for, such as a call of
// a plain service.
const minTokens = 100

// requeue puts a request back that is to have a further attempt.
func (s *step) requeue(r *request) {
	p := s.pool(r.pool.Name)
	if s.poison.CrashCount(r.fingerprint) > 0 {
		s.setAside(p, r)
		return
	}
	r.item = s.newItem(r)
	p.queue.Requeue(s.now, r.admitAccount(), r.item)
	r.state = stateQueued
	s.dispatch(p)
}

// dispatch starts attempts until the pool's targets have no room.
func (s *step) dispatch(p *pool) {
	s.dispatchSuspects(p)
	for s.dispatchOne(p) {
	}
}

func (s *step) dispatchOne(p *pool) bool {
	for _, it := range p.queue.Heads(s.now, headsTried) {
		r := s.requests[it.Req]
		if s.start(p, r) {
			return true
		}
	}
	return false
}

// maxSuspects bounds the suspects that wait for one pool.
const maxSuspects = 2048

// setAside lets a request wait among the suspects.
func (s *step) setAside(p *pool, r *request) {
	if len(p.suspects) >= maxSuspects {
		s.refuse(r, overload(fairqueue.ReasonQueueFull, retrySoon, r.outcome))
		return
	}
	r.item = nil
	r.state = stateQueued
	p.suspects = append(p.suspects, r)
	s.dispatch(p)
}

// dispatchSuspects starts suspects until no target can take one.
func (s *step) dispatchSuspects(p *pool) {
	for len(p.suspects) > 0 {
		r := p.suspects[0]
		if !s.start(p, r) {
			return
		}
		p.drop(r)
	}
}

// drop takes a request out of the pool's waiting ones.
func (p *pool) drop(r *request) {
	if r.item != nil {
		p.queue.Remove(r.item)
		return
	}
	if i := slices.Index(p.suspects, r); i >= 0 {
		p.suspects = slices.Delete(p.suspects, i, i+1)
	}
}

// share tells the other entries the service rates of this one.
func (s *step) share() {
	if s.now < s.shareAt {
		return
	}
	s.shareAt = s.now + shareEvery
	var value msg.SectionValue
	for _, p := range s.pools {
		value.Entries = append(value.Entries, p.queue.Local(s.now, p.name+poolSeparator)...)
	}
	s.raise(msg.PublishState{Section: msg.SectionServedTokens, Value: value})
}

func (s *step) onShared(ev msg.AggregateReceived) {
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
		s.pool(name).queue.Remote(s.now, msg.AccountID(account), weight, e.Values)
	}
}

// defaultOutput is the expected length of an answer in tokens before any was
// seen on a route.
const defaultOutput = 256

// outputLeft is the number of tokens that a request is expected to generate.
func (s *step) outputLeft(r *request) int {
	if r.arrived.Service != "" {
		return 0
	}
	expected, ok := s.outputs[r.route.Name]
	if !ok {
		expected = defaultOutput
	}
	left := max(int(expected), r.tokens+1) - r.tokens
	if limit := r.arrived.MaxTokens; limit > 0 {
		left = min(left, max(limit-r.tokens, 1))
	}
	return left
}

// outputWeight is the weight of one answer in the expected length.
const outputWeight = 0.02

func (s *step) learnOutput(r *request, generated int) {
	expected, ok := s.outputs[r.route.Name]
	if !ok {
		expected = defaultOutput
	}
	s.outputs[r.route.Name] = expected + outputWeight*(float64(generated)-expected)
}
