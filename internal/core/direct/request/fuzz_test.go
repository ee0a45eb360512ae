package request

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Actions that the property test draws.

func (o *oracle) arrive(t *rapid.T) {
	o.seq++
	route := &o.table.Routes[rapid.IntRange(0, len(o.table.Routes)-1).Draw(t, "route")]
	ev := msg.DirectRequestArrived{
		Req: msg.RequestID(fmt.Sprint(o.seq)), CallerID: fmt.Sprint("c", o.seq), Host: "h", Method: "POST",
		Path: route.Prefix + "x", Key: rapid.SampledFrom([]string{"key", "key", "key", "other"}).Draw(t, "key"),
		BodyHash: uint64(rapid.IntRange(1, 30).Draw(t, "body")), Timeout: time.Duration(rapid.IntRange(300, 6000).Draw(t, "timeout")) * time.Millisecond,
	}
	if route.Retry == msg.RetryStream {
		prompt(uint64(rapid.IntRange(1, 5).Draw(t, "part")), rapid.IntRange(10, 20_000).Draw(t, "shared"), rapid.IntRange(10, 5000).Draw(t, "own"))(&ev)
	}
	o.requests[ev.Req] = &trackedRequest{arrival: ev, route: route, arrivedAt: o.now}
	o.arrivals[route.Shares[0].Service] = append(o.arrivals[route.Shares[0].Service], o.now)
	o.step(ev)
}

// openAttempt draws an attempt that has not ended. It returns "" if there is
// none.
func (o *oracle) openAttempt(t *rapid.T) msg.AttemptID {
	o.order = slices.DeleteFunc(o.order, func(id msg.AttemptID) bool { return o.attempts[id].done })
	if len(o.order) == 0 {
		return ""
	}
	return o.order[rapid.IntRange(0, len(o.order)-1).Draw(t, "attempt")]
}

func (o *oracle) startAttempt(t *rapid.T) {
	id := o.openAttempt(t)
	if id == "" || o.attempts[id].spec.Step == msg.StepPrefill {
		return
	}
	if o.attempts[id].req.route.Retry != msg.RetryStream {
		o.startBody(id)
		return
	}
	if a := o.attempts[id]; !a.req.ended {
		if !a.req.started() {
			a.req.version = a.version
		}
		a.req.response = msg.ResponseStream
	}
	o.step(msg.DirectAttemptStarted{Attempt: id})
}

// startBody passes on the body of an attempt as it arrives.
func (o *oracle) startBody(id msg.AttemptID) {
	a := o.attempts[id]
	if a.cancelled || a.abandoned && !o.goOn(id) {
		return
	}
	if !a.req.ended {
		a.req.response = msg.ResponseBody
		a.req.answering = max(a.req.answering, a.index)
	}
	o.step(msg.DirectBodyStarted{Attempt: id})
}

// goOn lets an abandoned attempt go on that has begun to answer before the driver was told
// to give it up. It returns false if that is not possible.
func (o *oracle) goOn(id msg.AttemptID) bool {
	a := o.attempts[id]
	r := a.req
	if r.ended || a.cancelled || a.spec.Step == msg.StepPrefill || r.answering >= a.index {
		return false
	}
	if other := o.attempts[r.open]; other != nil {
		other.cancelled = true
	}
	a.abandoned = false
	r.open = id
	return true
}

func (o *oracle) endAttempt(t *rapid.T) {
	id := o.openAttempt(t)
	if id == "" {
		return
	}
	a := o.attempts[id]
	a.done = true
	r := a.req
	ev := msg.DirectAttemptEnded{Attempt: id}
	if a.spec.Step == msg.StepPrefill {
		ev.Result = rapid.SampledFrom([]msg.DirectResult{msg.DirectPrefilled, msg.DirectPrefilled, msg.DirectNotRun, msg.DirectUnreachable, msg.DirectFailed, msg.DirectInterrupted}).Draw(t, "result")
		if ev.Result == msg.DirectPrefilled {
			o.handles++
			ev.Handle = fmt.Sprint("h", o.handles)
		}
	} else {
		ev.Result = rapid.SampledFrom([]msg.DirectResult{msg.DirectDone, msg.DirectDone, msg.DirectNotRun, msg.DirectUnreachable, msg.DirectFailed, msg.DirectInterrupted}).Draw(t, "result")
		if r.started() && (ev.Result == msg.DirectNotRun || ev.Result == msg.DirectUnreachable || ev.Result == msg.DirectFailed) {
			ev.Result = msg.DirectInterrupted
		}
		if (a.cancelled || a.abandoned) && (ev.Result != msg.DirectDone || !o.goOn(id)) {
			ev.Result = msg.DirectCancelled
		}
		if ev.Result == msg.DirectInterrupted && r.route.Retry != msg.RetryStream && !a.abandoned && rapid.Bool().Draw(t, "begun") {
			r.response = msg.ResponseBody
		}
	}
	if r.ended {
		ev.Result = msg.DirectCancelled
	}
	r.answering = max(r.answering, a.index)
	o.recordEnd(r, a, &ev)
	o.step(ev)
}

