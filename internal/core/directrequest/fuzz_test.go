package directrequest

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// oracle follows each request from outside and checks what must hold.
type oracle struct {
	t       *rapid.T
	m       *Manager
	now     msg.Time
	freshAt msg.Time
	table   *msg.RouteTable
	list    []msg.Instance

	seq      int
	requests map[msg.RequestID]*followed
	attempts map[msg.AttemptID]*followedAttempt
	order    []msg.AttemptID
	handles  int
	// repeats and arrivals are the instants that count for the budget.
	repeats, arrivals map[msg.ServiceID][]msg.Time
}

type followed struct {
	ev    msg.DirectRequestArrived
	route *msg.DirectRoute
	at    msg.Time
	// runs counts the attempts that may have run.
	runs, calls, prefills int
	open                  msg.AttemptID
	handle                string
	ended                 bool
	began                 bool
	held                  bool
	lastEvent             int64
}

type followedAttempt struct {
	req  *followed
	spec msg.DirectAttemptSpec
	done bool
	// givenUp says that the prompt is read elsewhere.
	givenUp bool
}

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t: t, m: New(testLimits), table: fuzzTable(), list: testInstances(),
		requests: make(map[msg.RequestID]*followed), attempts: make(map[msg.AttemptID]*followedAttempt),
		repeats: make(map[msg.ServiceID][]msg.Time), arrivals: make(map[msg.ServiceID][]msg.Time),
	}
	o.step(msg.Started{Self: msg.Self{Host: "entry-1", Domain: "d1"}, Incarnation: "life", Seed: 7, Wall: time.Unix(1000, 0)})
	o.step(msg.RoutesChanged{Table: o.table})
	o.step(msg.RoutesConfirmed{At: 0})
	o.step(msg.InstancesChanged{Instances: o.list})
	return o
}

// fuzzTable has a route whose streams may be tried twice and not be resumed.
func fuzzTable() *msg.RouteTable {
	table := testTable()
	twice := table.Routes[0]
	twice.Name, twice.Prefix, twice.Attempts = "twice", "/twice/", 2
	table.Routes = append(table.Routes, twice)
	return table
}

func (o *oracle) fail(format string, args ...any) { o.t.Fatalf(format, args...) }

func (o *oracle) step(ev msg.Event) {
	queue := []msg.Event{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		for _, eff := range o.m.Step(o.now, ev) {
			if r, ok := eff.(msg.Raise); ok {
				queue = append(queue, r.Event)
				continue
			}
			o.see(eff)
		}
	}
}

func (o *oracle) see(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartDirectAttempt:
		o.onStart(eff)
	case msg.RefuseRequest:
		o.onRefuse(eff)
	case msg.AbortRequest:
		f := o.end(eff.Req)
		if !f.began {
			o.fail("request %s was aborted before an answer began", eff.Req)
		}
	case msg.ForwardFailure:
		if f := o.end(eff.Req); !f.held || f.began {
			o.fail("request %s: there is no failure to pass on", eff.Req)
		}
	case msg.FinishRequest:
		o.end(eff.Req)
	case msg.CancelAttempt:
		// Reading a prompt is no run: it may be given up for another target.
		if a := o.attempts[eff.Attempt]; a.spec.Step == msg.StepPrefill && a.req.open == eff.Attempt {
			a.givenUp = true
			a.req.open = ""
		}
	}
}

func (o *oracle) end(id msg.RequestID) *followed {
	f := o.requests[id]
	if f == nil || f.ended {
		o.fail("request %s has a second end", id)
	}
	f.ended = true
	return f
}

// onRefuse checks that a refusal tells the truth.
func (o *oracle) onRefuse(eff msg.RefuseRequest) {
	f := o.end(eff.Req)
	if f.began {
		o.fail("request %s was refused after its answer began", eff.Req)
	}
	mayRun := f.runs > 0
	if a := o.attempts[f.open]; f.open != "" && a.spec.Step != msg.StepPrefill {
		mayRun = true
	}
	if promise := eff.Status == 503 || eff.Status == 429; promise && mayRun {
		o.fail("request %s may have run and was refused with %d (%s)", eff.Req, eff.Status, eff.Code)
	}
	if eff.Status == 503 && eff.RetryAfter <= 0 {
		o.fail("request %s was refused without advice (%s)", eff.Req, eff.Code)
	}
	if (eff.Status == 401 || eff.Status == 404) && o.now-o.freshAt >= testLimits.RejectMaxAge {
		o.fail("request %s was denied by a configuration that is %s old", eff.Req, o.now-o.freshAt)
	}
}

