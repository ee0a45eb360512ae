// Package request handles the requests of callers on an entry daemon that
// sends them to its targets itself, without side daemons. It resolves the route
// and checks the key, chooses a target, starts attempts, retries, and ends the
// request.
//
// It is designed for a load in which prompts share long prefixes, so that the
// cost of a request depends on what each engine has in its cache, and for a
// fleet with too little capacity. Placement, which chooses the target of each
// attempt, therefore minimizes the expected time to the first token. It takes
// into account the work that is open at each engine and whether an engine can
// fetch a cached prefix from another one. A prompt for which no engine can
// produce the first token soon enough (see [Policy]) waits in a queue, or is refused at
// once if its turn would not come in time.
//
// Three terms describe the work of a request. An attempt is one call to a
// target. An attempt that makes the target produce the response is a run; a
// prefill is not. A retry is an attempt beyond the request's first prefill and
// its first run.
package request

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/admission"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/prefilltime"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/quota"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/refused"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/sharedrate"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/streamorigin"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/targetspeed"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
)

const componentName = "request"

// Manager is the component of an entry daemon's reducer that handles requests.
type Manager struct {
	limits      msg.DirectLimits
	policy      Policy
	self        msg.Self
	incarnation msg.Incarnation
	rand        *rand.Rand
	wall        time.Time
	// seq is the number of the last attempt, and lastCall the ID of the last call to
	// a target besides attempts.
	seq      uint64
	lastCall msg.CallID
	// drain is set by the request to stop.
	drain drain
	// ready reports whether the load balancer may send requests to this daemon.
	ready bool
	// targetsListed reports whether the list of targets has been read.
	targetsListed bool
	// configAfter and targetsAfter are when this process first had a configuration and a
	// list of targets.
	configAfter, targetsAfter msg.Time

	table *routeTable
	// confirmedAt is the last instant at which the configuration was confirmed
	// to be the newest. It is valid if configConfirmed is set.
	confirmedAt     msg.Time
	configConfirmed bool

	targets  map[msg.TargetID]*target
	services map[msg.ServiceID][]*target
	// entries lists the live entry daemons, including this one.
	entries      []msg.Host
	limitMembers sharedrate.Members
	// quotaHolder decides about the quotas that this daemon holds, and quotaAsker reserves
	// what requests cost. Both are set once the process has started.
	quotaHolder  *quota.Holder
	quotaAsker   *quota.Asker
	caches       *cacheView
	retryBudgets map[msg.ServiceID]*retryBudget
	prefillTimes map[engineKind]*prefilltime.Estimator
	speeds       *targetspeed.Tracker
	// paced holds the services whose targets have reported paces to this daemon.
	paced map[msg.ServiceID]bool
	// sentAt holds when this daemon last sent a request to a target of each service.
	sentAt map[msg.ServiceID]msg.Time
	// latencies holds the average response times of the routes of plain services.
	latencies map[msg.RouteID]*routeLatency
	// streamDurations holds the average duration of each service's streams.
	streamDurations map[msg.ServiceID]time.Duration
	// queues holds the prompts that wait for an engine of a service.
	queues map[msg.ServiceID]*admission.Queue
	// typicalPrefill is the average expected prefill time of a route's prompts.
	typicalPrefill map[msg.RouteID]time.Duration
	// poison counts the crashes of targets that a request may have caused, and
	// probing the interrupted attempts of each request that probes in flight may show
	// to be such crashes, both by the request's fingerprint.
	poison  *poison.Tracker
	probing map[uint64]int
	// origins holds the software versions at which streams began, history those at which
	// streams may have begun, and archive what outlives this process.
	origins *streamorigin.Registry
	history *streamorigin.History
	archive *streamorigin.Archive
	// held lists the requests that wait for probes in flight or for the origin of the
	// stream that they resume.
	held []*request

	// refusals remembers the refused requests whose callers may come back.
	refusals *refused.Memory

	requests map[msg.RequestID]*request
	attempts map[msg.AttemptID]*attempt
	exchange loadExchange
}

// New returns a manager without a configuration. It refuses all requests until
// it receives one.
func New(limits msg.DirectLimits) *Manager { return NewWithPolicy(limits, Policy{}) }

// NewWithPolicy is like [New], with a policy that an experiment has set.
func NewWithPolicy(limits msg.DirectLimits, policy Policy) *Manager {
	return &Manager{
		limits:          limits,
		policy:          policy.withDefaults(),
		rand:            rand.New(rand.NewPCG(0, 0)),
		targets:         make(map[msg.TargetID]*target),
		services:        make(map[msg.ServiceID][]*target),
		caches:          newCacheView(),
		retryBudgets:    make(map[msg.ServiceID]*retryBudget),
		prefillTimes:    make(map[engineKind]*prefilltime.Estimator),
		speeds:          targetspeed.New(),
		paced:           make(map[msg.ServiceID]bool),
		sentAt:          make(map[msg.ServiceID]msg.Time),
		latencies:       make(map[msg.RouteID]*routeLatency),
		streamDurations: make(map[msg.ServiceID]time.Duration),
		queues:          make(map[msg.ServiceID]*admission.Queue),
		typicalPrefill:  make(map[msg.RouteID]time.Duration),
		poison:          poison.NewTracker(),
		probing:         make(map[uint64]int),
		origins:         streamorigin.New(),
		history:         streamorigin.NewHistory(),
		archive:         streamorigin.NewArchive(),
		refusals:        refused.New(),
		requests:        make(map[msg.RequestID]*request),
		attempts:        make(map[msg.AttemptID]*attempt),
		exchange:        newLoadExchange(),
	}
}

// Idle reports whether no request is open.
func (m *Manager) Idle() bool { return len(m.requests) == 0 }

