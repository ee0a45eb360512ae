package experiment

import (
	"time"

	directrequest "github.com/verbenaspur/verbenaspur/internal/core/direct/request"
	"github.com/verbenaspur/verbenaspur/internal/core/direct/roles"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
)

const serviceID msg.ServiceID = "llm"

// startTime is the wall time at the start of an experiment.
var startTime = time.Unix(1_700_000_000, 0).UTC()

// limits are the limits of the entries. The configuration never changes during an
// experiment, so it may be an hour old.
var limits = msg.DirectLimits{
	AcceptMaxAge: time.Hour, RejectMaxAge: time.Hour,
	RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
}

// entry is a simulated entry daemon: the reducers that decide on requests, and a
// driver that executes their effects.
type entry struct {
	sim             *simulation
	self            msg.Host
	reducer         *reducer.Reducer
	openRequests    map[msg.RequestID]*request
	engineByAttempt map[msg.AttemptID]*engine
}

func newEntry(sim *simulation, self msg.Host, seed uint64) *entry {
	e := &entry{sim: sim, self: self, openRequests: make(map[msg.RequestID]*request), engineByAttempt: make(map[msg.AttemptID]*engine)}
	e.reducer = reducer.New(
		directrequest.NewWithPolicy(limits, sim.spec.Policy.Requests),
		roles.New(roles.Config{Self: self.Host, Policy: sim.spec.Policy.Roles}),
	)
	e.step(msg.Started{
		Self: msg.Self{Host: self.Host, Domain: self.Domain, Kind: msg.HostEntry}, Incarnation: "1",
		Seed: sim.spec.Seed + seed, Wall: startTime,
	})
	return e
}

// configure sends the initial configuration, members and instances to the
// reducers. The leader holds the lease under which role changes are ordered.
func (e *entry) configure(hosts []msg.Host, leader bool) {
	e.step(msg.RoutesChanged{Table: e.sim.spec.routeTable()})
	e.step(msg.RoutesConfirmed{At: 0})
	e.step(msg.MembersChanged{Entries: hosts})
	e.step(msg.InstancesChanged{Instances: e.sim.registeredInstances()})
	if leader {
		e.step(msg.LeaseChanged{Name: roles.LeaseName, Held: true, Epoch: 1, Until: time.Hour})
	}
}

func (e *entry) tick() { e.step(msg.Tick{Wall: startTime.Add(e.sim.now)}) }

// step applies an event to the reducers and executes the effects.
func (e *entry) step(ev msg.Event) {
	for _, eff := range e.reducer.Step(e.sim.now, ev) {
		e.execute(eff)
	}
}

// stepAfter applies an event after a delay.
func (e *entry) stepAfter(d time.Duration, ev msg.Event) { e.sim.after(d, func() { e.step(ev) }) }

func (e *entry) execute(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartDirectAttempt:
		e.startAttempt(eff)
	case msg.CancelAttempt:
		e.cancel(eff.Attempt)
	case msg.FreeHandle:
		e.sim.after(hopDelay, func() { delete(e.sim.byAddr[eff.Addr].handles, eff.Handle) })
	case msg.ProbeTarget:
		e.probe(eff)
	case msg.SendPeer:
		e.sendPeer(eff)
	case msg.ChangeRole:
		e.changeRole(eff)
	case msg.FinishRequest:
		e.endRequest(eff.Req, func(req *request) { req.complete() })
	case msg.AbortRequest:
		e.endRequest(eff.Req, func(req *request) { req.fail() })
	case msg.ForwardFailure:
		e.endRequest(eff.Req, func(req *request) { req.fail() })
	case msg.RefuseRequest:
		e.endRequest(eff.Req, func(req *request) { req.retryOrRefuse(eff.Status, eff.RetryAfter) })
	}
}

// endRequest removes an open request and calls then with it. It does nothing if the
// request has already ended.
func (e *entry) endRequest(id msg.RequestID, then func(*request)) {
	req := e.openRequests[id]
	delete(e.openRequests, id)
	if req != nil {
		then(req)
	}
}