// onStart checks that an attempt may start.
func (o *oracle) onStart(eff msg.StartDirectAttempt) {
	f := o.requests[eff.Req]
	switch {
	case f == nil || f.ended:
		o.fail("attempt of request %s, which is over", eff.Req)
	case f.open != "":
		o.fail("request %s has two attempts at once", eff.Req)
	}
	o.checkTarget(f, eff)
	o.checkKey(f, eff)
	if limit := f.at + min(f.ev.Timeout, f.route.Timeout); eff.Spec.Deadline > limit {
		o.fail("attempt of %s ends at %s, the request at %s", eff.Req, eff.Spec.Deadline, limit)
	}
	if eff.Spec.Step != msg.StepPrefill {
		o.checkRun(f, eff)
	}
	o.count(f, eff)
	f.open = eff.Attempt
	o.attempts[eff.Attempt] = &followedAttempt{req: f, spec: eff.Spec}
	o.order = append(o.order, eff.Attempt)
}

func (o *oracle) checkTarget(f *followed, eff msg.StartDirectAttempt) {
	i := slices.IndexFunc(o.list, func(in msg.Instance) bool { return in.Target == eff.Spec.Target })
	if i < 0 || o.list[i].Draining {
		o.fail("attempt of %s at %s, which is leaving or gone", eff.Req, eff.Spec.Target)
	}
	in := o.list[i]
	if !slices.ContainsFunc(f.route.Shares, func(s msg.ServiceShare) bool { return s.Service == in.Service }) {
		o.fail("attempt of %s at service %s", eff.Req, in.Service)
	}
	if eff.Spec.Step == msg.StepPrefill != (in.Role == msg.RolePrefill) {
		o.fail("step %s at an engine that does %s", eff.Spec.Step, in.Role)
	}
}

func (o *oracle) checkKey(f *followed, eff msg.StartDirectAttempt) {
	if f.route.Public {
		return
	}
	if o.now-o.freshAt >= testLimits.AcceptMaxAge {
		o.fail("keyed request %s was sent by a configuration that is %s old", eff.Req, o.now-o.freshAt)
	}
	if !slices.ContainsFunc(o.table.Accounts, func(a msg.DirectAccount) bool { return slices.Contains(a.Keys, f.ev.Key) }) {
		o.fail("request %s was sent with a withdrawn key", eff.Req)
	}
}

// checkRun checks that a request runs no more often than its route allows.
func (o *oracle) checkRun(f *followed, eff msg.StartDirectAttempt) {
	once := f.route.Retry == msg.RetryNever || f.route.Retry == msg.RetryStream && !f.route.Resumable
	if once && f.runs > 0 {
		o.fail("request %s of route %s runs again", eff.Req, f.route.Name)
	}
	if f.runs >= f.route.Attempts {
		o.fail("request %s runs on more than %d targets", eff.Req, f.route.Attempts)
	}
	if f.began && eff.Spec.LastEvent != f.lastEvent {
		o.fail("request %s resumes from event %d, its caller has %d", eff.Req, eff.Spec.LastEvent, f.lastEvent)
	}
	if eff.Spec.Step == msg.StepDecode && (eff.Spec.Handle != f.handle || f.handle == "") {
		o.fail("request %s goes on from handle %q, its own is %q", eff.Req, eff.Spec.Handle, f.handle)
	}
}

// count counts arrivals and checks the budget.
func (o *oracle) count(f *followed, eff msg.StartDirectAttempt) {
	repeat := f.calls > 0
	if eff.Spec.Step == msg.StepPrefill {
		repeat = f.prefills > 0
		f.prefills++
	} else {
		f.calls++
		f.handle = ""
	}
	if !repeat {
		return
	}
	id := eff.Spec.Service
	o.repeats[id] = append(o.repeats[id], o.now)
	from := o.now - testLimits.RetryWindow
	repeats := len(since(slices.Clone(o.repeats[id]), from))
	requests := len(since(slices.Clone(o.arrivals[id]), from))
	if float64(repeats) > testLimits.RetryRatio*float64(requests)+testLimits.RetrySlack {
		o.fail("%d repeats for %d requests at %s", repeats, requests, id)
	}
}

// Actions of the world outside.

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
	o.requests[ev.Req] = &followed{ev: ev, route: route, at: o.now}
	o.arrivals[route.Shares[0].Service] = append(o.arrivals[route.Shares[0].Service], o.now)
	o.step(ev)
}

// openAttempt draws an attempt that has not ended, or returns "".
func (o *oracle) openAttempt(t *rapid.T) msg.AttemptID {
	o.order = slices.DeleteFunc(o.order, func(id msg.AttemptID) bool { return o.attempts[id].done })
	if len(o.order) == 0 {
		return ""
	}
	return o.order[rapid.IntRange(0, len(o.order)-1).Draw(t, "attempt")]
}

func (o *oracle) begin(t *rapid.T) {
	id := o.openAttempt(t)
	if id == "" || o.attempts[id].spec.Step == msg.StepPrefill || o.attempts[id].req.route.Retry != msg.RetryStream {
		return
	}
	if a := o.attempts[id]; !a.req.ended {
		a.req.began = true
	}
	o.step(msg.DirectAttemptStarted{Attempt: id})
}

