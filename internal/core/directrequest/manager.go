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

const componentName = "request"

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
	// targetsListed says that the list of targets has been read.
	targetsListed bool

	table           *routeTable
	confirmedAt     msg.Time
	configConfirmed bool

	targets      map[msg.TargetID]*target
	services     map[msg.ServiceID][]*target
	entries      []msg.Host
	caches       *cacheView
	retryBudgets map[msg.ServiceID]*retryBudget
	poison       *poison.Ledger

	requests map[msg.RequestID]*request
	attempts map[msg.AttemptID]*attempt
	exchange loadExchange
}

// New returns a manager without a configuration, which refuses all requests.
func New(limits msg.DirectLimits) *Manager { return NewWithPolicy(limits, Policy{}) }

// NewWithPolicy is [New] with a policy of an experiment's.
func NewWithPolicy(limits msg.DirectLimits, policy Policy) *Manager {
	return &Manager{
		limits:       limits,
		policy:       policy.withDefaults(),
		rand:         rand.New(rand.NewPCG(0, 0)),
		targets:      make(map[msg.TargetID]*target),
		services:     make(map[msg.ServiceID][]*target),
		caches:       newCacheView(),
		retryBudgets: make(map[msg.ServiceID]*retryBudget),
		poison:       poison.New(),
		requests:     make(map[msg.RequestID]*request),
		attempts:     make(map[msg.AttemptID]*attempt),
		exchange:     newLoadExchange(),
	}
}

// Idle reports whether no request is open.
func (m *Manager) Idle() bool { return len(m.requests) == 0 }

// Step takes one event.
func (m *Manager) Step(now msg.Time, ev msg.Event) []msg.Effect {
	s := &stepContext{Manager: m, now: now}
	s.effects = append(s.effects, m.poison.Step(now, ev)...)
	s.handle(ev)
	return s.effects
}

// stepContext is the handling of one event.
type stepContext struct {
	*Manager
	now     msg.Time
	effects []msg.Effect
}

func (s *stepContext) emit(e msg.Effect)  { s.effects = append(s.effects, e) }
func (s *stepContext) raise(ev msg.Event) { s.emit(msg.Raise{Event: ev}) }

func (s *stepContext) handle(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.DirectRequestArrived:
		s.onRequestArrived(ev)
	case msg.CallerDisconnected:
		s.onCallerDisconnected(ev)
	case msg.DirectAttemptStarted:
		s.onAttemptStarted(ev)
	case msg.DirectAttemptEnded:
		s.onAttemptEnded(ev)
	case msg.Tick:
		s.onTick(ev)
	default:
		s.handleStateEvent(ev)
	}
}

// handleStateEvent takes events that change what the manager knows.
func (s *stepContext) handleStateEvent(ev msg.Event) {
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
		s.table = newRouteTable(ev.Table)
		s.emit(msg.SetCallerLimits{Limits: ev.Table.Limits})
		s.updateReady()
	case msg.RoutesConfirmed:
		s.confirmedAt = max(s.confirmedAt, ev.At)
		s.configConfirmed = true
		s.updateReady()
	case msg.InstancesChanged:
		s.onInstancesChanged(ev)
		s.targetsListed = true
		s.updateReady()
	case msg.MembersChanged:
		s.sendCacheToNewEntries(ev.Entries)
		s.entries = ev.Entries
		s.exchange.dropNonMembers(ev.Entries)
	case msg.CacheRead:
		s.onCacheRead(ev)
	case msg.RoleChangePending:
		s.suspendForRoleChange(ev.Target, ev.Role, ev.MaxDuration)
		s.exchange.roleChanges[ev.Target] = true
		s.exchange.digestSentAt = 0
	case msg.PeerReceived:
		s.onPeerMessage(ev)
	}
}

func (s *stepContext) onTick(ev msg.Tick) {
	s.wall = ev.Wall
	for _, r := range s.expiredRequests() {
		s.expire(r)
	}
	s.dropAbandonedAttempts()
	s.restartLostPrefills()
	s.sendDigest()
	s.raiseDecodeDemand()
	s.readCaches()
	s.updateReady()
}

// dropAbandonedAttempts drops attempts whose end was never told, so that none counts
// against its target for good.
func (s *stepContext) dropAbandonedAttempts() {
	for id, a := range s.attempts {
		if a.req == nil && s.now >= a.dropAt {
			delete(s.attempts, id)
			a.target.removeAttempt(s.now, a)
		}
	}
}

// expiredRequests returns the requests whose time is over, in order of arrival.
func (s *stepContext) expiredRequests() []*request {
	var list []*request
	for _, r := range s.requests {
		if s.now >= r.deadline {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.arrival.Req, b.arrival.Req) })
	return list
}

// updateReady tells the balancer whether this daemon can serve: it knows its
// targets and a configuration that was confirmed lately, and is not stopping.
func (s *stepContext) updateReady() {
	ready := s.table != nil && s.targetsListed && !s.stopping && s.configFresh(s.limits.AcceptMaxAge)
	if ready == s.ready {
		return
	}
	s.ready = ready
	s.emit(msg.SetReady{Ready: ready})
	s.log("ready changed", attr("ready", ready), attr("config_age_ms", formatMS(s.now-s.confirmedAt)))
}

// configFresh reports whether the configuration was confirmed within a limit.
func (s *stepContext) configFresh(limit time.Duration) bool {
	return s.configConfirmed && s.now-s.confirmedAt < limit
}

// newAttemptID returns an id that no other attempt of the deployment has.
func (s *stepContext) newAttemptID() msg.AttemptID {
	s.seq++
	return msg.AttemptID(fmt.Sprintf("%s.%s.%d", s.self.Host, s.incarnation, s.seq))
}
