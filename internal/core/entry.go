package core

import (
	"github.com/verbenaspur/verbenaspur/internal/core/claim"
	"github.com/verbenaspur/verbenaspur/internal/core/config"
	"github.com/verbenaspur/verbenaspur/internal/core/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/member"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/request"
	"github.com/verbenaspur/verbenaspur/internal/core/usage"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// EntryConfig configures the reducer of an entry daemon.
type EntryConfig struct {
	Self        msg.Self
	Incarnation msg.Incarnation
}

// Entry is the reducer of an entry daemon.
type Entry struct {
	*Reducer
	self     msg.Self
	claims   *claim.Part
	recorder *usage.Recorder
	reporter *usage.Reporter
	leases   *lease.Part
	config   *config.Part
	requests *request.Manager
	state    *state
}

// NewEntry returns the reducer of an entry daemon.
func NewEntry(cfg EntryConfig) *Entry {
	e := &Entry{
		self:     cfg.Self,
		claims:   claim.New(claim.Config{}),
		recorder: usage.NewRecorder(usage.RecorderConfig{}),
		reporter: usage.NewReporter(usage.ReporterConfig{}),
		leases:   lease.New(lease.Config{Self: cfg.Self.Host, Incarnation: cfg.Incarnation}),
		config:   config.New(config.Config{Self: cfg.Self.Host, Incarnation: cfg.Incarnation}),
		requests: request.New(request.Config{}),
		state:    &state{},
	}
	e.Reducer = NewReducer(
		e.leases,
		e.state,
		member.New(member.Config{Self: cfg.Self}),
		exchange.New(exchange.Config{Self: cfg.Self}),
		e.config,
		e.claims,
		e.requests,
		e.recorder,
		e.reporter,
		&stopper{idlers: []idler{e.requests, e.recorder}},
	)
	return e
}

// Index returns the configuration in force, or nil.
func (e *Entry) Index() *manifest.Index { return e.state.index }

// Config returns the configuration object in force.
func (e *Entry) Config() msg.ConfigRecord { return e.config.Current() }

// Fresh reports whether the configuration is confirmed to be the newest.
func (e *Entry) Fresh(now msg.Time) bool { return now < e.state.freshUntil }

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

// Step implements [Part].
func (s *state) Step(_ msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.ConfigChanged:
		s.index = ev.Index
	case msg.ConfigFresh:
		s.freshUntil = max(s.freshUntil, ev.Until)
	case msg.StopRequested:
		s.stopping = true
	}
	return nil
}
