package request

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// harness drives a manager with single events and keeps the effects.
type harness struct {
	t   *testing.T
	is  *is.I
	m   *Manager
	now msg.Time
	// effects holds the effects of the last step.
	effects []msg.Effect
	reqs    int
	// objects is the platform's store, which answers at once, or nil while it is away.
	objects *coretest.Objects
}

var testLimits = msg.DirectLimits{
	AcceptMaxAge: 4 * time.Second, RejectMaxAge: 2 * time.Second,
	RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 50,
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, is: is.New(t), m: New(testLimits), objects: coretest.NewObjects()}
	h.step(msg.Started{Self: msg.Self{Host: "entry-1", Domain: "d1"}, Incarnation: "life", Seed: 1, Wall: time.Unix(1000, 0)})
	return h
}

// newReadyHarness returns a harness whose manager has a configuration and a
// list of targets: two decode engines, one prefill engine and two targets of a
// plain service.
func newReadyHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.configure(testTable())
	h.setInstances(testInstances()...)
	h.recordVersions()
	return h
}

// recordVersions puts a record into the store by which all streams began at targets
// without a version, and lets the daemon read it.
func (h *harness) recordVersions() {
	h.objects.Do(msg.PutObject{Kind: msg.KindStreamVersions, Name: "services", Value: []byte(`{"body": {"llm": {"versions": [""], "complete": true}}}`)})
	h.step(msg.Tick{Wall: time.Unix(1000, 0)})
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
			{Service: "app", MaxConns: 100, HealthPath: "/health"},
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

// step delivers an event, and then the events that it raises, as the reducer
// does. It leaves out the digests of package poison, which are sent all the time.
func (h *harness) step(ev msg.Event) {
	h.effects = nil
	queue := []msg.Event{ev}
	for len(queue) > 0 {
		ev, queue = queue[0], queue[1:]
		for _, eff := range h.m.Step(h.now, ev) {
			if r, ok := eff.(msg.Raise); ok {
				queue = append(queue, r.Event)
			}
			if done, ok := h.callStore(eff); ok {
				queue = append(queue, done)
				continue
			}
			if p, ok := eff.(msg.SendPeer); ok && isCrashDigest(p) {
				continue
			}
			h.effects = append(h.effects, eff)
		}
	}
}

// callStore executes a call of the store.
func (h *harness) callStore(eff msg.Effect) (msg.Event, bool) {
	if h.objects == nil {
		return coretest.Failed(eff, msg.CallUnavailable)
	}
	return h.objects.Do(eff)
}

func isCrashDigest(p msg.SendPeer) bool {
	_, ok := p.Message.(msg.CrashDigest)
	return ok
}

func (h *harness) configure(t *msg.RouteTable) {
	h.step(msg.RoutesChanged{Table: t})
	h.step(msg.RoutesConfirmed{At: h.now})
}

func (h *harness) setInstances(in ...msg.Instance) { h.step(msg.InstancesChanged{Instances: in}) }

// advance lets time pass with ticks, during which the configuration stays
// confirmed.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(h.now+100*time.Millisecond, end)
		h.step(msg.RoutesConfirmed{At: h.now})
		h.step(msg.Tick{Wall: time.Unix(1000, 0).Add(h.now)})
	}
}

// arrive delivers a request of the account acme on a route of the test table.
func (h *harness) arrive(path string, change ...func(*msg.DirectRequestArrived)) msg.RequestID {
	h.reqs++
	ev := msg.DirectRequestArrived{
		Req: msg.RequestID(fmt.Sprint(h.reqs)), CallerID: fmt.Sprint("c", h.reqs),
		Host: "h", Method: "POST", Path: path, Key: "key", BodyHash: uint64(h.reqs), Timeout: 5 * time.Second,
	}
	for _, f := range change {
		f(&ev)
	}
	h.step(ev)
	return ev.Req
}

// prompt returns a change that makes a request a prompt for an engine, with a
// shared segment and a segment of its own.
func prompt(id uint64, shared, own int) func(*msg.DirectRequestArrived) {
	return func(ev *msg.DirectRequestArrived) {
		ev.PromptTokens = shared + own
		ev.MaxTokens = 100
		ev.Segments = []msg.PromptSegment{{ID: id, Tokens: shared}, {ID: id + 1_000_000, Tokens: own}}
	}
}

// find returns the first effect of a type in the last step.
func find[T msg.Effect](h *harness) (T, bool) {
	for _, eff := range h.effects {
		if e, ok := eff.(T); ok {
			return e, true
		}
	}
	var zero T
	return zero, false
}

// started returns the attempt that the last step started.
func (h *harness) started() msg.StartDirectAttempt {
	h.t.Helper()
	eff, ok := find[msg.StartDirectAttempt](h)
	if !ok {
		h.t.Fatalf("no attempt was started: %s", h.formatEffects())
	}
	return eff
}

// refused returns the refusal of the last step.
func (h *harness) refused() msg.RefuseRequest {
	h.t.Helper()
	eff, ok := find[msg.RefuseRequest](h)
	if !ok {
		h.t.Fatalf("nothing was refused: %s", h.formatEffects())
	}
	return eff
}

// formatEffects formats the effects of the last step.
func (h *harness) formatEffects() string {
	var b strings.Builder
	for _, eff := range h.effects {
		fmt.Fprintf(&b, "%T%+v\n", eff, eff)
	}
	return b.String()
}

func (h *harness) end(a msg.AttemptID, result msg.DirectResult, change ...func(*msg.DirectAttemptEnded)) {
	ev := msg.DirectAttemptEnded{Attempt: a, Result: result}
	for _, f := range change {
		f(&ev)
	}
	h.step(ev)
}

// peerBacklog returns the work of a class that the other daemons have at a target.
func (h *harness) peerBacklog(id msg.TargetID, c class) time.Duration {
	s := &stepContext{Manager: h.m, now: h.now}
	return s.workOfPeers(h.m.targets[id]).total(c)
}