// Step processes one event and returns its effects.
func (m *Manager) Step(now msg.Time, ev msg.Event) []msg.Effect {
	s := &stepContext{Manager: m, now: now}
	s.effects = append(s.effects, m.poison.Step(now, ev)...)
	s.stepOrigins(ev)
	s.handle(ev)
	return s.effects
}

// stepContext is the context in which one event is processed: the manager, the
// time of the event and the effects so far.
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
	case msg.DirectBodyStarted:
		s.onBodyStarted(ev)
	case msg.DirectAttemptEnded:
		s.onAttemptEnded(ev)
	case msg.Tick:
		s.onTick(ev)
	default:
		s.handleStateEvent(ev)
	}
}

// handleStateEvent processes events that do not concern a single request.
func (s *stepContext) handleStateEvent(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.Started:
		s.self = ev.Self
		s.incarnation = ev.Incarnation
		s.wall = ev.Wall
		s.rand = rand.New(rand.NewPCG(ev.Seed, 0))
		s.startQuotas(ev.Seed)
	case msg.StopRequested:
		s.onStopRequested(ev)
	case msg.LimitsChanged:
		s.limits = ev.Limits
		s.configureQuotas()
	case msg.RoutesChanged:
		if s.table == nil {
			s.configAfter = s.now
		}
		s.table = newRouteTable(ev.Table)
		s.forgetRemoved()
		s.configureOrigins(ev.Table)
		s.configureQuotas()
		s.emit(msg.SetCallerLimits{Limits: ev.Table.Limits})
		s.updateReady()
	case msg.RoutesConfirmed:
		s.confirmedAt = max(s.confirmedAt, ev.At)
		s.configConfirmed = true
		s.updateReady()
	case msg.InstancesChanged:
		s.onInstancesChanged(ev)
		if !s.targetsListed {
			s.targetsListed = true
			s.targetsAfter = s.now
		}
		s.updateReady()
	case msg.MembersChanged:
		s.informNewEntries(ev.Entries)
		s.entries = ev.Entries
		s.assignPaceProbes()
		s.limitMembers.SetListed(s.now, ev.Entries)
		if ev.Complete {
			s.limitMembers.Settle()
		}
		s.forgetFormerMembers(ev.Entries)
	case msg.CacheRead:
		s.onCacheRead(ev)
	case msg.TargetProbed:
		s.onTargetProbed(ev)
	case msg.RoleChangePending:
		s.suspendForRoleChange(ev.Target, ev.Role, ev.MaxDuration)
		s.exchange.roleChanges[ev.Target] = true
		s.exchange.sendSoon()
	case msg.PeerReceived:
		s.onPeerMessage(ev)
	case msg.CrashRecorded:
		s.logCrashRecord(ev)
	case msg.SegmentBlocked:
		s.logSegmentBlocked(ev)
	case msg.GetDone, msg.ListDone, msg.PutDone:
		s.resumeHeld()
	}
}

func (s *stepContext) onTick(ev msg.Tick) {
	s.wall = ev.Wall
	for _, r := range s.expiredRequests() {
		s.expire(r)
	}
	s.endDrain()
	s.dropAbandonedAttempts()
	s.limitMembers.Advance(s.now)
	s.advanceQuotas()
	s.refusals.Advance(s.now)
	s.forgetSilentPeers()
	s.speeds.Advance(s.now)
	s.advanceProbes()
	s.resumeHeld()
	s.advanceQueues()
	s.reconsiderAttempts()
	s.sendDigest()
	s.reportDecodeDemand()
	s.readCaches()
	s.probePaces()
	s.updateReady()
}

// dropAbandonedAttempts removes attempts that no request waits for any more and
// whose own end was not reported in time. Otherwise they would count as work of
// their targets forever.
func (s *stepContext) dropAbandonedAttempts() {
	for id, a := range s.attempts {
		if a.req == nil && s.now >= a.dropAt {
			delete(s.attempts, id)
			a.target.removeAttempt(a)
		}
	}
}

// expiredRequests returns the requests whose deadline has passed, ordered by
// ID.
func (s *stepContext) expiredRequests() []*request {
	var list []*request
	for _, r := range s.requests {
		if s.now >= r.deadline {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, compareRequests)
	return list
}

// compareRequests orders requests by ID.
func compareRequests(a, b *request) int { return cmp.Compare(a.arrival.Req, b.arrival.Req) }

// updateReady updates whether the load balancer may send requests to this
// daemon. It may if the daemon has read the list of targets, has a configuration
// that was confirmed recently, and is not stopping.
func (s *stepContext) updateReady() {
	ready := s.table != nil && s.targetsListed && !s.drain.requested && s.configFresh(s.limits.AcceptMaxAge)
	if ready == s.ready {
		return
	}
	s.ready = ready
	s.emit(msg.SetReady{Ready: ready})
	s.log(
		"readiness changed", attr("ready", ready), attr("config_age_ms", formatMS(s.now-s.confirmedAt)),
		attr("age_ms", formatMS(s.now)), attr("config_after_ms", formatMS(s.configAfter)), attr("targets_after_ms", formatMS(s.targetsAfter)),
	)
}

// configFresh reports whether the configuration was confirmed within the given
// time.
func (s *stepContext) configFresh(limit time.Duration) bool {
	return s.configConfirmed && s.now-s.confirmedAt < limit
}

// nextCall returns the ID of a call to a target.
func (s *stepContext) nextCall() msg.CallID {
	s.lastCall++
	return s.lastCall
}

// newAttemptID returns an ID that is unique in the deployment.
func (s *stepContext) newAttemptID() msg.AttemptID {
	s.seq++
	return msg.AttemptID(fmt.Sprintf("%s.%s.%d", s.self.Host, s.incarnation, s.seq))
}
