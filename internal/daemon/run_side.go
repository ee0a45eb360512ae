package daemon

import (
	"context"

	"github.com/verbenaspur/verbenaspur/internal/core"
	"github.com/verbenaspur/verbenaspur/internal/settings"
)

// runSide runs a side daemon.
func (p *process) runSide(ctx context.Context) error {
	reducer := core.NewSide(core.SideConfig{
		Self: p.startedEvent.Self, Incarnation: p.startedEvent.Incarnation,
		Components: core.ComponentConfigs{Observer: p.metrics},
	})
	stepper, err := p.withRecorder(reducer)
	if err != nil {
		return err
	}
	s := &side{
		platform: p.platform, log: p.log, ctx: p.workCtx, attempts: newAttemptTable(),
		onStopCompleted: p.markShutdownDone, observeEffect: p.metrics.ObserveEffect, target: p.newTargetClient(),
	}
	s.loop = NewLoop(p.metrics.Timed(stepper), s.execute)
	if s.node, err = p.newNode(s); err != nil {
		return err
	}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go s.loop.Run(loopCtx, p.startedEvent)
	s.wg.Go(s.sweep)
	s.wg.Go(s.pollCache)
	ops, err := p.serveOps(func() bool { return ctx.Err() == nil })
	if err != nil {
		return err
	}
	p.log.Info("daemon: started", "role", "side", "host", p.settings.Host, "target", p.settings.Target.ID, "link", p.settings.Listen.Link)
	p.awaitShutdown(ctx, s.loop)
	s.drainStreams()
	p.stopAll(s.node, stopLoop, &s.wg, ops)
	return nil
}

// newTargetClient returns a client for the target that the settings name.
func (p *process) newTargetClient() targetClient {
	t := p.settings.Target
	if t.Kind == settings.TargetService {
		return &serviceClient{base: t.URL, http: newTargetHTTPClient(true), noReuse: newTargetHTTPClient(false)}
	}
	return &engineClient{base: t.URL, http: newTargetHTTPClient(true)}
}