// recordEnd updates the model of a request at the end of an attempt.
func (o *oracle) recordEnd(r *trackedRequest, a *trackedAttempt, ev *msg.DirectAttemptEnded) {
	if a.abandoned || a.cancelled {
		return
	}
	r.open = ""
	if ev.Result == msg.DirectPrefilled {
		r.handle = ev.Handle
	}
	if a.spec.Step == msg.StepPrefill {
		if ev.Result == msg.DirectUnreachable {
			r.prefillArrivals--
		}
		return
	}
	switch ev.Result {
	case msg.DirectUnreachable:
		r.runArrivals--
		r.handle = a.spec.Handle // no target has used it
	case msg.DirectFailed:
		r.failureHeld = true
		r.runs++
	case msg.DirectInterrupted, msg.DirectDone:
		r.runs++
	}
	if r.response == msg.ResponseStream {
		r.lastEvent += 3
	}
	ev.LastEvent = r.lastEvent
	ev.Response = r.response
}

func (o *oracle) disconnectCaller(t *rapid.T) {
	id := o.openAttempt(t)
	if id == "" || o.attempts[id].req.ended {
		return
	}
	r := o.attempts[id].req
	r.ended = true
	o.step(msg.CallerDisconnected{Req: r.arrival.Req})
}

func (o *oracle) advance(t *rapid.T) {
	o.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
	o.step(msg.Tick{Wall: time.Unix(1000, 0).Add(o.now)})
	for id, r := range o.requests {
		if !r.ended && o.now >= r.deadline() {
			o.fatalf("request %s is open after its deadline", id)
		}
		if !r.ended && o.drainEnd > 0 && o.now >= o.drainEnd {
			o.fatalf("request %s is open after the end of the drain", id)
		}
	}
}

// advanceFar lets so much time pass that the configuration may be too old for
// any decision.
func (o *oracle) advanceFar(t *rapid.T) {
	for range rapid.IntRange(3, 10).Draw(t, "steps") {
		o.advance(t)
	}
}

func (o *oracle) confirmConfig(t *rapid.T) {
	o.confirmedAt = max(o.confirmedAt, o.now-time.Duration(rapid.IntRange(0, 500).Draw(t, "age"))*time.Millisecond)
	o.step(msg.RoutesConfirmed{At: o.confirmedAt})
}

func (o *oracle) changeKeys(t *rapid.T) {
	next := *o.table
	next.Version++
	key := "key"
	if rapid.Bool().Draw(t, "withdrawn") {
		key = "later"
	}
	next.Accounts = []msg.DirectAccount{{Account: "acme", Keys: []string{key}}}
	o.table = &next
	o.step(msg.RoutesChanged{Table: o.table})
	o.confirmedAt = o.now
	o.step(msg.RoutesConfirmed{At: o.now})
}

func (o *oracle) changeInstances(t *rapid.T) {
	o.instances = nil
	for _, in := range testInstances() {
		switch rapid.IntRange(0, 8).Draw(t, "state") {
		case 0:
			continue
		case 1:
			in.Draining = true
		case 2:
			in.StartedMS = int64(o.seq)
		case 3, 4:
			in.Version = "v2"
		}
		o.instances = append(o.instances, in)
	}
	o.step(msg.InstancesChanged{Instances: o.instances})
}

func (o *oracle) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": o.arrive, "arriveToo": o.arrive, "begin": o.startAttempt, "finish": o.endAttempt, "finishToo": o.endAttempt,
		"leave": o.disconnectCaller, "pass": o.advance, "stall": o.advanceFar, "confirm": o.confirmConfig, "withdraw": o.changeKeys, "relist": o.changeInstances,
	}
}

// runToEnd draws actions, and then ends what is open and checks that nothing is left.
func (o *oracle) runToEnd(t *rapid.T, actions map[string]func(*rapid.T)) {
	t.Repeat(actions)
	o.now += 10 * time.Second
	o.step(msg.Tick{})
	for _, id := range o.order {
		if !o.attempts[id].done {
			o.step(msg.DirectAttemptEnded{Attempt: id, Result: msg.DirectCancelled})
		}
	}
	if !o.m.Idle() || len(o.m.attempts) > 0 {
		t.Fatalf("%d requests and %d attempts are left", len(o.m.requests), len(o.m.attempts))
	}
}

// The fixed seed makes runs reproducible. The command line can set another one, and
// another number of cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

// TestRequestsUnderAnyFault delivers events to a manager in any order and
// checks each effect by the oracle.
func TestRequestsUnderAnyFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		o.runToEnd(t, o.actions())
	})
}