func (o *oracle) finish(t *rapid.T) {
	id := o.openAttempt(t)
	if id == "" {
		return
	}
	a := o.attempts[id]
	a.done = true
	f := a.req
	ev := msg.DirectAttemptEnded{Attempt: id}
	if a.spec.Step == msg.StepPrefill {
		ev.Result = rapid.SampledFrom([]msg.DirectResult{msg.DirectPrefilled, msg.DirectPrefilled, msg.DirectNotRun, msg.DirectUnreachable, msg.DirectFailed, msg.DirectInterrupted}).Draw(t, "result")
		if ev.Result == msg.DirectPrefilled {
			o.handles++
			ev.Handle = fmt.Sprint("h", o.handles)
		}
	} else {
		ev.Result = rapid.SampledFrom([]msg.DirectResult{msg.DirectDone, msg.DirectDone, msg.DirectNotRun, msg.DirectUnreachable, msg.DirectFailed, msg.DirectInterrupted}).Draw(t, "result")
		if f.began && (ev.Result == msg.DirectNotRun || ev.Result == msg.DirectUnreachable || ev.Result == msg.DirectFailed) {
			ev.Result = msg.DirectInterrupted
		}
	}
	if f.ended {
		ev.Result = msg.DirectCancelled
	}
	o.note(f, a, &ev)
	o.step(ev)
}

// note keeps what an attempt's end means for its request.
func (o *oracle) note(f *followed, a *followedAttempt, ev *msg.DirectAttemptEnded) {
	if a.givenUp {
		return
	}
	f.open = ""
	if ev.Result == msg.DirectPrefilled {
		f.handle = ev.Handle
	}
	if a.spec.Step == msg.StepPrefill {
		if ev.Result == msg.DirectUnreachable {
			f.prefills--
		}
		return
	}
	switch ev.Result {
	case msg.DirectUnreachable:
		f.calls--
		f.handle = a.spec.Handle // nobody was asked for it
	case msg.DirectFailed:
		f.held = true
		f.runs++
	case msg.DirectInterrupted, msg.DirectDone:
		f.runs++
	}
	if f.began {
		f.lastEvent += 3
	}
	ev.LastEvent = f.lastEvent
	ev.Streaming = f.began
}

func (o *oracle) leave(t *rapid.T) {
	id := o.openAttempt(t)
	if id == "" || o.attempts[id].req.ended {
		return
	}
	f := o.attempts[id].req
	f.ended = true
	o.step(msg.CallerDisconnected{Req: f.ev.Req})
}

func (o *oracle) pass(t *rapid.T) {
	o.now += time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond
	o.step(msg.Tick{Wall: time.Unix(1000, 0).Add(o.now)})
	for id, f := range o.requests {
		if !f.ended && o.now >= f.at+min(f.ev.Timeout, f.route.Timeout) {
			o.fail("request %s is open after its time", id)
		}
	}
}

// stall lets so much time pass that nothing is known for sure any more.
func (o *oracle) stall(t *rapid.T) {
	for range rapid.IntRange(3, 10).Draw(t, "steps") {
		o.pass(t)
	}
}

func (o *oracle) confirm(t *rapid.T) {
	o.freshAt = max(o.freshAt, o.now-time.Duration(rapid.IntRange(0, 500).Draw(t, "age"))*time.Millisecond)
	o.step(msg.RoutesConfirmed{At: o.freshAt})
}

func (o *oracle) withdraw(t *rapid.T) {
	next := *o.table
	next.Version++
	key := "key"
	if rapid.Bool().Draw(t, "withdrawn") {
		key = "later"
	}
	next.Accounts = []msg.DirectAccount{{Account: "acme", Keys: []string{key}}}
	o.table = &next
	o.step(msg.RoutesChanged{Table: o.table})
	o.freshAt = o.now
	o.step(msg.RoutesConfirmed{At: o.now})
}

func (o *oracle) relist(t *rapid.T) {
	o.list = nil
	for _, in := range testInstances() {
		switch rapid.IntRange(0, 8).Draw(t, "state") {
		case 0:
			continue
		case 1:
			in.Draining = true
		case 2:
			in.StartedMS = int64(o.seq)
		}
		o.list = append(o.list, in)
	}
	o.step(msg.InstancesChanged{Instances: o.list})
}

// The same verdict every time; the command line may choose another seed.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestRequestsUnderAnyFault drives a manager with any order of events and
// checks each effect by the oracle.
func TestRequestsUnderAnyFault(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": o.arrive, "arriveToo": o.arrive, "begin": o.begin, "finish": o.finish, "finishToo": o.finish,
			"leave": o.leave, "pass": o.pass, "stall": o.stall, "confirm": o.confirm, "withdraw": o.withdraw, "relist": o.relist,
		})
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
	})
}
