package daemon

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/platform"
)

const (
	// sweepInterval is the time between two sweeps of the attempt table.
	sweepInterval = time.Second
	// cachePollInterval is the time between two reads of an engine's cache events.
	cachePollInterval = 500 * time.Millisecond
	// drainTimeout limits how long a graceful shutdown waits for the entry daemons to
	// read the ends of their attempts, and drainPollInterval is the time between two
	// checks.
	drainTimeout      = 5 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// orderTimeoutSlack is the time after an order's timeout at which the call to the
	// target is cancelled.
	orderTimeoutSlack = time.Second
)

// side is the driver of a side daemon's reducer.
type side struct {
	loop     *Loop
	node     *link.Node
	target   targetClient
	platform *platform.Client
	log      *slog.Logger
	attempts *attemptTable
	ctx      context.Context
	wg       sync.WaitGroup
	// onStopCompleted is called when the reducer has finished a graceful shutdown.
	onStopCompleted func()
	observeEffect   func(msg.Time, msg.Effect)
}

// execute executes one effect of the reducer.
func (s *side) execute(now msg.Time, eff msg.Effect) {
	s.observeEffect(now, eff)
	if executeLink(s.ctx, &s.wg, s.node, eff) {
		return
	}
	switch eff := eff.(type) {
	case msg.RunAttempt:
		s.runAttempt(eff.Spec.Attempt)
	case msg.RefuseAttempt:
		s.refuse(eff)
	case msg.StopAttempt:
		s.stopAttempt(eff)
	case msg.ApplyOrder:
		s.wg.Go(func() { s.applyOrder(eff.Order) })
	case msg.SendOrderReply:
		s.wg.Go(func() { _ = s.node.Send(s.ctx, eff.To, &link.Frame{OrderReply: &eff.Reply}) })
	case msg.ReadTarget:
		s.wg.Go(func() { s.readTarget(eff.Call) })
	case msg.PublishReport:
		s.node.Broadcast(&link.Frame{LoadReport: &eff.Report})
	case msg.LogLine:
		writeLog(s.log, eff)
	case msg.StopCompleted:
		s.onStopCompleted()
	default:
		executePlatform(s.ctx, &s.wg, s.platform, s.loop, eff)
	}
}

// runAttempt accepts an offered attempt and runs it in a goroutine of its own.
func (s *side) runAttempt(id msg.AttemptID) {
	run := s.attempts.get(id)
	if run == nil {
		return
	}
	run.decide(nil)
	s.wg.Go(func() { s.run(run) })
}

// run runs an attempt on the target and reports its end.
func (s *side) run(run *attemptRun) {
	timeout := run.spec.Timeout
	timer := time.AfterFunc(timeout, func() { run.cancel(errTimeout) })
	defer timer.Stop()
	out := s.target.run(run.ctx, run)
	if run.spec.PrefillOnly {
		// The prompt is charged to the attempt that produces the response.
		out.usage = msg.TokenUsage{}
	}
	run.finish(out.result, out.reason, out.usage)
	if out.result == msg.AttemptCrashed {
		s.loop.Post(msg.TargetCrashed{})
	}
	s.loop.Post(msg.SideAttemptEnded{Attempt: run.spec.Attempt, Result: out.result, Usage: out.usage})
}

// refuse reports to the entry daemon that an attempt does not run here or, if
// MayHaveRun is set, that it may have run.
func (s *side) refuse(eff msg.RefuseAttempt) {
	run := s.attempts.get(eff.Attempt)
	if run == nil {
		return
	}
	if eff.MayHaveRun {
		run.decide(nil)
		run.finish(msg.AttemptLost, eff.Reason, msg.TokenUsage{})
		return
	}
	run.decide(&link.Refused{Code: eff.Code, Reason: eff.Reason, RetryAfter: eff.RetryAfter})
	run.finish(msg.AttemptNotRun, eff.Reason, msg.TokenUsage{})
}

// stopAttempt cancels a running attempt. If Move is set, the entry daemon continues
// it on another target.
func (s *side) stopAttempt(eff msg.StopAttempt) {
	run := s.attempts.get(eff.Attempt)
	if run == nil {
		return
	}
	if eff.Move {
		run.cancel(errMoved)
		return
	}
	run.cancel(errors.WithDetail(errCancelled, eff.Reason))
}

// applyOrder executes an order on the target and posts the result.
func (s *side) applyOrder(o msg.Order) {
	ctx, stop := context.WithTimeout(s.ctx, o.Timeout+orderTimeoutSlack)
	defer stop()
	s.loop.Post(s.target.apply(ctx, o))
}

// readTarget reads the target's state and posts it. If the read fails, it reports
// the target as down.
func (s *side) readTarget(call msg.CallID) {
	read, err := s.target.read(s.ctx)
	read.Call = call
	if err != nil {
		read.Status = msg.CallUnavailable
		read.Report.Phase = msg.PhaseDown
	}
	s.loop.Post(read)
}

