package request

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// fixture runs a manager on virtual time and keeps the effects of the last
// event: effects holds all but [msg.Raise], and events the raised events.
type fixture struct {
	*Manager
	now     msg.Time
	effects []msg.Effect
	events  []msg.Event
}

func digest(id, secret string) msg.KeyDigest { return sha256.Sum256([]byte(id + ":" + secret)) }

func testManifest() *manifest.Manifest {
	d := digest("k1", "s")
	return &manifest.Manifest{
		Models: []manifest.Model{{Name: "m", Version: "1"}},
		Pools: []manifest.Pool{
			{Name: "engines", Kind: manifest.PoolEngines, Model: "m"},
			{Name: "booking", Kind: manifest.PoolService},
		},
		Routes: []manifest.Route{
			{Name: "chat", Pool: "engines", Access: manifest.AccessKeyed, Class: manifest.ClassUrgent, Timeout: manifest.Duration(20 * time.Second), MaxTokens: 100},
			{Name: "open", Pool: "engines", Access: manifest.AccessPublic, Class: manifest.ClassOrdinary, Timeout: manifest.Duration(20 * time.Second)},
			{
				Name: "orders", Pool: "booking", Access: manifest.AccessKeyed, Class: manifest.ClassOrdinary, Timeout: manifest.Duration(10 * time.Second),
				Operations: []manifest.Operation{{Method: "POST", PathPrefix: "/orders"}, {Method: "GET", PathPrefix: "/", Idempotent: true}},
			},
		},
		Accounts: []manifest.Account{{Name: "north", Weight: 1, Keys: []manifest.Key{{ID: "k1", Hash: hex.EncodeToString(d[:])}}}},
	}
}

func newFixture(targets ...msg.TargetID) *fixture {
	f := &fixture{Manager: New(Config{}), now: time.Second}
	f.step(msg.Started{Self: msg.Self{Host: "e1"}, Incarnation: "i1", Seed: 1})
	f.step(msg.ConfigChanged{Generation: 1, Index: manifest.NewIndex(testManifest())})
	f.step(msg.ConfigConfirmed{Generation: 1, Until: time.Hour})
	for _, t := range targets {
		f.report(t, "engines", msg.TargetEngine)
	}
	return f
}

func (f *fixture) report(t msg.TargetID, pool msg.PoolID, kind msg.TargetKind) {
	ev := engineReport(t)
	ev.Target.Pool, ev.Target.Kind = pool, kind
	f.step(ev)
}

func engineReport(t msg.TargetID) msg.TargetReported {
	return msg.TargetReported{
		Target: msg.TargetIdentity{Target: t, Pool: "engines", Kind: msg.TargetEngine}, Host: "h-" + msg.HostID(t),
		Report: msg.LoadReport{
			Models: []msg.LoadedModel{{Model: "m", Version: "1"}}, KVTotal: 100_000, MaxBatch: 32,
			PrefillRate: 10_000, StepTime: 20 * time.Millisecond,
		},
	}
}

// step passes an event to the manager and keeps its effects and the events that
// it raised, in place of those of the event before.
func (f *fixture) step(ev msg.Event) {
	f.effects, f.events = nil, nil
	for _, e := range f.Step(f.now, ev) {
		if r, ok := e.(msg.Raise); ok {
			f.events = append(f.events, r.Event)
			continue
		}
		f.effects = append(f.effects, e)
	}
}

func (f *fixture) tick(d time.Duration) {
	f.now += d
	f.step(msg.Tick{})
}

func (f *fixture) arriveChat(id msg.RequestID) {
	f.step(msg.RequestArrived{Req: id, Model: "chat", KeyID: "k1", KeyDigest: digest("k1", "s"), PromptTokens: 100, MaxTokens: 50})
}

func (f *fixture) arriveOrder(id msg.RequestID, key string) {
	f.step(msg.RequestArrived{
		Req: id, Service: "orders", Method: "POST", Path: "/orders/1", KeyID: "k1",
		KeyDigest: digest("k1", "s"), IdempotencyKey: key,
	})
}

// find returns the only effect or raised event of a type.
func find[T any](t *testing.T, f *fixture) T {
	t.Helper()
	var found []T
	for _, e := range f.effects {
		if v, ok := e.(T); ok {
			found = append(found, v)
		}
	}
	for _, e := range f.events {
		if v, ok := e.(T); ok {
			found = append(found, v)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d of %T in %v %v", len(found), *new(T), f.effects, f.events)
	}
	return found[0]
}

func TestRequestIsFinishedAfterItsAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1")
	f.arriveChat("r1")
	start := find[msg.StartAttempt](t, f)
	is.Equal(start.Target, msg.TargetID("t1"))
	is.Equal(start.Spec.Account, msg.AccountID("north"))
	f.step(msg.AttemptAccepted{Attempt: start.Attempt})
	usage := msg.TokenUsage{Prompt: 100, Generated: 50}
	f.step(msg.AttemptEnded{Attempt: start.Attempt, Result: msg.AttemptDone, Usage: usage})
	is.Equal(find[msg.FinishRequest](t, f).Req, msg.RequestID("r1"))
	is.Equal(find[msg.UsageCounted](t, f), msg.UsageCounted{Account: "north", Attempt: start.Attempt, Usage: usage})
	is.Equal(find[msg.RequestEnded](t, f).Outcome, msg.OutcomeRun)
	is.True(f.Idle())
}

