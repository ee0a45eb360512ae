package daemon

import (
	"context"

	"github.com/gorilla/mux"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// runEntry runs an entry daemon.
func (p *process) runEntry(ctx context.Context) error {
	reducer := core.NewEntry(core.EntryConfig{
		Self: p.startedEvent.Self, Incarnation: p.startedEvent.Incarnation,
		Components: core.ComponentConfigs{Observer: p.metrics},
	})
	stepper, err := p.withRecorder(reducer)
	if err != nil {
		return err
	}
	e := &entry{
		reducer: reducer, platform: p.platform, log: p.log, ctx: p.workCtx,
		onStopCompleted: p.markShutdownDone, observeEffect: p.metrics.ObserveEffect,
		exchanges:    make(map[msg.RequestID]*exchange),
		attempts:     make(map[msg.AttemptID]context.CancelCauseFunc),
		pendingCalls: make(map[msg.CallID]chan msg.Effect),
		engineURLs:   make(map[msg.TargetID]string),
	}
	e.loop = NewLoop(p.metrics.Timed(stepper), e.execute)
	if e.node, err = p.newNode(e); err != nil {
		return err
	}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go e.loop.Run(loopCtx, p.startedEvent)
	ops, err := p.serveOps(e.isReady)
	if err != nil {
		return err
	}
	r := mux.NewRouter()
	p.healthRoutes(r, e.isReady)
	(&operatorAPI{e: e, operators: p.settings.Operators}).routes(r)
	(&callerAPI{e: e, budget: p.budget}).routes(r)
	srv := newServer(r, p.log)
	if err := p.serve(port{"callers", p.settings.Limits.MaxConnections()}, p.settings.Listen.HTTP, srv, p.settings.TLS.HTTPCert, p.settings.TLS.HTTPKey); err != nil {
		return err
	}
	p.log.Info("daemon: started", "role", "entry", "host", p.settings.Host, "http", p.settings.Listen.HTTP, "link", p.settings.Listen.Link)
	p.awaitShutdown(ctx, e.loop)
	p.stopAll(e.node, stopLoop, &e.wg, srv, ops)
	return nil
}

// isReady reports whether the platform's load balancer may send callers to this
// daemon.
func (e *entry) isReady() bool {
	ok := false
	e.loop.Query(func(now msg.Time) {
		ok = e.reducer.Index() != nil && e.reducer.Fresh(now) && !e.reducer.Stopping()
	})
	return ok
}
