package request

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// oracle is an independent model of the requests. It tracks each request by the
// events that it delivers to the manager and by the manager's effects, and checks
// that the effects are correct.
type oracle struct {
	t           *rapid.T
	m           *Manager
	now         msg.Time
	confirmedAt msg.Time
	table       *msg.RouteTable
	instances   []msg.Instance

	seq      int
	requests map[msg.RequestID]*trackedRequest
	attempts map[msg.AttemptID]*trackedAttempt
	order    []msg.AttemptID
	handles  int
	// retries and arrivals hold the times of the retries and of the requests, on
	// which the retry budget depends.
	retries, arrivals map[msg.ServiceID][]msg.Time
	objects           *coretest.Objects

	// stopped is set by the request to stop, acceptUntil and drainEnd are its times.
	stopped               bool
	acceptUntil, drainEnd msg.Time
}

// trackedRequest is the oracle's state of a request.
type trackedRequest struct {
	arrival   msg.DirectRequestArrived
	route     *msg.DirectRoute
	arrivedAt msg.Time
	// runs counts the attempts that may have run.
	runs, runArrivals, prefillArrivals int
	open                               msg.AttemptID
	handle                             string
	ended                              bool
	failureHeld                        bool
	// response is what of the response the caller has received.
	response  msg.ResponseState
	lastEvent int64
	// answering is the index of the last attempt that has begun to answer or has ended.
	// Earlier ones have ended, because the driver runs one at a time.
	answering int
	// version is the software version that began the stream.
	version string
}

// started reports whether the caller has received a part of the response.
func (r *trackedRequest) started() bool { return r.response != msg.ResponseNone }

func (r *trackedRequest) deadline() msg.Time {
	return r.arrivedAt + min(r.arrival.Timeout, r.route.Timeout)
}

// trackedAttempt is the oracle's state of an attempt.
type trackedAttempt struct {
	req  *trackedRequest
	spec msg.DirectAttemptSpec
	// version is the listed version of the target when the attempt was sent.
	version string
	done    bool
	// abandoned is set if the attempt was replaced by one at another target, and cancelled
	// if it was given up for an earlier one that goes on.
	abandoned, cancelled bool
	// index is the number of attempts that were started before, plus one.
	index int
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t: t, objects: coretest.NewObjects(), m: New(testLimits), table: fuzzTable(), instances: testInstances(),
		requests: make(map[msg.RequestID]*trackedRequest), attempts: make(map[msg.AttemptID]*trackedAttempt),
		retries: make(map[msg.ServiceID][]msg.Time), arrivals: make(map[msg.ServiceID][]msg.Time),
	}
	o.step(msg.Started{Self: msg.Self{Host: "entry-1", Domain: "d1"}, Incarnation: "life", Seed: 7, Wall: time.Unix(1000, 0)})
	o.step(msg.RoutesChanged{Table: o.table})
	o.step(msg.RoutesConfirmed{At: 0})
	o.step(msg.InstancesChanged{Instances: o.instances})
	return o
}

// fuzzTable returns the test table with one more route, which allows two runs of
// a request but whose streams can't be resumed.
func fuzzTable() *msg.RouteTable {
	table := testTable()
	twice := table.Routes[0]
	twice.Name, twice.Prefix, twice.Attempts = "twice", "/twice/", 2
	table.Routes = append(table.Routes, twice)
	return table
}

func (o *oracle) fatalf(format string, args ...any) { o.t.Fatalf(format, args...) }

func (o *oracle) step(ev msg.Event) {
	queue := []msg.Event{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		for _, eff := range o.m.Step(o.now, ev) {
			if r, ok := eff.(msg.Raise); ok {
				queue = append(queue, r.Event)
				continue
			}
			if done, ok := o.objects.Do(eff); ok {
				queue = append(queue, done)
				continue
			}
			o.check(eff)
		}
	}
}

