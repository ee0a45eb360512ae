package daemon

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/httpclient"
	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/internal/response"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// defaultMaxBody is the largest request body in bytes until a configuration has
	// been read.
	defaultMaxBody = 4 << 20
	// freeHandleTimeout limits a request to free a handle. An engine frees it by itself
	// some seconds later.
	freeHandleTimeout = 5 * time.Second
)

// directDriver is the driver of the direct path's reducer. It serves callers and
// executes the reducer's effects.
type directDriver struct {
	loop   *Loop
	client *platform.Client
	pool   *httpclient.Pool
	peers  *datagramTransport
	log    *slog.Logger
	ctx    context.Context
	// callers is the server that calls this handler, port accepts its connections, and
	// budget bounds what is held for its callers.
	callers *httpdrain.Server
	port    *relay.Port
	budget  *relay.Budget
	// onStopCompleted is called when the reducer has finished a graceful shutdown.
	onStopCompleted func()

	// acceptLonger reports whether the listener stays open while callers open connections
	// during a graceful shutdown.
	acceptLonger atomic.Bool
	// ready is the result of readiness checks.
	ready atomic.Bool
	// maxBody is the largest request body in bytes; zero until it is configured.
	maxBody       atomic.Int64
	lastRequestID atomic.Uint64

	eraMu sync.Mutex // see reportEra

	mu        sync.Mutex
	exchanges map[msg.RequestID]*directExchange
	attempts  map[msg.AttemptID]*runningAttempt
}

// runningAttempt is what ends an attempt.
type runningAttempt struct {
	cancel context.CancelFunc
	permit response.Permit
}

// execute executes one effect of the reducer.
func (d *directDriver) execute(_ msg.Time, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartDirectAttempt:
		d.startAttempt(eff)
	case msg.RefuseRequest:
		d.deliver(eff.Req, eff)
	case msg.AbortRequest:
		d.deliver(eff.Req, eff)
	case msg.FinishRequest:
		d.deliver(eff.Req, eff)
	case msg.ForwardFailure:
		d.deliver(eff.Req, eff)
	case msg.CancelAttempt:
		d.cancelAttempt(eff)
	case msg.FreeHandle:
		go d.freeHandle(eff)
	case msg.ProbeTarget:
		go d.probe(eff)
	case msg.SetReady:
		d.ready.Store(eff.Ready)
	case msg.AcceptLonger:
		d.acceptLonger.Store(true)
	case msg.SetCallerLimits:
		d.setCallerLimits(eff.Limits)
	case msg.LogLine:
		writeLog(d.log, eff)
	case msg.StopCompleted:
		d.onStopCompleted()
	default:
		d.executeExternal(eff)
	}
}

// headSlack is added to the configured size of a head, which may be meant without the
// request line or the ends of lines.
const headSlack = 4 << 10

// setCallerLimits sets the configured limits of callers' requests. Zero is no limit.
func (d *directDriver) setCallerLimits(limits msg.CallerLimits) {
	d.maxBody.Store(limits.BodyBytes)
	d.callers.ExtendIdleTimeout(limits.IdleTimeout)
	if limits.HeaderBytes > 0 {
		d.port.SetHeadBytes(min(limits.HeaderBytes+headSlack, maxHeaderBytes))
	}
}

// executeExternal executes the effects that concern the platform and the other
// daemons.
func (d *directDriver) executeExternal(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.SendPeer:
		d.peers.send(eff)
	case msg.SetHostAddr:
		d.peers.setAddr(eff)
	default:
		go d.callPlatform(eff)
	}
}

// callPlatform executes a call to the platform or an engine and reports its result. A
// new era of the store is reported first.
func (d *directDriver) callPlatform(eff msg.Effect) {
	result := d.client.Do(d.ctx, eff, d.loop.Now)
	d.reportEra()
	d.loop.Post(result)
}

// reportEra reports a new era of the store. The lock keeps results of that era from
// being reported before it.
func (d *directDriver) reportEra() {
	d.eraMu.Lock()
	defer d.eraMu.Unlock()
	if ev, changed := d.client.ChangedEra(); changed {
		d.loop.Post(ev)
	}
}

