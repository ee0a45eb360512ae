// Package targetagent is the part of a side daemon's reducer that stands between the
// system and the target: it admits attempts, executes orders one at a time
// under a fencing number, drains and publishes load reports.
package targetagent

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// Config sets up a gate. Zero fields take defaults.
type Config struct {
	// Poll is the interval between two reads of the target's state.
	Poll time.Duration
	// LongestOrder bounds how long a target may work on an order. A fresh
	// gate waits that long before its first order to the target, in case its
	// predecessor's last one is still on its way.
	LongestOrder time.Duration
	// MoveAfter is how long a drain lets idempotent attempts run on before it
	// hands them to other targets.
	MoveAfter time.Duration
	// EntryGrace is how long attempts of an unreachable entry run on.
	EntryGrace time.Duration
}

const (
	defaultPoll         = 200 * time.Millisecond
	defaultLongestOrder = 30 * time.Second
	defaultMoveAfter    = 5 * time.Second
	defaultEntryGrace   = 15 * time.Second
	// publishInterval bounds the age of a published report.
	publishInterval = 500 * time.Millisecond
	// readTimeout is how long a read of the target may go unanswered.
	readTimeout = 2 * time.Second
	// downAfter is the number of failed reads after which a target is down.
	downAfter = 2
	// generationLimit is how long an attempt may lag behind the highest known
	// configuration.
	generationLimit = 3 * time.Second
	// stopNotice is the quiet time before a stop, in which offers that are on
	// their way arrive and are refused.
	stopNotice = time.Second
	// queueFactor bounds the attempts on a target, as a multiple of its batch.
	queueFactor = 2
)

// Agent is the reducer part. It is not safe for concurrent use.
type Agent struct {
	cfg     Config
	self    msg.Self
	target  msg.TargetIdentity
	objects *store.Client
	started msg.Time

	attempts   attempts
	generation generationMark
	reads      reads
	orders     orders

	// held keeps the target drained until an OrderResume.
	held     bool
	stopping bool
	stopped  bool
	// busyAt is the last instant at which a stop was asked for, an attempt was
	// offered or an attempt ended.
	busyAt msg.Time
	// drainSince is the last instant without a drain.
	drainSince msg.Time

	published   msg.LoadReport
	publishedAt msg.Time
}

// generationMark is the highest known generation and when it was first heard.
type generationMark struct {
	highest msg.Generation
	since   msg.Time
}

// New returns the gate of one side daemon. It learns its identity from
// [msg.Started].
func New(cfg Config) *Agent {
	cfg.Poll = orDefault(cfg.Poll, defaultPoll)
	cfg.LongestOrder = orDefault(cfg.LongestOrder, defaultLongestOrder)
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

// Step takes one event and returns the effects to carry out.
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
	effs = append(effs, a.handle(now, ev)...)
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

func (a *Agent) handle(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Tick:
		return a.onTick(now)
	case msg.StopRequested:
		a.stopping = true
		a.busyAt = now
		return []msg.Effect{a.log(msg.LogInfo, "Stop asked for, draining")}
	case msg.ConfigChanged:
		a.hearGeneration(now, ev.Generation)
	case msg.ConfigConfirmed:
		a.hearGeneration(now, ev.Generation)
	case msg.AttemptOffered:
		a.busyAt = now
		return a.onOffered(now, ev)
	case msg.SideAttemptEnded:
		a.busyAt = now
		a.attempts.close(ev.Attempt)
	case msg.EntryDisconnected:
		a.attempts.entryLost(now, ev.Host)
	case msg.PeerUp:
		a.attempts.entryBack(ev.Host)
	case msg.OrderReceived:
		return a.onOrder(now, ev)
	case msg.OrderApplied:
		return a.onApplied(now, ev)
	case msg.TargetRead:
		return a.onRead(now, ev)
	case msg.TargetCrashed:
		a.reads.crashed()
		return []msg.Effect{a.log(msg.LogWarn, "Target went down")}
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

// advance does what has become possible: moves attempts, executes the open
// order, finishes a stop.
func (a *Agent) advance(now msg.Time) []msg.Effect {
	if !a.draining() {
		a.drainSince = now
	}
	effs := a.moveAttempts(now)
	effs = append(effs, a.advanceOrder(now)...)
	if a.mayStop(now) {
		a.stopped = true
		effs = append(effs, a.log(msg.LogInfo, "Drained, ready to stop"), msg.StopCompleted{})
	}
	return effs
}

// mayStop reports whether nothing is left to do before a stop. Until entries
// have heard of the stop they may still offer attempts, which have to be told
// that they do not run, and an answer's end may still be on its way.
func (a *Agent) mayStop(now msg.Time) bool {
	if !a.stopping || a.stopped || !a.attempts.none() || a.orders.open != nil {
		return false
	}
	return now-a.busyAt >= stopNotice
}

// draining reports whether the gate takes no new attempts.
func (a *Agent) draining() bool {
	return a.held || a.stopping || (a.orders.open != nil && a.orders.open.drains())
}

// phase is what the target is doing, as entries are to see it.
func (a *Agent) phase() msg.TargetPhase {
	switch {
	case a.reads.down:
		return msg.PhaseDown
	case !a.reads.known:
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