func (o *oracle) check(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartDirectAttempt:
		o.onStart(eff)
	case msg.RefuseRequest:
		o.onRefuse(eff)
	case msg.AbortRequest:
		r := o.recordRequestEnd(eff.Req)
		if !r.started() {
			o.fatalf("request %s was aborted before its response started", eff.Req)
		}
	case msg.ForwardFailure:
		if r := o.recordRequestEnd(eff.Req); !r.failureHeld || r.started() {
			o.fatalf("request %s: there is no error response to forward", eff.Req)
		}
	case msg.FinishRequest:
		o.recordRequestEnd(eff.Req)
	case msg.CancelAttempt:
		// A prefill is not a run, so it may be abandoned for another target. So may a
		// run of an idempotent request, which may have run then.
		a := o.attempts[eff.Attempt]
		if a.req.open != eff.Attempt {
			return
		}
		switch {
		case a.spec.Step == msg.StepPrefill:
		case a.req.route.Retry == msg.RetryIdempotent:
			if a.req.started() && !a.req.ended {
				o.fatalf("attempt %s is given up while its response is passed on", eff.Attempt)
			}
			a.req.runs++
		default:
			return
		}
		a.abandoned = true
		a.req.open = ""
	}
}

func (o *oracle) recordRequestEnd(id msg.RequestID) *trackedRequest {
	r := o.requests[id]
	if r == nil || r.ended {
		o.fatalf("request %s has ended twice", id)
	}
	r.ended = true
	return r
}

// onRefuse checks that a refusal is correct: with status 503 or 429 the request
// has certainly not run, 503 comes with Retry-After unless the request will not be
// served later either, and 401 or 404 only with a configuration that was confirmed
// recently.
func (o *oracle) onRefuse(eff msg.RefuseRequest) {
	r := o.recordRequestEnd(eff.Req)
	if r.started() {
		o.fatalf("request %s was refused after its response started", eff.Req)
	}
	mayRun := r.runs > 0
	if a := o.attempts[r.open]; r.open != "" && a.spec.Step != msg.StepPrefill {
		mayRun = true
	}
	if promise := eff.Status == 503 || eff.Status == 429; promise && mayRun {
		o.fatalf("request %s may have run and was refused with %d (%s)", eff.Req, eff.Status, eff.Code)
	}
	if eff.Code == codeStopping {
		o.checkRefusedStopping(r)
	}
	final := slices.Contains([]string{"poison", "unknown-version", "version-gone"}, eff.Code)
	if eff.Status == 503 && (eff.RetryAfter <= 0) != final {
		o.fatalf("request %s was refused with a Retry-After of %s (%s)", eff.Req, eff.RetryAfter, eff.Code)
	}
	if (eff.Status == 401 || eff.Status == 404) && o.now-o.confirmedAt >= testLimits.RejectMaxAge {
		o.fatalf("request %s was rejected by a configuration that is %s old", eff.Req, o.now-o.confirmedAt)
	}
}

// onStart checks that an attempt is allowed to start.
func (o *oracle) onStart(eff msg.StartDirectAttempt) {
	r := o.requests[eff.Req]
	switch {
	case r == nil || r.ended:
		o.fatalf("attempt of request %s, which has ended", eff.Req)
	case r.open != "":
		o.fatalf("request %s has two attempts at once", eff.Req)
	}
	o.checkTarget(r, eff)
	o.checkKey(r, eff)
	o.checkStartsWithinDrain(r)
	if limit := r.deadline(); eff.Spec.Deadline > limit {
		o.fatalf("attempt of %s ends at %s, the request at %s", eff.Req, eff.Spec.Deadline, limit)
	}
	if eff.Spec.Step != msg.StepPrefill {
		o.checkRun(r, eff)
	}
	o.countArrival(r, eff)
	r.open = eff.Attempt
	o.attempts[eff.Attempt] = &trackedAttempt{req: r, spec: eff.Spec, version: o.versionOf(eff.Spec.Target), index: len(o.attempts) + 1}
	o.order = append(o.order, eff.Attempt)
}

