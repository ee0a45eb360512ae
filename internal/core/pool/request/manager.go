// Package request handles the requests of callers on an entry daemon: it finds
// the route and checks the API key, claims non-idempotent requests, queues
// requests for a target, runs and retries attempts, and ends the request.
package request

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fairqueue"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/retry"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/routing"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Config configures a manager.
type Config struct {
	// Routing configures the selection of targets, and FairQueue the queues.
	Routing   routing.Config
	FairQueue fairqueue.Config
}

// Manager is the component of an entry's reducer that handles the requests.
type Manager struct {
	self        msg.Self
	incarnation msg.Incarnation
	wall        time.Time
	index       *manifest.Index
	generation  msg.Generation
	// freshUntil is the time until which the configuration is confirmed to be
	// the newest.
	freshUntil msg.Time
	stopping   bool
	// seq is the number of attempts that this process has started.
	seq    uint64
	cfg    Config
	router *routing.Router
	pools  []*pool
	// outputLengths holds the moving average of the length of a response in
	// tokens, by the name of the route.
	outputLengths map[string]float64
	budgets       *retry.Budgets
	decisions     *decisionLog
	poison        *poison.Tracker
	nextPublishAt msg.Time
	requests      map[msg.RequestID]*request
	attempts      map[msg.AttemptID]*request
	// byArrival holds the open requests in order of arrival.
	byArrival []*request
}

// New returns a manager without a configuration. It refuses all requests until
// it receives one.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:           cfg,
		router:        routing.New(cfg.Routing),
		outputLengths: make(map[string]float64),
		budgets:       retry.New(),
		decisions:     newDecisionLog(),
		poison:        poison.NewTracker(),
		requests:      make(map[msg.RequestID]*request),
		attempts:      make(map[msg.AttemptID]*request),
	}
}

// Idle reports whether no request is open.
func (m *Manager) Idle() bool { return len(m.requests) == 0 }

// Step handles one event.
func (m *Manager) Step(now msg.Time, ev msg.Event) []msg.Effect {
	s := &step{Manager: m, now: now}
	s.effects = append(s.effects, m.poison.Step(now, ev)...)
	s.handle(ev)
	return s.effects
}

// step handles one event and collects its effects.
type step struct {
	*Manager
	now     msg.Time
	effects []msg.Effect
}

// emit adds an effect to those that Step returns.
func (s *step) emit(e msg.Effect) { s.effects = append(s.effects, e) }

// raise emits an event for the other components.
func (s *step) raise(ev msg.Event) { s.emit(msg.Raise{Event: ev}) }

func (s *step) handle(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.RequestArrived:
		s.onArrived(ev)
	case msg.ClaimSettled:
		s.onClaimSettled(ev)
	case msg.CallerDisconnected:
		s.onCallerDisconnected(ev)
	case msg.AttemptAccepted:
		s.onAccepted(ev)
	case msg.AttemptProgress:
		s.onProgress(ev)
	case msg.AttemptEnded:
		s.onEnded(ev)
	case msg.Tick:
		s.onTick(ev)
	default:
		s.handleState(ev)
	}
}

// handleState handles events that change the manager's state but concern no
// single request.
func (s *step) handleState(ev msg.Event) {
	switch ev := ev.(type) {
	case msg.Started:
		s.self = ev.Self
		s.incarnation = ev.Incarnation
		s.wall = ev.Wall
		s.router.Start(ev)
	case msg.StopRequested:
		s.stopping = true
	case msg.ConfigChanged:
		s.index = ev.Index
		s.generation = ev.Generation
		s.router.Configure(ev.Index)
		s.recheckKeys()
	case msg.ConfigConfirmed:
		s.freshUntil = max(s.freshUntil, ev.Until)
	case msg.TargetReported:
		s.router.ApplyReport(s.now, ev)
		s.dispatch(s.pool(string(ev.Target.Pool)))
	case msg.TargetUnreachable:
		s.router.MarkUnreachable(ev.Target)
	case msg.CacheReported:
		s.router.ApplyCacheEvents(ev)
	case msg.MembersChanged:
		s.router.UpdateMembers(s.now, ev)
	case msg.AggregateReceived:
		s.onAggregateReceived(ev)
	}
}

// nextAttempt returns an attempt id that is unique in the deployment.
func (s *step) nextAttempt() msg.AttemptID {
	s.seq++
	return msg.AttemptID(fmt.Sprintf("%s.%s.%d", s.self.Host, s.incarnation, s.seq))
}

func (s *step) log(component, text string, attrs ...msg.Attr) {
	s.emit(msg.LogLine{Component: component, Text: text, Attrs: attrs})
}
