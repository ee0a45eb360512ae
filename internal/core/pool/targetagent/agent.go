// Package targetagent is the reducer component of a side daemon that controls
// access to its target. It admits or refuses attempts, executes orders one at a
// time under the epoch of the pool's lease, which is its fencing number, drains
// the target and publishes load reports.
package targetagent

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// Config configures an [Agent]. Zero fields take defaults.
type Config struct {
	// Poll is the interval between two reads of the target's state.
	Poll time.Duration
	// MaxOrderDuration bounds how long a target may work on an order. A new agent
	// waits that long before its first order to the target, because the last
	// order of the previous process may still be in transit.
	MaxOrderDuration time.Duration
	// MoveAfter is how long idempotent attempts continue during a drain before
	// they are moved to other targets.
	MoveAfter time.Duration
	// EntryGrace is how long idempotent attempts continue after their entry
	// daemon has disconnected.
	EntryGrace time.Duration
}

const (
	defaultPoll         = 200 * time.Millisecond
	defaultLongestOrder = 30 * time.Second
	defaultMoveAfter    = 5 * time.Second
	defaultEntryGrace   = 15 * time.Second
	// publishInterval bounds the age of a published report.
	publishInterval = 500 * time.Millisecond
	// readTimeout bounds the wait for the result of a read of the target.
	readTimeout = 2 * time.Second
	// maxFailedReads is the number of consecutive failed reads after which a
	// target counts as down.
	maxFailedReads = 2
	// staleGenerationGrace is how long attempts of an older configuration are
	// accepted after a newer one was first seen.
	staleGenerationGrace = 3 * time.Second
	// stopQuietPeriod is the time without offers and ends of attempts before a
	// stop completes. Offers in transit arrive in it and are refused.
	stopQuietPeriod = time.Second
	// queueFactor bounds the attempts on a target, as a multiple of its largest
	// batch.
	queueFactor = 2
)

// Agent controls one target. It is not safe for concurrent use.
type Agent struct {
	cfg     Config
	self    msg.Self
	target  msg.TargetIdentity
	objects *store.Client
	started msg.Time

	attempts   attempts
	generation generationSeen
	reads      targetReads
	orders     orders

	// drainHeld keeps the target drained after an OrderDrain until an
	// OrderResume.
	drainHeld bool
	stopping  bool
	stopped   bool
	// lastActivity is the last instant at which a stop was requested, an attempt
	// was offered or an attempt ended.
	lastActivity msg.Time
	// drainSince is the last instant at which the target was not draining.
	drainSince msg.Time

	published   msg.LoadReport
	publishedAt msg.Time
}

// generationSeen is the highest known generation of the configuration, and the
// time at which it was first received.
type generationSeen struct {
	highest msg.Generation
	since   msg.Time
}

// New returns the agent of one side daemon. [msg.Started] brings its identity;
// without a target in it, the agent ignores all events.
func New(cfg Config) *Agent {
	cfg.Poll = orDefault(cfg.Poll, defaultPoll)
	cfg.MaxOrderDuration = orDefault(cfg.MaxOrderDuration, defaultLongestOrder)
	cfg.MoveAfter = orDefault(cfg.MoveAfter, defaultMoveAfter)
	cfg.EntryGrace = orDefault(cfg.EntryGrace, defaultEntryGrace)
	return &Agent{cfg: cfg, attempts: newAttempts(), publishedAt: -publishInterval}
}

func orDefault(v, def time.Duration) time.Duration {
	if v == 0 {
		return def
	}
	return v
}

// Step processes one event and returns the effects to carry out.
func (a *Agent) Step(now msg.Time, ev msg.Event) []msg.Effect {
	if started, ok := ev.(msg.Started); ok {
		return a.start(now, started)
	}
	if a.objects == nil {
		return nil
	}
	results, effs := a.objects.Step(now, ev)
	for _, r := range results {
		effs = append(effs, a.onLeaseRead(now, r)...)
	}
	effs = append(effs, a.handleEvent(now, ev)...)
	effs = append(effs, a.advance(now)...)
	return append(effs, a.publish(now)...)
}