func (o *oracle) checkTarget(r *trackedRequest, eff msg.StartDirectAttempt) {
	i := slices.IndexFunc(o.instances, func(in msg.Instance) bool { return in.Target == eff.Spec.Target })
	if i < 0 || o.instances[i].Draining {
		o.fatalf("attempt of %s at %s, which is draining or removed", eff.Req, eff.Spec.Target)
	}
	in := o.instances[i]
	if !slices.ContainsFunc(r.route.Shares, func(s msg.ServiceShare) bool { return s.Service == in.Service }) {
		o.fatalf("attempt of %s at service %s", eff.Req, in.Service)
	}
	if eff.Spec.Step == msg.StepPrefill != (in.Role == msg.RolePrefill) {
		o.fatalf("step %s at an engine with the role %s", eff.Spec.Step, in.Role)
	}
}

func (o *oracle) checkKey(r *trackedRequest, eff msg.StartDirectAttempt) {
	if r.route.Public {
		return
	}
	if o.now-o.confirmedAt >= testLimits.AcceptMaxAge {
		o.fatalf("keyed request %s was sent by a configuration that is %s old", eff.Req, o.now-o.confirmedAt)
	}
	if !slices.ContainsFunc(o.table.Accounts, func(a msg.DirectAccount) bool { return slices.Contains(a.Keys, r.arrival.Key) }) {
		o.fatalf("request %s was sent with a withdrawn key", eff.Req)
	}
}

// checkRun checks that a request does not run more often than its route allows.
func (o *oracle) checkRun(r *trackedRequest, eff msg.StartDirectAttempt) {
	once := r.route.Retry == msg.RetryNever || r.route.Retry == msg.RetryStream && !r.route.Resumable
	if once && r.runs > 0 {
		o.fatalf("request %s of route %s runs again", eff.Req, r.route.Name)
	}
	if r.runs >= r.route.Attempts {
		o.fatalf("request %s runs on more than %d targets", eff.Req, r.route.Attempts)
	}
	if r.response == msg.ResponseBody || r.started() && once {
		o.fatalf("request %s of route %s runs again behind a response that has begun", eff.Req, r.route.Name)
	}
	if r.started() && o.versionOf(eff.Spec.Target) != r.version {
		o.fatalf("request %s goes on at another version than %q", eff.Req, r.version)
	}
	if r.started() && eff.Spec.LastEvent != r.lastEvent {
		o.fatalf("request %s resumes from event %d, its caller has %d", eff.Req, eff.Spec.LastEvent, r.lastEvent)
	}
	if eff.Spec.Step == msg.StepDecode && (eff.Spec.Handle != r.handle || r.handle == "") {
		o.fatalf("request %s continues from handle %q, expected %q", eff.Req, eff.Spec.Handle, r.handle)
	}
}

func (o *oracle) versionOf(id msg.TargetID) string {
	i := slices.IndexFunc(o.instances, func(in msg.Instance) bool { return in.Target == id })
	return o.instances[i].Version
}

// countArrival counts the arrival of an attempt and checks the retry budget.
func (o *oracle) countArrival(r *trackedRequest, eff msg.StartDirectAttempt) {
	isRetry := r.runArrivals > 0
	if eff.Spec.Step == msg.StepPrefill {
		isRetry = r.prefillArrivals > 0
		r.prefillArrivals++
	} else {
		r.runArrivals++
		r.handle = ""
	}
	if !isRetry {
		return
	}
	id := eff.Spec.Service
	o.retries[id] = append(o.retries[id], o.now)
	from := o.now - testLimits.RetryWindow
	retries := len(dropBefore(slices.Clone(o.retries[id]), from))
	requests := len(dropBefore(slices.Clone(o.arrivals[id]), from))
	if float64(retries) > testLimits.RetryRatio*float64(requests)+testLimits.RetrySlack {
		o.fatalf("%d retries for %d requests at %s", retries, requests, id)
	}
}