func TestRequestsAreRefusedOnArrival(t *testing.T) {
	valid := msg.RequestArrived{Req: "r", Model: "chat", KeyID: "k1", KeyDigest: digest("k1", "s")}
	service := valid
	service.Model = ""
	service.Service = "orders"
	cases := []struct {
		name   string
		change func(f *fixture, ev *msg.RequestArrived)
		status int
		code   Code
	}{
		{"wrong secret", func(_ *fixture, ev *msg.RequestArrived) { ev.KeyDigest = digest("k1", "x") }, http.StatusUnauthorized, CodeUnauthorized},
		{"no key", func(_ *fixture, ev *msg.RequestArrived) { ev.KeyID = "" }, http.StatusUnauthorized, CodeUnauthorized},
		{"unknown model", func(_ *fixture, ev *msg.RequestArrived) { ev.Model = "x" }, http.StatusNotFound, CodeUnknownRoute},
		{"service as model", func(_ *fixture, ev *msg.RequestArrived) { ev.Model = "orders" }, http.StatusNotFound, CodeUnknownRoute},
		{"unknown operation", func(_ *fixture, ev *msg.RequestArrived) {
			*ev = service
			ev.Method = "PUT"
		}, http.StatusNotFound, CodeUnknownOperation},
		{"no idempotency key", func(_ *fixture, ev *msg.RequestArrived) {
			*ev = service
			ev.Method, ev.Path = "POST", "/orders"
		}, http.StatusBadRequest, CodeKeyRequired},
		{"stale configuration", func(f *fixture, _ *msg.RequestArrived) { f.now = 2 * time.Hour }, http.StatusServiceUnavailable, CodeStaleConfig},
		{"stopping", func(f *fixture, _ *msg.RequestArrived) { f.step(msg.StopRequested{}) }, http.StatusServiceUnavailable, CodeStopping},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture("t1")
			ev := valid
			c.change(f, &ev)
			f.step(ev)
			ref := find[msg.RefuseRequest](t, f)
			is.Equal(ref.Status, c.status)
			is.Equal(Code(ref.Code), c.code)
			is.Equal(ref.Outcome, msg.OutcomeNotRun)
			is.True(f.Idle())
		})
	}
}

func TestNonIdempotentRequestFollowsItsClaim(t *testing.T) {
	cases := []struct {
		status  msg.ClaimStatus
		http    int
		outcome msg.Outcome
	}{
		{msg.ClaimRunning, http.StatusConflict, msg.OutcomeUnknown},
		{msg.ClaimMismatch, http.StatusUnprocessableEntity, msg.OutcomeNotRun},
		{msg.ClaimUnknown, http.StatusConflict, msg.OutcomeUnknown},
		{msg.ClaimUnavailable, http.StatusServiceUnavailable, msg.OutcomeNotRun},
	}
	for _, c := range cases {
		is := is.New(t)
		f := newFixture()
		f.report("b1", "booking", msg.TargetService)
		f.arriveOrder("r1", "key")
		is.Equal(find[msg.ClaimRequested](t, f).Key, "key")
		is.Equal(len(f.effects), 0) // nothing starts before the claim
		f.step(msg.ClaimSettled{Req: "r1", Status: c.status})
		ref := find[msg.RefuseRequest](t, f)
		is.Equal(ref.Status, c.http)
		is.Equal(ref.Outcome, c.outcome)
		is.True(f.Idle())
	}
}

func TestStoredResponseIsReplayed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report("b1", "booking", msg.TargetService)
	f.arriveOrder("r1", "key")
	response := msg.StoredResponse{Status: 201, Body: []byte("x")}
	f.step(msg.ClaimSettled{Req: "r1", Status: msg.ClaimDone, Response: &response})
	is.Equal(find[msg.ReplayResponse](t, f).Response, response)
	is.True(f.Idle())
}

// A claimed request whose attempt may have run is never started a second time.
func TestLostClaimedRequestIsNotRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report("b1", "booking", msg.TargetService)
	f.report("b2", "booking", msg.TargetService)
	f.arriveOrder("r1", "key")
	f.step(msg.ClaimSettled{Req: "r1", Status: msg.ClaimGranted})
	start := find[msg.StartAttempt](t, f)
	f.step(msg.AttemptEnded{Attempt: start.Attempt, Result: msg.AttemptNotRun})
	start = find[msg.StartAttempt](t, f) // it did not run, so it may start on another target
	f.step(msg.AttemptEnded{Attempt: start.Attempt, Result: msg.AttemptLost})
	is.Equal(find[msg.RefuseRequest](t, f).Outcome, msg.OutcomeUnknown)
	is.Equal(find[msg.RequestEnded](t, f).Outcome, msg.OutcomeUnknown)
}

