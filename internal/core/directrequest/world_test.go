package directrequest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// world steps a manager by hand and keeps what it does.
type world struct {
	t   *testing.T
	is  *is.I
	m   *Manager
	now msg.Time
	// effects holds the effects of the last step.
	effects []msg.Effect
	reqs    int
}

var testLimits = msg.DirectLimits{
	AcceptMaxAge: 4 * time.Second, RejectMaxAge: 2 * time.Second,
	RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, is: is.New(t), m: New(testLimits)}
	w.step(msg.Started{Self: msg.Self{Host: "entry-1", Domain: "d1"}, Incarnation: "life", Seed: 1, Wall: time.Unix(1000, 0)})
	return w
}

// readyWorld knows a configuration and its targets: two engines that decode,
// one that prefills and two of a plain service.
func readyWorld(t *testing.T) *world {
	w := newWorld(t)
	w.configure(testTable())
	w.list(testInstances()...)
	return w
}

func testTable() *msg.RouteTable {
	share := func(s msg.ServiceID) []msg.ServiceShare { return []msg.ServiceShare{{Service: s, Weight: 1}} }
	return &msg.RouteTable{
		Version: 1,
		Routes: []msg.DirectRoute{
			{Name: "chat", Host: "h", Prefix: "/chat/", Shares: share("llm"), Retry: msg.RetryStream, Attempts: 1, Timeout: 5 * time.Second, Objective: 800 * time.Millisecond, Priority: 2},
			{Name: "resume", Host: "h", Prefix: "/resume/", Shares: share("llm"), Retry: msg.RetryStream, Resumable: true, Attempts: 2, Timeout: 3 * time.Second, Objective: 600 * time.Millisecond, Priority: 1},
			{Name: "order", Host: "h", Prefix: "/order/", Shares: share("app"), Retry: msg.RetryNever, Attempts: 1, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond},
			{Name: "lookup", Host: "h", Prefix: "/lookup/", Shares: share("app"), Retry: msg.RetryIdempotent, Attempts: 2, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond},
			{Name: "open", Host: "h", Prefix: "/open/", Shares: share("app"), Retry: msg.RetryIdempotent, Public: true, Attempts: 1, Timeout: 2 * time.Second, Objective: 300 * time.Millisecond},
		},
		Accounts: []msg.DirectAccount{{Account: "acme", Keys: []string{"key"}}},
		Services: []msg.DirectService{
			{Service: "llm", MaxConns: 300, Engine: &msg.EngineSpec{Slots: 64, CacheTokens: 500_000, TokenBytes: 18432, LinkMbps: 740_000}},
			{Service: "app", MaxConns: 100},
		},
	}
}

func testInstances() []msg.Instance {
	return []msg.Instance{
		{Target: "app-1", Service: "app", Addr: "10.0.0.1:1", Domain: "d1", Slots: 6},
		{Target: "app-2", Service: "app", Addr: "10.0.0.2:1", Domain: "d2", Slots: 6},
		{Target: "dec-1", Service: "llm", Addr: "10.0.1.1:1", Domain: "d1", Slots: 64, Role: msg.RoleDecode},
		{Target: "dec-2", Service: "llm", Addr: "10.0.1.2:1", Domain: "d2", Slots: 64, Role: msg.RoleDecode},
		{Target: "pre-1", Service: "llm", Addr: "10.0.2.1:1", Domain: "d1", Slots: 64, Role: msg.RolePrefill},
	}
}

// step delivers an event and follows raised ones as the reducer does.
func (w *world) step(ev msg.Event) {
	w.effects = nil
	queue := []msg.Event{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		for _, eff := range w.m.Step(w.now, ev) {
			if r, ok := eff.(msg.Raise); ok {
				queue = append(queue, r.Event)
			}
			w.effects = append(w.effects, eff)
		}
	}
}

func (w *world) configure(t *msg.RouteTable) {
	w.step(msg.RoutesChanged{Table: t})
	w.step(msg.RoutesConfirmed{At: w.now})
}

func (w *world) list(in ...msg.Instance) { w.step(msg.InstancesChanged{Instances: in}) }

// pass lets time pass with ticks, the configuration confirmed all the while.
func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now = min(w.now+100*time.Millisecond, end)
		w.step(msg.RoutesConfirmed{At: w.now})
		w.step(msg.Tick{Wall: time.Unix(1000, 0).Add(w.now)})
	}
}

// arrive delivers a request of the account acme on a route of the test table.
func (w *world) arrive(path string, change ...func(*msg.DirectRequestArrived)) msg.RequestID {
	w.reqs++
	ev := msg.DirectRequestArrived{
		Req: msg.RequestID(fmt.Sprint(w.reqs)), CallerID: fmt.Sprint("c", w.reqs),
		Host: "h", Method: "POST", Path: path, Key: "key", BodyHash: uint64(w.reqs), Timeout: 5 * time.Second,
	}
	for _, f := range change {
		f(&ev)
	}
	w.step(ev)
	return ev.Req
}

// prompt makes a request a generation with a shared part and one of its own.
func prompt(id uint64, shared, own int) func(*msg.DirectRequestArrived) {
	return func(ev *msg.DirectRequestArrived) {
		ev.PromptTokens = shared + own
		ev.MaxTokens = 100
		ev.Segments = []msg.PromptSegment{{ID: id, Tokens: shared}, {ID: id + 1_000_000, Tokens: own}}
	}
}

// find returns the first effect of a type in the last step.
func find[T msg.Effect](w *world) (T, bool) {
	for _, eff := range w.effects {
		if e, ok := eff.(T); ok {
			return e, true
		}
	}
	var zero T
	return zero, false
}

// started returns the attempt that the last step began.
func (w *world) started() msg.StartDirectAttempt {
	w.t.Helper()
	eff, ok := find[msg.StartDirectAttempt](w)
	if !ok {
		w.t.Fatalf("no attempt was started: %s", w.logs())
	}
	return eff
}

// refused returns the refusal of the last step.
func (w *world) refused() msg.RefuseRequest {
	w.t.Helper()
	eff, ok := find[msg.RefuseRequest](w)
	if !ok {
		w.t.Fatalf("nothing was refused: %s", w.logs())
	}
	return eff
}

func (w *world) logs() string {
	var b strings.Builder
	for _, eff := range w.effects {
		fmt.Fprintf(&b, "%T%+v\n", eff, eff)
	}
	return b.String()
}

func (w *world) end(a msg.AttemptID, result msg.DirectResult, change ...func(*msg.DirectAttemptEnded)) {
	ev := msg.DirectAttemptEnded{Attempt: a, Result: result}
	for _, f := range change {
		f(&ev)
	}
	w.step(ev)
}
