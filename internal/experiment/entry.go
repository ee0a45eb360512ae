package experiment

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/directrequest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/core/roles"
)

const serviceID msg.ServiceID = "llm"

// started is the wall time at which an experiment begins.
var started = time.Unix(1_700_000_000, 0).UTC()

// limits are those of a deployment whose configuration never changes.
var limits = msg.DirectLimits{
	AcceptMaxAge: time.Hour, RejectMaxAge: time.Hour,
	RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
}

// entry is an entry daemon: the reducer's parts that decide on requests, and
// a driver that carries out their effects.
type entry struct {
	w       *world
	self    msg.Host
	reducer *reducer.Reducer
	open    map[msg.RequestID]*caller
	targets map[msg.AttemptID]*engine
}

func newEntry(w *world, self msg.Host, seed uint64) *entry {
	e := &entry{w: w, self: self, open: make(map[msg.RequestID]*caller), targets: make(map[msg.AttemptID]*engine)}
	e.reducer = reducer.New(
		directrequest.NewWithPolicy(limits, w.spec.Policy.Requests),
		roles.New(roles.Config{Self: self.Host, Policy: w.spec.Policy.Roles}),
	)
	e.step(msg.Started{
		Self: msg.Self{Host: self.Host, Domain: self.Domain, Kind: msg.HostEntry}, Incarnation: "1",
		Seed: w.spec.Seed + seed, Wall: started,
	})
	return e
}

// begin tells the daemon of its deployment. The leader holds the lease under
// which roles are ordered.
func (e *entry) begin(hosts []msg.Host, leader bool) {
	e.step(msg.RoutesChanged{Table: e.w.spec.table()})
	e.step(msg.RoutesConfirmed{At: 0})
	e.step(msg.MembersChanged{Entries: hosts})
	e.step(msg.InstancesChanged{Instances: e.w.list()})
	if leader {
		e.step(msg.LeaseChanged{Name: roles.LeaseName, Held: true, Epoch: 1, Until: time.Hour})
	}
}

func (e *entry) tick() { e.step(msg.Tick{Wall: started.Add(e.w.now)}) }

func (e *entry) step(ev msg.Event) {
	for _, eff := range e.reducer.Step(e.w.now, ev) {
		e.do(eff)
	}
}

// later hands the daemon an event after a delay.
func (e *entry) later(d time.Duration, ev msg.Event) { e.w.after(d, func() { e.step(ev) }) }

func (e *entry) do(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartDirectAttempt:
		e.send(eff)
	case msg.CancelAttempt:
		e.cancel(eff.Attempt)
	case msg.FreeHandle:
		e.w.after(hop, func() { delete(e.w.byAddr[eff.Addr].handles, eff.Handle) })
	case msg.SendPeer:
		e.tell(eff)
	case msg.ChangeRole:
		e.order(eff)
	case msg.FinishRequest:
		e.end(eff.Req, func(c *caller) { c.answered() })
	case msg.AbortRequest:
		e.end(eff.Req, func(c *caller) { c.failed() })
	case msg.ForwardFailure:
		e.end(eff.Req, func(c *caller) { c.failed() })
	case msg.RefuseRequest:
		e.end(eff.Req, func(c *caller) { c.refused(eff.Status, eff.RetryAfter) })
	}
}

func (e *entry) end(id msg.RequestID, then func(*caller)) {
	c := e.open[id]
	delete(e.open, id)
	if c != nil {
		then(c)
	}
}

func (e *entry) tell(eff msg.SendPeer) {
	for _, other := range e.w.entries {
		if other.self.Host == eff.To {
			other.later(peerDelay, msg.PeerReceived{From: e.self.Host, Message: eff.Message})
		}
	}
}

func (e *entry) order(eff msg.ChangeRole) {
	target := e.w.byAddr[eff.Addr]
	e.w.after(hop, func() {
		status := msg.OrderFailed
		if !target.down {
			target.change(eff.Role)
			status = msg.OrderDone
		}
		e.later(hop, msg.RoleChangeDone{Call: eff.Call, Status: status})
	})
}

// send carries an attempt to its engine.
func (e *entry) send(eff msg.StartDirectAttempt) {
	c := e.open[eff.Req]
	target := e.w.byAddr[eff.Spec.Addr]
	e.targets[eff.Attempt] = target
	j := &job{
		attempt: eff.Attempt, step: eff.Spec.Step, priority: eff.Spec.Priority,
		parts: c.parts, prompt: c.prompt, outputs: c.outputs,
	}
	j.told = func(ev msg.Event) { e.news(c, ev) }
	e.w.after(hop, func() {
		switch {
		case target.down:
			j.told(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectUnreachable})
		case eff.Spec.Step == msg.StepDecode:
			e.takeOver(target, j, eff.Spec)
		case eff.Spec.CacheFrom != "":
			e.fetchFirst(target, j, e.w.byAddr[eff.Spec.CacheFrom])
		default:
			target.arrive(j)
		}
	})
}

// takeOver moves the KV cache of a prompt that another engine read.
func (e *entry) takeOver(target *engine, j *job, spec msg.DirectAttemptSpec) {
	source := e.w.byAddr[spec.HandleAddr]
	if source.handles[spec.Handle] == nil || source.down {
		j.told(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 503})
		return
	}
	delete(source.handles, spec.Handle)
	j.done = j.prompt
	tokens := j.prompt - target.cache.held(j.parts)
	target.fetch(tokens, source.in.Domain != target.in.Domain, func() {
		target.cache.add(j.parts)
		target.arrive(j)
	})
}

// fetchFirst moves what the other engine holds of the prompt.
func (e *entry) fetchFirst(target *engine, j *job, source *engine) {
	held := source.cache.held(j.parts)
	own := target.cache.held(j.parts)
	if held <= own || source.down {
		target.arrive(j)
		return
	}
	target.fetch(held-own, source.in.Domain != target.in.Domain, func() {
		j.done = min(held, j.prompt-1)
		target.arrive(j)
	})
}

// news takes an engine's news of an attempt to the daemon.
func (e *entry) news(c *caller, ev msg.Event) {
	e.w.after(hop, func() {
		switch ev := ev.(type) {
		case msg.DirectAttemptStarted:
			c.began()
		case msg.DirectAttemptEnded:
			delete(e.targets, ev.Attempt)
		}
		e.step(ev)
	})
}

func (e *entry) cancel(id msg.AttemptID) {
	target := e.targets[id]
	if target == nil {
		return
	}
	e.w.after(hop, func() { target.cancel(id) })
	e.later(2*hop, msg.DirectAttemptEnded{Attempt: id, Result: msg.DirectCancelled})
}