// startAttempt passes an attempt to the exchange of its request. If the caller has
// disconnected, it ends the attempt instead. From here on the attempt can be
// cancelled.
func (d *directDriver) startAttempt(eff msg.StartDirectAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.exchanges[eff.Req]
	if x == nil {
		go d.loop.Post(msg.DirectAttemptEnded{Attempt: eff.Attempt, Result: msg.DirectCancelled})
		return
	}
	ctx, cancel := context.WithCancel(x.ctx)
	a := &runningAttempt{cancel: cancel}
	d.attempts[eff.Attempt] = a
	x.commands <- directCommand{eff: eff, ctx: ctx, permit: &a.permit}
}

// endAttempt releases an attempt and reports its end.
func (d *directDriver) endAttempt(end msg.DirectAttemptEnded) {
	d.mu.Lock()
	a := d.attempts[end.Attempt]
	delete(d.attempts, end.Attempt)
	d.mu.Unlock()
	if a != nil {
		a.cancel()
	}
	d.loop.Post(end)
}

// deliver passes an effect to the exchange of its request, unless the exchange is
// closed.
func (d *directDriver) deliver(id msg.RequestID, eff msg.Effect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x := d.exchanges[id]; x != nil {
		x.commands <- directCommand{eff: eff}
	}
}

// cancelAttempt cancels an attempt if it is running.
func (d *directDriver) cancelAttempt(eff msg.CancelAttempt) {
	d.mu.Lock()
	a := d.attempts[eff.Attempt]
	d.mu.Unlock()
	if a == nil || eff.UnlessBegun && !a.permit.Withdraw() {
		return
	}
	a.cancel()
}

// freeHandle requests an engine to free a prefilled prompt.
func (d *directDriver) freeHandle(eff msg.FreeHandle) {
	ctx, cancel := context.WithTimeout(d.ctx, freeHandleTimeout)
	defer cancel()
	resp, err := d.pool.Do(ctx, eff.Addr, platform.FreeHandleRequest(eff))
	if err != nil {
		d.log.Info("request: failed to free prefill handle", "addr", eff.Addr, "reason", err.Error())
		return
	}
	resp.Close(false)
}

// serveReady handles the readiness checks of the load balancer.
func (d *directDriver) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP serves one request of a caller.
func (d *directDriver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	limit := d.maxBody.Load()
	if limit == 0 {
		limit = defaultMaxBody
	}
	callerRequest, release, err := d.readCallerRequest(w, r, limit)
	defer release()
	if err != nil {
		rejectCallerRequest(w, r, err)
		return
	}
	x := d.open(r.Context(), callerRequest, w)
	defer d.close(x)
	d.loop.Post(callerRequest.Arrived)
	x.serve()
}

// open adds a caller's request.
func (d *directDriver) open(ctx context.Context, callerRequest *platform.CallerRequest, w http.ResponseWriter) *directExchange {
	id := msg.RequestID(strconv.FormatUint(d.lastRequestID.Add(1), 10))
	callerRequest.Arrived.Req = id
	x := &directExchange{
		driver: d, id: id, callerRequest: callerRequest, ctx: ctx,
		response: response.NewWriter(w, platform.CopyHeader, callerRequest.Arrived.LastEvent),
		commands: make(chan directCommand, commandBuffer), held: d.budget.Account(),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.exchanges[id] = x
	return x
}

// close removes an exchange whose caller has received the response or has
// disconnected. It ends the attempts that were passed to the exchange meanwhile.
func (d *directDriver) close(x *directExchange) {
	d.mu.Lock()
	delete(d.exchanges, x.id)
	d.mu.Unlock()
	x.held.Close()
	for {
		select {
		case cmd := <-x.commands:
			d.dropCommand(cmd)
		default:
			return
		}
	}
}

// dropCommand ends the attempt that a command was to start, if any.
func (d *directDriver) dropCommand(cmd directCommand) {
	if start, ok := cmd.eff.(msg.StartDirectAttempt); ok {
		d.endAttempt(msg.DirectAttemptEnded{Attempt: start.Attempt, Result: msg.DirectCancelled})
	}
}
