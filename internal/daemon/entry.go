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

// entry is the driver of an entry daemon's reducer.
type entry struct {
	loop     *Loop
	reducer  *core.Entry
	node     *link.Node
	platform *platform.Client
	log      *slog.Logger
	ctx      context.Context
	wg       sync.WaitGroup
	// onStopCompleted is called when the reducer has finished a graceful shutdown.
	onStopCompleted func()
	observeEffect   func(msg.Time, msg.Effect)

	mu sync.Mutex
	// exchanges holds the requests of callers that have not been completed.
	exchanges map[msg.RequestID]*exchange
	// attempts holds the functions that cancel the running attempts.
	attempts map[msg.AttemptID]context.CancelCauseFunc
	// pendingCalls holds the channels on which operators' calls await replies.
	pendingCalls map[msg.CallID]chan msg.Effect
	lastCallID   msg.CallID
	// engineURLs holds the base addresses of the engines for KV transfers.
	engineURLs map[msg.TargetID]string
}

// execute executes one effect of the reducer.
func (e *entry) execute(now msg.Time, eff msg.Effect) {
	e.observeEffect(now, eff)
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
		e.replyToCall(eff.Call, eff)
	case msg.AnswerDrainRequest:
		e.replyToCall(eff.Call, eff)
	default:
		e.executeShared(now, eff)
	}
}

// executeShared executes the effects that concern other daemons, the platform or
// the process itself.
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
		e.onStopCompleted()
	default:
		executePlatform(e.ctx, &e.wg, e.platform, e.loop, eff)
	}
}

// sendOrder sends an order if the lease under which it was issued is still valid
// when it is sent.
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

// startAttempt runs an attempt on its side daemon in a goroutine of its own.
func (e *entry) startAttempt(eff msg.StartAttempt) {
	e.mu.Lock()
	x := e.exchanges[eff.Req]
	ctx, cancel := context.WithCancelCause(e.ctx)
	e.attempts[eff.Attempt] = cancel
	kvURL := e.engineURLs[msg.TargetID(eff.Spec.KVFrom)]
	e.mu.Unlock()
	if x == nil {
		// The caller's handler has returned. A separate event reports that to the
		// reducer.
		x = newExchange(e.ctx, eff.Req, true, link.Payload{})
		cancel(errCallerGone)
	}
	payload := x.payload
	if !eff.Spec.PrefillOnly {
		payload = x.beginAttempt(eff.Attempt)
	}
	r := &attemptReader{entry: e, exchange: x, spec: eff.Spec, host: eff.Host, ctx: ctx, checksum: xxhash.New()}
	e.wg.Go(func() {
		end := r.run(&link.AttemptOpen{Spec: eff.Spec, Payload: payload, KVURL: kvURL})
		e.endAttempt(x, eff, end)
	})
}

// endAttempt reports the end of an attempt to the reducer.
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
		ended.Response = x.response()
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

// endRequest passes the effect that ends a request to the caller's handler.
func (e *entry) endRequest(id msg.RequestID, eff msg.Effect) {
	e.mu.Lock()
	x := e.exchanges[id]
	e.mu.Unlock()
	if x != nil {
		x.finish(eff)
	}
}

// open adds a caller's request.
func (e *entry) open(x *exchange) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exchanges[x.id] = x
}

// close removes a caller's request.
func (e *entry) close(id msg.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exchanges, id)
}

// openCall opens an operator's call. It returns the call's ID and a channel that
// receives the reducer's replies.
func (e *entry) openCall() (msg.CallID, chan msg.Effect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastCallID++
	replies := make(chan msg.Effect, 4)
	e.pendingCalls[e.lastCallID] = replies
	return e.lastCallID, replies
}

// closeCall removes an operator's call.
func (e *entry) closeCall(id msg.CallID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pendingCalls, id)
}

// replyToCall passes a reply of the reducer to an operator's call. It drops the
// reply if the call is closed or its channel is full.
func (e *entry) replyToCall(id msg.CallID, eff msg.Effect) {
	e.mu.Lock()
	replies := e.pendingCalls[id]
	e.mu.Unlock()
	if replies == nil {
		return
	}
	select {
	case replies <- eff:
	default:
	}
}

// PeerUp implements [link.Handler].
func (e *entry) PeerUp(p link.Peer, h *link.Hello) {
	if h.Target != nil {
		e.mu.Lock()
		e.engineURLs[h.Target.Target] = h.TargetURL
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
		e.log.Warn("link: dropped a target's frame from a peer that has no target", "host", string(p.Host))
	case f.LoadReport != nil:
		e.loop.Post(msg.TargetReported{Target: *h.Target, Host: p.Host, Domain: h.Domain, Report: *f.LoadReport})
	case f.CacheEvents != nil:
		e.loop.Post(msg.CacheReported{Target: h.Target.Target, Events: f.CacheEvents.Events})
	case f.OrderReply != nil:
		reply := f.OrderReply
		e.loop.Post(msg.OrderResultReceived{Target: h.Target.Target, Order: reply.Order, Status: reply.Status, Reason: reply.Reason, Report: reply.Report})
	}
}

// Attempt implements [link.Handler]. An entry daemon runs no attempts.
func (e *entry) Attempt(_ link.Peer, s *link.Stream, _ *link.Frame) { s.Reset() }
