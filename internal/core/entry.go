package core

import (
	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/config"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/idempotency"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/membership"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/request"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/usage"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// EntryConfig configures an [Entry].
type EntryConfig struct {
	Self        msg.Self
	Incarnation msg.Incarnation
	// Components overrides the default configurations of components, for tests.
	Components ComponentConfigs
}

// ComponentConfigs holds the configurations of components. Zero values select
// the defaults.
type ComponentConfigs struct {
	Lease       lease.Config
	Idempotency idempotency.Config
	Recorder    usage.RecorderConfig
	Reporter    usage.ReporterConfig
	TargetAgent targetagent.Config
	Fleet       fleet.Config
	Request     request.Config
	// Observer is a component that receives each event before the others. It
	// may be nil.
	Observer reducer.Component
}

// Entry is the reducer of an entry daemon in a deployment with side daemons.
type Entry struct {
	*reducer.Reducer
	self     msg.Self
	claims   *idempotency.Manager
	recorder *usage.Recorder
	reporter *usage.Reporter
	leases   *lease.Component
	config   *config.Component
	fleet    *fleet.Controller
	requests *request.Manager
	state    *state
}

// NewEntry returns the reducer of an entry daemon in a deployment with side
// daemons.
func NewEntry(cfg EntryConfig) *Entry {
	cfg.Components.Lease.Self, cfg.Components.Lease.Incarnation = cfg.Self.Host, cfg.Incarnation
	e := &Entry{
		self:     cfg.Self,
		claims:   idempotency.New(cfg.Components.Idempotency),
		recorder: usage.NewRecorder(cfg.Components.Recorder),
		reporter: usage.NewReporter(cfg.Components.Reporter),
		leases:   lease.New(cfg.Components.Lease),
		config:   config.New(config.Config{Self: cfg.Self.Host, Incarnation: cfg.Incarnation}),
		fleet:    fleet.New(cfg.Components.Fleet),
		requests: request.New(cfg.Components.Request),
		state:    &state{},
	}
	e.Reducer = newReducer(
		cfg.Components.Observer,
		e.leases,
		e.state,
		membership.New(membership.Config{Self: cfg.Self}),
		exchange.New(exchange.Config{Self: cfg.Self}),
		e.config,
		e.claims,
		e.requests,
		e.recorder,
		e.reporter,
		e.fleet,
		&stopper{requests: e.requests, flushers: []idler{e.recorder, e.claims, e.leases}},
	)
	return e
}

// newReducer returns a reducer of the components. The observer, if there is
// one, comes first.
func newReducer(observer reducer.Component, components ...reducer.Component) *reducer.Reducer {
	if observer != nil {
		components = append([]reducer.Component{observer}, components...)
	}
	return reducer.New(components...)
}

// Index returns the index of the configuration in force, or nil if there is
// none.
func (e *Entry) Index() *manifest.Index { return e.state.index }

// Config returns the configuration object in force.
func (e *Entry) Config() msg.ConfigRecord { return e.config.Current() }

// Fresh reports whether the configuration is confirmed to be the newest, so
// that it may be used.
func (e *Entry) Fresh(now msg.Time) bool { return now < e.state.freshUntil }

// Explain returns the decisions that were taken for a request. It returns false
// if they are not recorded, or no longer.
func (e *Entry) Explain(id msg.RequestID) (request.Explanation, bool) { return e.requests.Explain(id) }

// Plan returns the changes that the planner would make to a pool now. It returns
// false if the planner does not know the pool.
func (e *Entry) Plan(now msg.Time, pool msg.PoolID) (fleet.PlanStatus, bool) {
	return e.fleet.Plan(now, pool)
}

// Stopping reports whether a graceful shutdown has begun.
func (e *Entry) Stopping() bool { return e.state.stopping }

// Idle reports whether no request is open.
func (e *Entry) Idle() bool { return e.requests.Idle() }

// state is the component that records what [Entry.Index], [Entry.Fresh] and
// [Entry.Stopping] return. The driver, which executes the reducer's effects,
// calls them between steps.
type state struct {
	index      *manifest.Index
	freshUntil msg.Time
	stopping   bool
}

// Step implements [reducer.Component].
func (s *state) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.ConfigChanged:
		s.index = ev.Index
	case msg.ConfigConfirmed:
		s.freshUntil = max(s.freshUntil, ev.Until)
	case msg.StopRequested:
		s.stopping = true
	}
	return nil
}