// drainStreams waits until the entry daemons have read the ends of all attempts, also on
// new streams after a failure, but no longer than drainTimeout.
func (s *side) drainStreams() {
	for end := time.Now().Add(drainTimeout); time.Now().Before(end) && s.attempts.anyAwaited(time.Now()); {
		time.Sleep(drainPollInterval)
	}
}

// sweep periodically removes ended attempts, and cancels running idempotent ones
// whose entry daemon has been disconnected for too long, until the daemon ends.
func (s *side) sweep() {
	for s.sleep(sweepInterval) {
		for _, run := range s.attempts.sweep(time.Now()) {
			run.cancel(errors.WithDetail(errCancelled, "entry daemon is away"))
		}
	}
}

// pollCache sends the engine's cache events to the entry daemons until the daemon
// ends.
func (s *side) pollCache() {
	var lastSeq uint64
	for s.sleep(cachePollInterval) {
		events, err := s.target.cacheEvents(s.ctx, lastSeq)
		if err != nil || len(events) == 0 {
			continue
		}
		lastSeq = events[len(events)-1].Seq
		s.node.Broadcast(&link.Frame{CacheEvents: &link.CacheEvents{Events: events}})
	}
}

// sleep waits for d. It returns false if the daemon ends first.
func (s *side) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-s.ctx.Done():
		return false
	}
}

// PeerUp implements [link.Handler].
func (s *side) PeerUp(p link.Peer, _ *link.Hello) { s.loop.Post(msg.PeerUp{Host: p.Host}) }

// PeerDown implements [link.Handler].
func (s *side) PeerDown(p link.Peer, _ *link.Hello) {
	s.loop.Post(msg.PeerDown{Host: p.Host})
	s.loop.Post(msg.EntryDisconnected{Host: p.Host})
}

// Control implements [link.Handler].
func (s *side) Control(p link.Peer, _ *link.Hello, f *link.Frame) {
	switch {
	case f.Order != nil:
		s.loop.Post(msg.OrderReceived{From: p.Host, Order: *f.Order})
	case f.PeerMessage != nil:
		postPeer(s.loop, s.log, p, f)
	}
}

// Attempt implements [link.Handler].
func (s *side) Attempt(p link.Peer, st *link.Stream, first *link.Frame) {
	run, next, rejection := s.admit(p, first)
	if run == nil {
		_ = st.Write(rejection, 0)
		return
	}
	run.attach()
	defer run.detach()
	done := make(chan struct{})
	defer close(done)
	s.wg.Go(func() { st.SendHeartbeats(done) })
	readErr := make(chan error, 1)
	s.wg.Go(func() { readErr <- s.readEntryFrames(st, run) })
	if err := run.writeFrames(st, next); err != nil {
		st.Reset()
		return
	}
	// The entry daemon closes its end of the stream when it has received the whole
	// response.
	if errors.Is(<-readErr, io.EOF) {
		run.markDelivered()
	}
}

// admit returns the attempt that the first frame of a stream opens or resumes, and
// the sequence number of the first frame to send. If there is no such attempt, it
// returns the frame that is sent to the entry daemon instead.
func (s *side) admit(p link.Peer, first *link.Frame) (run *attemptRun, next uint64, rejection *link.Frame) {
	if first.Open != nil {
		run, isNew := s.attempts.open(first.Open)
		if isNew {
			s.loop.Post(msg.AttemptOffered{From: p.Host, Spec: run.spec})
		}
		return run, 0, unknownAttemptFrame()
	}
	run, ran := s.attempts.resume(first.Resume.Attempt)
	switch {
	case run != nil:
		run.ack(first.Resume.Next)
		return run, first.Resume.Next, nil
	case ran:
		return nil, 0, &link.Frame{End: &link.End{Result: msg.AttemptLost, Reason: "the answer is no longer kept"}}
	}
	return nil, 0, unknownAttemptFrame()
}

// unknownAttemptFrame returns the reply to an entry daemon that names an unknown
// attempt.
func unknownAttemptFrame() *link.Frame {
	return &link.Frame{Refused: &link.Refused{Code: "unknown-attempt", Reason: "attempt is not known here and will not run"}}
}

// readEntryFrames handles the acknowledgements and cancellations that the entry
// daemon sends, until the stream ends. The error is [io.EOF] if the entry daemon has closed
// its end of the stream.
func (s *side) readEntryFrames(st *link.Stream, run *attemptRun) error {
	for {
		f, err := st.Read()
		if err != nil {
			return err
		}
		if f.Ack != nil {
			run.ack(f.Ack.Next)
		}
		if f.Cancel != nil {
			run.cancel(errors.WithDetail(errCancelled, f.Cancel.Reason))
		}
	}
}
