// Package directrequest manages callers' requests on an entry daemon that drives its
// targets itself: route and key, placement, attempts, retries and the end.
//
// It answers a load whose prompts share long parts, so that a request's cost
// depends on what each engine has cached, in front of a fleet that is short:
// placement looks for the earliest first token, counting the work that is open
// at each engine and the way in which a cached part can reach it. A request
// that no engine can serve in a useful time is refused at once.
package directrequest

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
)

const partName = "request"

// Manager is the part of an entry's reducer that owns the requests.
type Manager struct {
	limits      msg.DirectLimits
	policy      Policy
	self        msg.Self
	incarnation msg.Incarnation
	rand        *rand.Rand
	wall        time.Time
	seq         uint64
	lastCall    msg.CallID
	stopping    bool
	ready       bool
	// listed says that the list of targets has been read.
	listed bool

	table    *table
	freshAt  msg.Time
	hasFresh bool

	targets  map[msg.TargetID]*target
	services map[msg.ServiceID][]*target
	entries  []msg.Host
	caches   *caches
	budgets  map[msg.ServiceID]*budget
	poison   *poison.Tracker

	requests map[msg.RequestID]*request
	attempts map[msg.AttemptID]*attempt
	share    share
}

// New returns a manager without a configuration, which refuses all requests.
func New(limits msg.DirectLimits) *Manager { return NewWithPolicy(limits, Policy{}) }

// NewWithPolicy is [New] with a policy of an experiment's.
func NewWithPolicy(limits msg.DirectLimits, policy Policy) *Manager {
	return &Manager{
		limits:   limits,
		policy:   policy.withDefaults(),
		rand:     rand.New(rand.NewPCG(0, 0)),
		targets:  make(map[msg.TargetID]*target),
		services: make(map[msg.ServiceID][]*target),
		caches:   newCaches(),
		budgets:  make(map[msg.ServiceID]*budget),
		poison:   poison.NewTracker(),
		requests: make(map[msg.RequestID]*request),
		attempts: make(map[msg.AttemptID]*attempt),
		share:    newShare(),
	}
}

// Idle reports whether no request is open.
func (m *Manager) Idle() bool { return len(m.requests) == 0 }

// Step takes one event.
func (m *Manager) Step(now msg.Time, ev msg.Event) []msg.Effect {
	s := &step{Manager: m, now: now}
	s.effects = append(s.effects, m.poison.Step(now, ev)...)
	s.take(ev)
	return s.effects
}

// step is the handling of one event.
type step struct {
	*Manager
	now     msg.Time
	effects []msg.Effect
}

func (s *step) emit(e msg.Effect)  { s.effects = append(s.effects, e) }
func (s *step) raise(ev msg.Event) { s.emit(msg.Raise{Event: ev}) }

func (s *step) take(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.DirectRequestArrived:
		s.onArrived(ev)
	case msg.CallerDisconnected:
		s.onCallerGone(ev)
	case msg.DirectAttemptStarted:
		s.onBegan(ev)
	case msg.DirectAttemptEnded:
		s.onEnded(ev)
	case msg.Tick:
		s.onTick(ev)
	default:
		s.takeState(ev)
	}
}

// takeState takes events that change what the manager knows.
func (s *step) takeState(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.Started:
		s.self = ev.Self
		s.incarnation = ev.Incarnation
		s.wall = ev.Wall
		s.rand = rand.New(rand.NewPCG(ev.Seed, 0))
	case msg.StopRequested:
		s.stopping = true
		s.updateReady()
	case msg.LimitsChanged:
		s.limits = ev.Limits
	case msg.RoutesChanged:
		s.table = newTable(ev.Table)
		s.emit(msg.SetCallerLimits{Limits: ev.Table.Limits})
		s.updateReady()
	case msg.RoutesConfirmed:
		s.freshAt = max(s.freshAt, ev.At)
		s.hasFresh = true
		s.updateReady()
	case msg.InstancesChanged:
		s.onInstances(ev)
		s.listed = true
		s.updateReady()
	case msg.MembersChanged:
		s.greet(ev.Entries)
		s.entries = ev.Entries
		s.share.keep(ev.Entries)
	case msg.CacheRead:
		s.onCacheRead(ev)
	case msg.RoleChangePending:
		s.changing(ev.Target, ev.Role, ev.MaxDuration)
		s.share.changing[ev.Target] = true
		s.share.toldAt = 0
	case msg.PeerReceived:
		s.onPeer(ev)
	}
}

func (s *step) onTick(ev msg.Tick) {
	s.wall = ev.Wall
	for _, r := range s.overdue() {
		s.expire(r)
	}
	s.forgetAttempts()
	s.moveLost()
	s.tellShare()
	s.tellDemand()
	s.listCaches()
	s.updateReady()
}

// forgetAttempts drops attempts whose end was never told, so that none counts
// against its target for good.
func (s *step) forgetAttempts() {
	for id, a := range s.attempts {
		if a.req == nil && s.now >= a.forgetAt {
			delete(s.attempts, id)
			a.target.end(s.now, a)
		}
	}
}

// overdue returns the requests whose time is over, in order of arrival.
func (s *step) overdue() []*request {
	var list []*request
	for _, r := range s.requests {
		if s.now >= r.deadline {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.arrived.Req, b.arrived.Req) })
	return list
}

// updateReady tells the balancer whether this daemon can serve: it knows its
// targets and a configuration that was confirmed lately, and is not stopping.
func (s *step) updateReady() {
	ready := s.table != nil && s.listed && !s.stopping && s.fresh(s.limits.AcceptMaxAge)
	if ready == s.ready {
		return
	}
	s.ready = ready
	s.emit(msg.SetReady{Ready: ready})
	s.log("ready changed", attr("ready", ready), attr("config_age_ms", ms(s.now-s.freshAt)))
}

// fresh reports whether the configuration was confirmed within a limit.
func (s *step) fresh(limit time.Duration) bool {
	return s.hasFresh && s.now-s.freshAt < limit
}

// nextAttempt returns an id that no other attempt of the deployment has.
func (s *step) nextAttempt() msg.AttemptID {
	s.seq++
	return msg.AttemptID(fmt.Sprintf("%s.%s.%d", s.self.Host, s.incarnation, s.seq))
}