func (e *entry) sendPeer(eff msg.SendPeer) {
	for _, other := range e.sim.entries {
		if other.self.Host == eff.To {
			other.stepAfter(peerDelay, msg.PeerReceived{From: e.self.Host, Message: eff.Message})
		}
	}
}

func (e *entry) probe(eff msg.ProbeTarget) {
	e.sim.after(hopDelay, func() {
		result := msg.ProbeUp
		if e.sim.byAddr[eff.Addr].down {
			result = msg.ProbeDown
		}
		e.stepAfter(hopDelay, msg.TargetProbed{Call: eff.Call, Target: eff.Target, Result: result})
	})
}

func (e *entry) changeRole(eff msg.ChangeRole) {
	target := e.sim.byAddr[eff.Addr]
	e.sim.after(hopDelay, func() {
		status := msg.OrderFailed
		if !target.down {
			target.changeRole(eff.Role)
			status = msg.OrderDone
		}
		e.stepAfter(hopDelay, msg.RoleChangeDone{Call: eff.Call, Status: status})
	})
}

// startAttempt sends an attempt to its engine.
func (e *entry) startAttempt(eff msg.StartDirectAttempt) {
	req := e.openRequests[eff.Req]
	target := e.sim.byAddr[eff.Spec.Addr]
	e.engineByAttempt[eff.Attempt] = target
	j := &job{
		attempt: eff.Attempt, step: eff.Spec.Step, priority: eff.Spec.Priority,
		segments: req.segments, promptTokens: req.promptTokens, outputTokens: req.outputTokens,
	}
	j.report = func(ev msg.Event) { e.deliver(req, ev) }
	e.sim.after(hopDelay, func() {
		switch {
		case target.down:
			j.report(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectUnreachable})
		case eff.Spec.Step == msg.StepDecode:
			e.fetchPrefilled(target, j, eff.Spec)
		case eff.Spec.CacheFrom != "":
			e.fetchCached(target, j, e.sim.byAddr[eff.Spec.CacheFrom])
		default:
			target.submit(j)
		}
	})
}

// fetchPrefilled transfers the KV cache of a prompt that another engine prefilled
// and then submits the job.
func (e *entry) fetchPrefilled(target *engine, j *job, spec msg.DirectAttemptSpec) {
	source := e.sim.byAddr[spec.HandleAddr]
	if source.handles[spec.Handle] == nil || source.down {
		j.report(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 503})
		return
	}
	delete(source.handles, spec.Handle)
	j.prefilledTokens = j.promptTokens
	tokens := j.promptTokens - target.cache.lookup(j.segments)
	target.transfer(tokens, source.instance.Domain != target.instance.Domain, func() {
		target.cache.add(j.segments)
		target.submit(j)
	})
}

// fetchCached transfers what the source has cached of the prompt beyond the
// target's own cache and then submits the job.
func (e *entry) fetchCached(target *engine, j *job, source *engine) {
	held := source.cache.lookup(j.segments)
	own := target.cache.lookup(j.segments)
	if held <= own || source.down {
		target.submit(j)
		return
	}
	target.transfer(held-own, source.instance.Domain != target.instance.Domain, func() {
		j.prefilledTokens = min(held, j.promptTokens-1)
		target.submit(j)
	})
}

// deliver delivers an engine's event of an attempt to the entry.
func (e *entry) deliver(req *request, ev msg.Event) {
	e.sim.after(hopDelay, func() {
		switch ev := ev.(type) {
		case msg.DirectAttemptStarted:
			req.recordFirstToken()
		case msg.DirectAttemptEnded:
			delete(e.engineByAttempt, ev.Attempt)
		}
		e.step(ev)
	})
}

// cancel cancels an attempt. The engine receives it after one hop, and its
// acknowledgement arrives after two.
func (e *entry) cancel(id msg.AttemptID) {
	target := e.engineByAttempt[id]
	if target == nil {
		return
	}
	e.sim.after(hopDelay, func() { target.cancel(id) })
	e.stepAfter(2*hopDelay, msg.DirectAttemptEnded{Attempt: id, Result: msg.DirectCancelled})
}
