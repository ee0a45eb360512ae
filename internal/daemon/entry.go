package daemon

import (
	"context"
	"log/slog"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/platform"
)

// entry drives the reducer of an entry daemon.
type entry struct {
	loop     *Loop
	reducer  *core.Entry
	node     *link.Node
	platform *platform.Client
	log      *slog.Logger
	ctx      context.Context
	wg       sync.WaitGroup
	ready    func()
	seen     func(msg.Time, msg.Effect)

	mu        sync.Mutex
	exchanges map[msg.RequestID]*exchange
	attempts  map[msg.AttemptID]context.CancelCauseFunc
	waiting   map[msg.CallID]chan msg.Effect
	lastCall  msg.CallID
	// urls holds the engines' addresses for KV transfers.
	urls map[msg.TargetID]string
}

// execute carries out one effect of the reducer.
func (e *entry) execute(now msg.Time, eff msg.Effect) {
	e.seen(now, eff)
	switch eff := eff.(type) {
	case msg.StartAttempt:
		e.startAttempt(eff)
	case msg.CancelAttempt:
		e.cancelAttempt(eff)
	case msg.RefuseRequest:
		e.endRequest(eff.Req, eff)
	case msg.AbortRequest:
		e.endRequest(eff.Req, eff)
	case msg.ReplayResponse:
		e.endRequest(eff.Req, eff)
	case msg.FinishRequest:
		e.endRequest(eff.Req, eff)
	case msg.AnswerConfigProposal:
		e.answerCall(eff.Call, eff)
	case msg.AnswerDrainRequest:
		e.answerCall(eff.Call, eff)
	default:
		e.executeShared(now, eff)
	}
}

// executeShared carries out the effects that concern other daemons and the
// platform.
func (e *entry) executeShared(_ msg.Time, eff msg.Effect) {
	if executeLink(e.ctx, &e.wg, e.node, eff) {
		return
	}
	switch eff := eff.(type) {
	case msg.SendOrder:
		e.wg.Go(func() { e.sendOrder(eff) })
	case msg.LogLine:
		writeLog(e.log, eff)
	case msg.StopCompleted:
		e.ready()
	default:
		executePlatform(e.ctx, &e.wg, e.platform, e.loop, eff)
	}
}

// sendOrder sends an order while the lease that it is given under still holds.
func (e *entry) sendOrder(eff msg.SendOrder) {
	err := e.node.SendIf(e.ctx, eff.Host, &link.Frame{Order: &eff.Order}, func() bool {
		return e.loop.Now() < eff.NotAfter
	})
	if err == nil {
		return
	}
	status := msg.OrderUnknown
	if errors.Is(err, link.ErrAuthorityExpired) || errors.Is(err, link.ErrNotSent) {
		status = msg.OrderNotReady
	}
	e.loop.Post(msg.OrderResultReceived{Target: eff.Target, Order: eff.Order.ID, Status: status, Reason: err.Error()})
}

func (e *entry) startAttempt(eff msg.StartAttempt) {
	e.mu.Lock()
	x := e.exchanges[eff.Req]
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.attempts[eff.Attempt] = cancel
	kvURL := e.urls[msg.TargetID(eff.Spec.KVFrom)]
	e.mu.Unlock()
	if x == nil {
		// The caller's handler has gone; the reducer hears of it by itself.
		x = newExchange(e.ctx, eff.Req, true, link.Payload{})
		cancel(errCallerGone)
	}
	payload := x.payload
	if !eff.Spec.PrefillOnly {
		payload = x.begin(eff.Attempt)
	}
	r := &attemptRead{e: e, x: x, spec: eff.Spec, host: eff.Host, ctx: ctx, sum: xxhash.New()}
	e.wg.Go(func() {
		end := r.run(&link.AttemptOpen{Spec: eff.Spec, Payload: payload, KVURL: kvURL})
		e.endAttempt(x, eff, end)
	})
}

func (e *entry) endAttempt(x *exchange, eff msg.StartAttempt, end attemptEnd) {
	e.mu.Lock()
	delete(e.attempts, eff.Attempt)
	e.mu.Unlock()
	x.addUsage(end.usage)
	ended := msg.AttemptEnded{
		Attempt: eff.Attempt, Result: end.result, Reason: end.reason,
		Usage: end.usage, RetryAfter: end.retryAfter,
	}
	if end.result == msg.AttemptDone && !eff.Spec.Idempotent {
		ended.Response = x.answer()
	}
	e.loop.Post(ended)
}

func (e *entry) cancelAttempt(eff msg.CancelAttempt) {
	e.mu.Lock()
	cancel := e.attempts[eff.Attempt]
	e.mu.Unlock()
	if cancel != nil {
		cancel(errors.WithDetail(errCancelled, eff.Reason))
	}
}

func (e *entry) endRequest(id msg.RequestID, eff msg.Effect) {
	e.mu.Lock()
	x := e.exchanges[id]
	e.mu.Unlock()
	if x != nil {
		x.end(eff)
	}
}

// open records a caller's request.
func (e *entry) open(x *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exchanges[x.id] = x
}

func (e *entry) close(id msg.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exchanges, id)
}

// call opens an operator's call and returns its id and its answers.
func (e *entry) call() (msg.CallID, chan msg.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastCall++
	ch := make(chan msg.Effect, 4)
	e.waiting[e.lastCall] = ch
	return e.lastCall, ch
}

func (e *entry) endCall(id msg.CallID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.waiting, id)
}

func (e *entry) answerCall(id msg.CallID, eff msg.Effect) {
	e.mu.Lock()
	ch := e.waiting[id]
	e.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- eff:
	default:
	}
}

// PeerUp implements [link.Handler].
func (e *entry) PeerUp(p link.Peer, h *link.Hello) {
	if h.Target != nil {
		e.mu.Lock()
		e.urls[h.Target.Target] = h.TargetURL
		e.mu.Unlock()
	}
	e.loop.Post(msg.PeerUp{Host: p.Host})
}

// PeerDown implements [link.Handler].
func (e *entry) PeerDown(p link.Peer, h *link.Hello) {
	e.loop.Post(msg.PeerDown{Host: p.Host})
	if h.Target != nil {
		e.loop.Post(msg.TargetUnreachable{Target: h.Target.Target, Host: p.Host})
	}
}

// Control implements [link.Handler].
func (e *entry) Control(p link.Peer, h *link.Hello, f *link.Frame) {
	switch {
	case f.PeerMessage != nil:
		postPeer(e.loop, e.log, p, f)
	case h.Target == nil:
		e.log.Warn("link: dropped a frame of a target", "host", string(p.Host))
	case f.LoadReport != nil:
		e.loop.Post(msg.TargetReported{Target: *h.Target, Host: p.Host, Domain: h.Domain, Report: *f.LoadReport})
	case f.CacheEvents != nil:
		e.loop.Post(msg.CacheReported{Target: h.Target.Target, Events: f.CacheEvents.Events})
	case f.OrderReply != nil:
		a := f.OrderReply
		e.loop.Post(msg.OrderResultReceived{Target: h.Target.Target, Order: a.Order, Status: a.Status, Reason: a.Reason, Report: a.Report})
	}
}

// Attempt implements [link.Handler]. An entry daemon runs no attempts.
func (e *entry) Attempt(_ link.Peer, s *link.Stream, _ *link.Frame) { s.Reset() }