func (a *Agent) start(now msg.Time, ev msg.Started) []msg.Effect {
	if ev.Self.Target == nil {
		return nil
	}
	a.self = ev.Self
	a.target = *ev.Self.Target
	a.started = now
	a.objects = store.New(store.ComponentFleet, string(ev.Self.Host)+"/"+string(ev.Incarnation))
	return a.readTarget(now)
}

func (a *Agent) handleEvent(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Tick:
		return a.onTick(now)
	case msg.StopRequested:
		a.stopping = true
		a.lastActivity = now
		return []msg.Effect{a.log(msg.LogInfo, "Stop requested, draining the target")}
	case msg.ConfigChanged:
		a.observeGeneration(now, ev.Generation)
	case msg.ConfigConfirmed:
		a.observeGeneration(now, ev.Generation)
	case msg.AttemptOffered:
		a.lastActivity = now
		return a.onOffered(now, ev)
	case msg.SideAttemptEnded:
		a.lastActivity = now
		a.attempts.close(ev.Attempt)
	case msg.EntryDisconnected:
		a.attempts.entryDisconnected(now, ev.Host)
	case msg.PeerUp:
		a.attempts.entryConnected(ev.Host)
	case msg.OrderReceived:
		return a.onOrder(now, ev)
	case msg.OrderApplied:
		return a.onApplied(now, ev)
	case msg.TargetRead:
		return a.onRead(now, ev)
	case msg.TargetCrashed:
		a.reads.onCrash()
		return []msg.Effect{a.log(msg.LogWarn, "Target is down, its attempts are lost")}
	}
	return nil
}

func (a *Agent) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	if a.reads.due(now, a.cfg.Poll) {
		effs = append(effs, a.readTarget(now)...)
	}
	return append(effs, a.stopOrphans(now)...)
}

// advance performs the steps that have become possible: it moves attempts,
// continues the open order and completes a stop.
func (a *Agent) advance(now msg.Time) []msg.Effect {
	if !a.draining() {
		a.drainSince = now
	}
	effs := a.moveIdempotent(now)
	effs = append(effs, a.advanceOrder(now)...)
	if a.canStop(now) {
		a.stopped = true
		effs = append(effs, a.log(msg.LogInfo, "Target drained, ready to stop"), msg.StopCompleted{})
	}
	return effs
}

// canStop reports whether a requested stop can complete: no attempt runs, no
// order is open and there was no activity during stopQuietPeriod. Until entry
// daemons have received the draining report they may still offer attempts, and
// each must be refused so that it counts as not run. The end of an attempt's
// response may also still be in transit.
func (a *Agent) canStop(now msg.Time) bool {
	if !a.stopping || a.stopped || !a.attempts.empty() || a.orders.open != nil {
		return false
	}
	return now-a.lastActivity >= stopQuietPeriod
}

// draining reports whether the target is draining, so that no new attempts are
// admitted.
func (a *Agent) draining() bool {
	return a.drainHeld || a.stopping || (a.orders.open != nil && a.orders.open.needsDrain())
}

// phase returns the target's phase as reported to entry daemons.
func (a *Agent) phase() msg.TargetPhase {
	switch {
	case a.reads.down:
		return msg.PhaseDown
	case !a.reads.succeeded:
		return msg.PhaseStarting
	case a.orders.open != nil && a.orders.open.state >= orderApplying:
		return msg.PhaseChanging
	case a.reads.report.Phase == msg.PhaseChanging:
		return msg.PhaseChanging
	case a.draining():
		return msg.PhaseDraining
	}
	return msg.PhaseServing
}

func (a *Agent) log(level msg.LogLevel, text string, attrs ...msg.Attr) msg.Effect {
	attrs = append([]msg.Attr{{Key: "target", Value: string(a.target.Target)}}, attrs...)
	return msg.LogLine{Component: "gate", Level: level, Text: text, Attrs: attrs}
}
