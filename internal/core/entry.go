package core

import (
	"github.com/verbenaspur/verbenaspur/internal/core/config"
	"github.com/verbenaspur/verbenaspur/internal/core/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/fleet"
	"github.com/verbenaspur/verbenaspur/internal/core/idempotency"
	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/membership"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/core/request"
	"github.com/verbenaspur/verbenaspur/internal/core/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/core/usage"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// EntryConfig configures the reducer of an entry daemon.
type EntryConfig struct {
	Self        msg.Self
	Incarnation msg.Incarnation
	// Parts overrides the configurations of parts, for tests.
	Parts ComponentConfigs
}

// ComponentConfigs holds configurations of parts. Zero values take defaults.
type ComponentConfigs struct {
	Lease    lease.Config
	Claim    idempotency.Config
	Recorder usage.RecorderConfig
	Reporter usage.ReporterConfig
	Gate     targetagent.Config
	Fleet    fleet.Config
	Request  request.Config
	// Observer is a part that sees each event before the others; nil for none.
	Observer reducer.Component
}

// Entry is the reducer of an entry daemon.
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

// NewEntry returns the reducer of an entry daemon.
func NewEntry(cfg EntryConfig) *Entry {
	cfg.Parts.Lease.Self, cfg.Parts.Lease.Incarnation = cfg.Self.Host, cfg.Incarnation
	e := &Entry{
		self:     cfg.Self,
		claims:   idempotency.New(cfg.Parts.Claim),
		recorder: usage.NewRecorder(cfg.Parts.Recorder),
		reporter: usage.NewReporter(cfg.Parts.Reporter),
		leases:   lease.New(cfg.Parts.Lease),
		config:   config.New(config.Config{Self: cfg.Self.Host, Incarnation: cfg.Incarnation}),
		fleet:    fleet.New(cfg.Parts.Fleet),
		requests: request.New(cfg.Parts.Request),
		state:    &state{},
	}
	e.Reducer = newObserved(
		cfg.Parts.Observer,
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

// newObserved returns a reducer of the parts behind an observer, if there is
// one.
func newObserved(observer reducer.Component, parts ...reducer.Component) *reducer.Reducer {
	if observer != nil {
		parts = append([]reducer.Component{observer}, parts...)
	}
	return reducer.New(parts...)
}

// Index returns the configuration in force, or nil.
func (e *Entry) Index() *manifest.Index { return e.state.index }

// Config returns the configuration object in force.
func (e *Entry) Config() msg.ConfigRecord { return e.config.Current() }

// Fresh reports whether the configuration is confirmed to be the newest.
func (e *Entry) Fresh(now msg.Time) bool { return now < e.state.freshUntil }

// Explain returns the decisions that were taken for a request, if they are
// still remembered.
func (e *Entry) Explain(id msg.RequestID) (request.Explanation, bool) { return e.requests.Explain(id) }

// Plan returns what the planner would do now for a pool.
func (e *Entry) Plan(now msg.Time, pool msg.PoolID) (fleet.PlanStatus, bool) {
	return e.fleet.Plan(now, pool)
}

// Stopping reports whether a graceful shutdown has begun.
func (e *Entry) Stopping() bool { return e.state.stopping }

// Idle reports whether no request is open.
func (e *Entry) Idle() bool { return e.requests.Idle() }

// state is the part that remembers what the driver asks for between steps.
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
