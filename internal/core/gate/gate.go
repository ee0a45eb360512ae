// Package gate is the part of a side daemon's reducer that stands between the
// system and the target: it admits attempts, executes orders one at a time
// under a fencing number, drains and publishes load reports.
package gate

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

// Gate is the reducer part. It is not safe for concurrent use.
type Gate struct {
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
func New(cfg Config) *Gate {
	cfg.Poll = orDefault(cfg.Poll, defaultPoll)
	cfg.LongestOrder = orDefault(cfg.LongestOrder, defaultLongestOrder)
	cfg.MoveAfter = orDefault(cfg.MoveAfter, defaultMoveAfter)
	cfg.EntryGrace = orDefault(cfg.EntryGrace, defaultEntryGrace)
	return &Gate{cfg: cfg, attempts: newAttempts(), publishedAt: -publishInterval}
}

func orDefault(v, def time.Duration) time.Duration {
	if v == 0 {
		return def
	}
	return v
}

// Step takes one event and returns the effects to carry out.
func (g *Gate) Step(now msg.Time, ev msg.Event) []msg.Effect {
	if started, ok := ev.(msg.Started); ok {
		return g.start(now, started)
	}
	if g.objects == nil {
		return nil
	}
	results, effs := g.objects.Step(now, ev)
	for _, r := range results {
		effs = append(effs, g.onLeaseRead(now, r)...)
	}
	effs = append(effs, g.handle(now, ev)...)
	effs = append(effs, g.advance(now)...)
	return append(effs, g.publish(now)...)
}

func (g *Gate) start(now msg.Time, ev msg.Started) []msg.Effect {
	if ev.Self.Target == nil {
		return nil
	}
	g.self = ev.Self
	g.target = *ev.Self.Target
	g.started = now
	g.objects = store.New(store.ComponentFleet, string(ev.Self.Host)+"/"+string(ev.Incarnation))
	return g.readTarget(now)
}

func (g *Gate) handle(now msg.Time, ev msg.Event) []msg.Effect {
	switch ev := ev.(type) {
	case msg.Tick:
		return g.onTick(now)
	case msg.StopRequested:
		g.stopping = true
		g.busyAt = now
		return []msg.Effect{g.log(msg.LogInfo, "Stop asked for, draining")}
	case msg.ConfigChanged:
		g.hearGeneration(now, ev.Generation)
	case msg.ConfigConfirmed:
		g.hearGeneration(now, ev.Generation)
	case msg.AttemptOffered:
		g.busyAt = now
		return g.onOffered(now, ev)
	case msg.SideAttemptEnded:
		g.busyAt = now
		g.attempts.close(ev.Attempt)
	case msg.EntryDisconnected:
		g.attempts.entryLost(now, ev.Host)
	case msg.PeerUp:
		g.attempts.entryBack(ev.Host)
	case msg.OrderReceived:
		return g.onOrder(now, ev)
	case msg.OrderApplied:
		return g.onApplied(now, ev)
	case msg.TargetRead:
		return g.onRead(now, ev)
	case msg.TargetCrashed:
		g.reads.crashed()
		return []msg.Effect{g.log(msg.LogWarn, "Target went down")}
	}
	return nil
}

func (g *Gate) onTick(now msg.Time) []msg.Effect {
	var effs []msg.Effect
	if g.reads.due(now, g.cfg.Poll) {
		effs = append(effs, g.readTarget(now)...)
	}
	return append(effs, g.stopOrphans(now)...)
}

// advance does what has become possible: moves attempts, executes the open
// order, finishes a stop.
func (g *Gate) advance(now msg.Time) []msg.Effect {
	if !g.draining() {
		g.drainSince = now
	}
	effs := g.moveAttempts(now)
	effs = append(effs, g.advanceOrder(now)...)
	if g.mayStop(now) {
		g.stopped = true
		effs = append(effs, g.log(msg.LogInfo, "Drained, ready to stop"), msg.StopCompleted{})
	}
	return effs
}

// mayStop reports whether nothing is left to do before a stop. Until entries
// have heard of the stop they may still offer attempts, which have to be told
// that they do not run, and an answer's end may still be on its way.
func (g *Gate) mayStop(now msg.Time) bool {
	if !g.stopping || g.stopped || !g.attempts.none() || g.orders.open != nil {
		return false
	}
	return now-g.busyAt >= stopNotice
}

// draining reports whether the gate takes no new attempts.
func (g *Gate) draining() bool {
	return g.held || g.stopping || (g.orders.open != nil && g.orders.open.drains())
}

// phase is what the target is doing, as entries are to see it.
func (g *Gate) phase() msg.TargetPhase {
	switch {
	case g.reads.down:
		return msg.PhaseDown
	case !g.reads.known:
		return msg.PhaseStarting
	case g.orders.open != nil && g.orders.open.state >= orderApplying:
		return msg.PhaseChanging
	case g.reads.report.Phase == msg.PhaseChanging:
		return msg.PhaseChanging
	case g.draining():
		return msg.PhaseDraining
	}
	return msg.PhaseServing
}

func (g *Gate) log(level msg.LogLevel, text string, attrs ...msg.Attr) msg.Effect {
	attrs = append([]msg.Attr{{Key: "target", Value: string(g.target.Target)}}, attrs...)
	return msg.LogLine{Component: "gate", Level: level, Text: text, Attrs: attrs}
}
