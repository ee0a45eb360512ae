package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// defaultMaxBody bounds a caller's body before a configuration is known.
	defaultMaxBody = 4 << 20
	// bodyTimeout bounds the time in which a body arrives.
	bodyTimeout = 10 * time.Second
)

// directFront drives the reducer of the direct path: it serves callers and
// carries out effects.
type directFront struct {
	loop    *Loop
	client  *platform.Client
	pool    *httpclient.Pool
	peers   *datagrams
	log     *slog.Logger
	ctx     context.Context
	stopped func()

	ready   atomic.Bool
	maxBody atomic.Int64
	lastReq atomic.Uint64

	mu        sync.Mutex
	exchanges map[msg.RequestID]*directExchange
	attempts  map[msg.AttemptID]context.CancelFunc
}

// execute carries out one effect of the reducer.
func (f *directFront) execute(_ msg.Time, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartDirectAttempt:
		f.startAttempt(eff)
	case msg.RefuseRequest:
		f.deliver(eff.Req, eff)
	case msg.AbortRequest:
		f.deliver(eff.Req, eff)
	case msg.FinishRequest:
		f.deliver(eff.Req, eff)
	case msg.ForwardFailure:
		f.deliver(eff.Req, eff)
	case msg.CancelAttempt:
		f.cancel(eff.Attempt)
	case msg.FreeHandle:
		go f.freeHandle(eff)
	case msg.SetReady:
		f.ready.Store(eff.Ready)
	case msg.SetCallerLimits:
		f.maxBody.Store(eff.Limits.BodyBytes)
	case msg.LogLine:
		writeLog(f.log, eff)
	case msg.StopCompleted:
		f.stopped()
	default:
		f.executeOutside(eff)
	}
}

// executeOutside carries out the effects that concern the platform and the
// other daemons.
func (f *directFront) executeOutside(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.SendPeer:
		f.peers.send(eff)
	case msg.SetHostAddr:
		f.peers.locate(eff)
	default:
		go func() { f.loop.Post(f.client.Do(f.ctx, eff, f.loop.Now)) }()
	}
}

// startAttempt hands an attempt to the exchange of its request, or ends it
// where the caller has left. From here on it can be cancelled.
func (f *directFront) startAttempt(eff msg.StartDirectAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x := f.exchanges[eff.Req]
	if x == nil {
		go f.loop.Post(msg.DirectAttemptEnded{Attempt: eff.Attempt, Result: msg.DirectCancelled})
		return
	}
	ctx, cancel := context.WithCancel(x.ctx)
	f.attempts[eff.Attempt] = cancel
	x.commands <- directCommand{eff: eff, ctx: ctx}
}

// endAttempt reports an attempt's end.
func (f *directFront) endAttempt(end msg.DirectAttemptEnded) {
	f.mu.Lock()
	cancel := f.attempts[end.Attempt]
	delete(f.attempts, end.Attempt)
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	f.loop.Post(end)
}

// deliver hands an effect to the exchange of its request.
func (f *directFront) deliver(id msg.RequestID, eff msg.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x := f.exchanges[id]; x != nil {
		x.commands <- directCommand{eff: eff}
	}
}

func (f *directFront) cancel(id msg.AttemptID) {
	f.mu.Lock()
	cancel := f.attempts[id]
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (f *directFront) freeHandle(eff msg.FreeHandle) {
	a, err := f.pool.Do(f.ctx, eff.Addr, platform.FreeHandleRequest(eff))
	if err != nil {
		f.log.Info("request: handle not freed", "addr", eff.Addr, "reason", err.Error())
		return
	}
	a.Close(false)
}

// serveReady answers the balancer.
func (f *directFront) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP serves one request of a caller.
func (f *directFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit := f.maxBody.Load()
	if limit == 0 {
		limit = defaultMaxBody
	}
	call, err := readCall(w, r, limit)
	switch {
	case errors.Is(err, platform.ErrTooLarge):
		w.Header().Set("Connection", "close")
		platform.WriteError(w, http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return
	case errors.Is(err, platform.ErrMalformed):
		platform.WriteError(w, http.StatusBadRequest, "malformed", 0)
		return
	case err != nil:
		// The caller left in the middle of its request.
		panic(http.ErrAbortHandler)
	}
	x := f.open(r.Context(), call, w)
	defer f.close(x)
	f.loop.Post(call.Arrived)
	x.serve()
}

// readCall reads a caller's request, whose body must arrive in time.
func readCall(w http.ResponseWriter, r *http.Request, limit int64) (*platform.CallerRequest, error) {
	if r.ContentLength == 0 {
		return platform.ReadCallerRequest(r, limit)
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	call, err := platform.ReadCallerRequest(r, limit)
	if err != nil {
		return nil, err
	}
	return call, control.SetReadDeadline(time.Time{})
}

// open records a caller's request.
func (f *directFront) open(ctx context.Context, call *platform.CallerRequest, w http.ResponseWriter) *directExchange {
	id := msg.RequestID(strconv.FormatUint(f.lastReq.Add(1), 10))
	call.Arrived.Req = id
	x := &directExchange{
		front: f, id: id, call: call, w: w, ctx: ctx,
		control: http.NewResponseController(w), commands: make(chan directCommand, maxCommands),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchanges[id] = x
	return x
}

// close forgets an exchange whose caller has its answer or has left. Attempts
// that were handed over meanwhile end here.
func (f *directFront) close(x *directExchange) {
	f.mu.Lock()
	delete(f.exchanges, x.id)
	f.mu.Unlock()
	for {
		select {
		case cmd := <-x.commands:
			if start, ok := cmd.eff.(msg.StartDirectAttempt); ok {
				f.endAttempt(msg.DirectAttemptEnded{Attempt: start.Attempt, Result: msg.DirectCancelled})
			}
		default:
			return
		}
	}
}
