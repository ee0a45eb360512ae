// Package request manages the life of callers' requests on an entry daemon:
// route and key, claim, admission, attempts and retries, and the end.
package request

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/fairqueue"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/poison"
	"github.com/verbenaspur/verbenaspur/internal/core/retry"
	"github.com/verbenaspur/verbenaspur/internal/core/routing"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Config configures a manager.
type Config struct {
	Route routing.Config
	Admit fairqueue.Config
}

// Manager is the part of an entry's reducer that owns the requests.
type Manager struct {
	self        msg.Self
	incarnation msg.Incarnation
	wall        time.Time
	index       *manifest.Index
	generation  msg.Generation
	freshUntil  msg.Time
	stopping    bool
	seq         uint64
	cfg         Config
	router      *routing.Router
	pools       []*pool
	outputs     map[string]float64
	budgets     *retry.Budgets
	decisions   *decisionLog
	poison      *poison.Tracker
	shareAt     msg.Time
	requests    map[msg.RequestID]*request
	attempts    map[msg.AttemptID]*request
	// order holds the requests in order of arrival.
	order []*request
}

// New returns a manager without a configuration, which refuses all requests.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:       cfg,
		router:    routing.New(cfg.Route),
		outputs:   make(map[string]float64),
		budgets:   retry.New(),
		decisions: newDecisionLog(),
		poison:    poison.NewTracker(),
		requests:  make(map[msg.RequestID]*request),
		attempts:  make(map[msg.AttemptID]*request),
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
	case msg.RequestArrived:
		s.onArrived(ev)
	case msg.ClaimSettled:
		s.onClaim(ev)
	case msg.CallerDisconnected:
		s.onCallerGone(ev)
	case msg.AttemptAccepted:
		s.onAccepted(ev)
	case msg.AttemptProgress:
		s.onProgress(ev)
	case msg.AttemptEnded:
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
		s.router.Report(s.now, ev)
		s.dispatch(s.pool(string(ev.Target.Pool)))
	case msg.TargetUnreachable:
		s.router.Lost(ev.Target)
	case msg.CacheReported:
		s.router.CacheReported(ev)
	case msg.MembersChanged:
		s.router.Members(s.now, ev)
	case msg.AggregateReceived:
		s.onShared(ev)
	}
}

// nextAttempt returns an id that no other attempt of the deployment has.
func (s *step) nextAttempt() msg.AttemptID {
	s.seq++
	return msg.AttemptID(fmt.Sprintf("%s.%s.%d", s.self.Host, s.incarnation, s.seq))
}

func (s *step) log(part, text string, attrs ...msg.Attr) {
	s.emit(msg.LogLine{Component: part, Text: text, Attrs: attrs})
}
