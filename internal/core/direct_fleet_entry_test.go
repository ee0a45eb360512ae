package core

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/platformpoll"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// fleetEntry is a host with one entry daemon. Results for an earlier process are
// dropped.
type fleetEntry struct {
	fleet   *directFleet
	host    msg.HostID
	domain  msg.FailureDomain
	life    int
	started time.Duration
	reducer *Direct
	// era is the latest era of the store that the process has seen.
	era msg.StoreEra
	// arrived holds the requests, and targets the targets of the open attempts.
	arrived map[msg.RequestID]*fleetRequest
	targets map[msg.AttemptID]*fleetTarget
	// turnedAway reports whether the store serves the others, but not this host.
	turnedAway bool
}

// start starts a new process on the host.
func (e *fleetEntry) start() {
	f := e.fleet
	e.life++
	life := e.life
	e.breakStreams()
	e.started = f.now
	e.era = 0
	e.arrived = make(map[msg.RequestID]*fleetRequest)
	e.targets = make(map[msg.AttemptID]*fleetTarget)
	inc := msg.Incarnation(fmt.Sprint("life-", life))
	self := msg.Self{Host: e.host, Domain: e.domain, Kind: msg.HostEntry}
	e.reducer = NewDirect(DirectConfig{
		Self: self, Incarnation: inc, PeerAddr: string(e.host) + ":1",
		Limits:       fleetLimits,
		PlatformPoll: platformpoll.Config{RoutesInterval: time.Second, InstancesInterval: time.Second},
		LeaseTurn:    3 * time.Second,
	})
	e.step(msg.Started{Self: self, Incarnation: inc, Seed: f.rand.Uint64(), Wall: f.wall()})
	f.every(msg.TickInterval, func() bool {
		if e.life != life {
			return false
		}
		e.step(msg.Tick{Wall: f.wall()})
		return true
	})
}

// stop ends the process on the host.
func (e *fleetEntry) stop() {
	e.life++
	e.breakStreams()
	e.reducer = nil
	e.arrived = make(map[msg.RequestID]*fleetRequest)
	e.targets = make(map[msg.AttemptID]*fleetTarget)
}

func (e *fleetEntry) step(ev msg.Event) {
	if e.reducer == nil {
		return
	}
	for _, eff := range e.reducer.Step(e.fleet.now-e.started, ev) {
		e.execute(eff)
	}
}

// later delivers an event after a delay, unless the process has ended by then.
func (e *fleetEntry) later(d time.Duration, ev msg.Event) {
	life := e.life
	e.fleet.after(d, func() {
		if e.life == life {
			e.step(ev)
		}
	})
}

func (e *fleetEntry) execute(eff msg.Effect) {
	f := e.fleet
	switch eff := eff.(type) {
	case msg.StartDirectAttempt:
		e.startAttempt(eff)
	case msg.CancelAttempt:
		e.cancel(eff.Attempt)
	case msg.RefuseRequest:
		f.refusals[eff.Code]++
		e.arrived[eff.Req].breakOff()
	case msg.AbortRequest:
		e.arrived[eff.Req].breakOff()
	case msg.FinishRequest:
		f.answered++
		e.arrived[eff.Req].answeredAt = f.now
		e.arrived[eff.Req].finish()
	case msg.SendPeer:
		e.sendPeer(eff)
	case msg.ChangeRole:
		f.after(2*time.Second, func() { f.byAddr[eff.Addr].instance.Role = eff.Role })
		e.later(fleetHop, msg.RoleChangeDone{Call: eff.Call})
	case msg.ProbeTarget:
		e.probe(eff)
	case msg.ReadRoutes:
		sent := f.now - e.started
		e.callLater(func() msg.Event { return e.routesRead(eff, sent) })
	case msg.ReadInstances:
		sent := f.now - e.started
		e.callLater(func() msg.Event { return e.instancesRead(eff, sent) })
	default:
		e.callStore(eff)
	}
}

func (e *fleetEntry) storeDown() bool { return e.turnedAway || e.fleet.now < e.fleet.storeDownUntil }

func (e *fleetEntry) routesRead(eff msg.ReadRoutes, sent msg.Time) msg.Event {
	if e.storeDown() {
		return msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable}
	}
	return msg.RoutesRead{Call: eff.Call, Sent: sent, Table: e.fleet.withQuotas(fleetRoutes())}
}

func (e *fleetEntry) instancesRead(eff msg.ReadInstances, sent msg.Time) msg.Event {
	if e.storeDown() {
		return msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable}
	}
	list, rev := e.fleet.listed()
	return msg.InstancesRead{Call: eff.Call, Sent: sent, Era: e.fleet.era, Revision: rev, Instances: list}
}

// callLater executes a call to the store after a delay and delivers its result. A new
// era is reported first, as the driver does.
func (e *fleetEntry) callLater(call func() msg.Event) {
	life := e.life
	f := e.fleet
	f.after(fleetStoreDelay, func() {
		ev := call()
		if ev == nil || e.life != life {
			return
		}
		if !e.storeDown() && e.era != f.era {
			changed := msg.StoreEraChanged{Era: f.era, Previous: e.era}
			e.era = f.era
			e.step(changed)
		}
		e.step(ev)
	})
}

func (e *fleetEntry) callStore(eff msg.Effect) {
	e.callLater(func() msg.Event {
		if e.storeDown() {
			ev, _ := coretest.Failed(eff, msg.CallUnavailable)
			return ev
		}
		ev, _ := e.fleet.objects.Do(eff)
		return ev
	})
}

func (e *fleetEntry) sendPeer(eff msg.SendPeer) {
	f := e.fleet
	if f.rand.Float64() < f.datagramLoss {
		return
	}
	var n int
	if _, err := fmt.Sscanf(string(eff.To), "entry-%d", &n); err != nil {
		f.t.Fatal(err)
	}
	f.entries[n].later(fleetHop, msg.PeerReceived{From: e.host, Message: eff.Message})
}

func (e *fleetEntry) startAttempt(eff msg.StartDirectAttempt) {
	f := e.fleet
	target := f.byAddr[eff.Spec.Addr]
	e.targets[eff.Attempt] = target
	j := &fleetJob{entry: e, life: e.life, start: eff, request: e.arrived[eff.Req]}
	f.after(fleetHop, func() { target.submit(j) })
}

func (e *fleetEntry) cancel(id msg.AttemptID) {
	target := e.targets[id]
	if target == nil {
		return
	}
	delete(e.targets, id)
	e.fleet.after(fleetHop, func() { delete(target.jobs, id) })
	e.later(fleetHop, msg.DirectAttemptEnded{Attempt: id, Result: msg.DirectCancelled})
}

func (e *fleetEntry) probe(eff msg.ProbeTarget) {
	f := e.fleet
	f.after(fleetHop, func() {
		result := msg.ProbeUp
		target := f.byAddr[eff.Addr]
		if target.down {
			result = msg.ProbeDown
		}
		e.later(fleetHop, msg.TargetProbed{Call: eff.Call, Target: eff.Target, Result: result, Load: target.load()})
	})
}