// A claimed request runs on after its caller has disconnected, so that its
// response is stored for resends.
func TestClaimedRequestOutlivesItsCaller(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.report("b1", "booking", msg.TargetService)
	f.arriveOrder("r1", "key")
	f.step(msg.ClaimSettled{Req: "r1", Status: msg.ClaimGranted})
	start := find[msg.StartAttempt](t, f)
	f.step(msg.CallerDisconnected{Req: "r1"})
	is.Equal(len(f.effects), 0)
	response := &msg.StoredResponse{Status: 200}
	f.step(msg.AttemptEnded{Attempt: start.Attempt, Result: msg.AttemptDone, Response: response})
	is.Equal(find[msg.RequestEnded](t, f), msg.RequestEnded{Req: "r1", Account: "north", Outcome: msg.OutcomeRun, Response: response})
}

// A claim that is granted after its request has ended is released as not run.
func TestLateClaimIsReleased(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.arriveOrder("r1", "key")
	f.step(msg.CallerDisconnected{Req: "r1"})
	f.step(msg.ClaimSettled{Req: "r1", Status: msg.ClaimGranted})
	is.Equal(find[msg.RequestEnded](t, f).Outcome, msg.OutcomeNotRun)
}

func TestStreamResumesOnAnotherTarget(t *testing.T) {
	for _, result := range []msg.AttemptResult{msg.AttemptMoved, msg.AttemptCrashed, msg.AttemptLost} {
		is := is.New(t)
		f := newFixture("t1", "t2")
		f.arriveChat("r1")
		first := find[msg.StartAttempt](t, f)
		f.step(msg.AttemptProgress{Attempt: first.Attempt, Tokens: 7})
		f.step(msg.AttemptEnded{Attempt: first.Attempt, Result: result})
		second := find[msg.StartAttempt](t, f)
		is.True(second.Target != first.Target)
		is.True(second.Attempt != first.Attempt)
		is.True(!first.Spec.Continued)
		is.True(second.Spec.Continued)                                            // The prompt is charged with the first attempt only.
		f.step(msg.AttemptEnded{Attempt: first.Attempt, Result: msg.AttemptDone}) // a delayed event of an ended attempt is ignored
		is.Equal(len(f.effects), 0)
	}
}

func TestDisconnectedCallerCancelsAttempt(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1")
	f.arriveChat("r1")
	start := find[msg.StartAttempt](t, f)
	f.step(msg.CallerDisconnected{Req: "r1"})
	is.Equal(find[msg.CancelAttempt](t, f).Attempt, start.Attempt)
	f.step(msg.AttemptEnded{Attempt: start.Attempt, Result: msg.AttemptCancelled, Usage: msg.TokenUsage{Generated: 3}})
	is.Equal(find[msg.UsageCounted](t, f).Usage.Generated, int64(3))
	is.True(f.Idle())
}

func TestTimeoutOfRunningRequestHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1")
	f.arriveChat("r1")
	start := find[msg.StartAttempt](t, f)
	f.tick(20 * time.Second)
	ref := find[msg.RefuseRequest](t, f)
	is.Equal(ref.Status, http.StatusGatewayTimeout)
	is.Equal(ref.Outcome, msg.OutcomeUnknown)
	is.Equal(find[msg.CancelAttempt](t, f).Attempt, start.Attempt)
}

func TestQueuedRequestStartsWhenTargetAppears(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.arriveChat("r1")
	is.Equal(len(f.effects), 0)
	f.report("t1", "engines", msg.TargetEngine)
	is.Equal(find[msg.StartAttempt](t, f).Req, msg.RequestID("r1"))
}

func TestQueuedRequestIsRefusedAfterItsTimeout(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.arriveChat("r1")
	f.tick(urgentQueueTimeout)
	ref := find[msg.RefuseRequest](t, f)
	is.Equal(ref.Outcome, msg.OutcomeNotRun)
	is.True(ref.RetryAfter > 0)
}

func TestWithdrawnKeyEndsStream(t *testing.T) {
	is := is.New(t)
	f := newFixture("t1")
	f.arriveChat("r1")
	start := find[msg.StartAttempt](t, f)
	f.step(msg.AttemptProgress{Attempt: start.Attempt, Tokens: 2})
	m := testManifest()
	m.Accounts[0].Keys = nil
	f.step(msg.ConfigChanged{Generation: 2, Index: manifest.NewIndex(m)})
	is.Equal(Code(find[msg.AbortRequest](t, f).Code), CodeKeyWithdrawn)
	is.Equal(find[msg.CancelAttempt](t, f).Attempt, start.Attempt)
}
