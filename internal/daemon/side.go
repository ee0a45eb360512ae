package daemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/platform"
)

const (
	// sweepInterval is the time between two looks for attempts to forget.
	sweepInterval = time.Second
	// cachePoll is the time between two reads of an engine's cache events.
	cachePoll = 500 * time.Millisecond
	// handOverLimit bounds the wait for entries to read the ends of attempts
	// before a stop.
	handOverLimit = 5 * time.Second
	handOverPoll  = 20 * time.Millisecond
	// applySlack is added to an order's timeout before its call is given up.
	applySlack = time.Second
)

// side drives the reducer of a side daemon.
type side struct {
	loop     *Loop
	node     *link.Node
	target   targetClient
	platform *platform.Client
	log      *slog.Logger
	attempts *attemptTable
	ctx      context.Context
	wg       sync.WaitGroup
	ready    func()
	seen     func(msg.Time, msg.Effect)
}

// execute carries out one effect of the reducer.
func (s *side) execute(now msg.Time, eff msg.Effect) {
	s.seen(now, eff)
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
		s.ready()
	default:
		executePlatform(s.ctx, &s.wg, s.platform, s.loop, eff)
	}
}

func (s *side) runAttempt(id msg.AttemptID) {
	run := s.attempts.get(id)
	if run == nil {
		return
	}
	run.decide(nil)
	s.wg.Go(func() { s.run(run) })
}

func (s *side) run(run *attemptRun) {
	timeout := run.spec.Timeout
	timer := time.AfterFunc(timeout, func() { run.cancel(errTimeout) })
	defer timer.Stop()
	out := s.target.run(run.ctx, run)
	if run.spec.PrefillOnly {
		// The attempt that answers is charged for the prompt.
		out.usage = msg.TokenUsage{}
	}
	run.finish(out.result, out.reason, out.usage)
	if out.result == msg.AttemptCrashed {
		s.loop.Post(msg.TargetCrashed{})
	}
	s.loop.Post(msg.SideAttemptEnded{Attempt: run.spec.Attempt, Result: out.result, Usage: out.usage})
}

// refuse tells the entry that an attempt does not run here, or that it is not
// known whether it ran.
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

func (s *side) applyOrder(o msg.Order) {
	ctx, stop := context.WithTimeout(s.ctx, o.Timeout+applySlack)
	defer stop()
	s.loop.Post(s.target.apply(ctx, o))
}

func (s *side) readTarget(call msg.CallID) {
	read, err := s.target.read(s.ctx)
	read.Call = call
	if err != nil {
		read.Status = msg.CallUnavailable
		read.Report.Phase = msg.PhaseDown
	}
	s.loop.Post(read)
}

// drainStreams waits until the entries have read the ends of all attempts, at
// most for handOverLimit.
func (s *side) drainStreams() {
	for end := time.Now().Add(handOverLimit); time.Now().Before(end) && s.attempts.attached(); {
		time.Sleep(handOverPoll)
	}
}

// sweep forgets old attempts until the daemon ends.
func (s *side) sweep() {
	for s.sleep(sweepInterval) {
		for _, run := range s.attempts.sweep(time.Now()) {
			run.cancel(errors.WithDetail(errCancelled, "entry daemon is away"))
		}
	}
}

// pollCache passes the engine's cache events on until the daemon ends.
func (s *side) pollCache() {
	var last uint64
	for s.sleep(cachePoll) {
		events, err := s.target.cacheEvents(s.ctx, last)
		if err != nil || len(events) == 0 {
			continue
		}
		last = events[len(events)-1].Seq
		s.node.Broadcast(&link.Frame{CacheEvents: &link.CacheEvents{Events: events}})
	}
}

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
	run, next, other := s.admit(p, first)
	if run == nil {
		_ = st.Write(other, 0)
		return
	}
	run.attach()
	defer run.release()
	done := make(chan struct{})
	defer close(done)
	s.wg.Go(func() { st.SendHeartbeats(done) })
	read := make(chan struct{})
	s.wg.Go(func() {
		defer close(read)
		s.readCallers(st, run)
	})
	if err := run.send(st, next); err != nil {
		st.Reset()
		return
	}
	// The entry closes its end once it has the whole answer.
	<-read
}

// admit finds or starts the attempt that a stream asks for. Without one it
// returns the answer to the entry.
func (s *side) admit(p link.Peer, first *link.Frame) (run *attemptRun, next uint64, other *link.Frame) {
	if first.Open != nil {
		run, isNew := s.attempts.open(first.Open)
		if isNew {
			s.loop.Post(msg.AttemptOffered{From: p.Host, Spec: run.spec})
		}
		return run, 0, unknownAttempt()
	}
	run, ran := s.attempts.resume(first.Resume.Attempt)
	switch {
	case run != nil:
		run.ack(first.Resume.Next)
		return run, first.Resume.Next, nil
	case ran:
		return nil, 0, &link.Frame{End: &link.End{Result: msg.AttemptLost, Reason: "the answer is no longer kept"}}
	}
	return nil, 0, unknownAttempt()
}

func unknownAttempt() *link.Frame {
	return &link.Frame{Refused: &link.Refused{Code: "unknown-attempt", Reason: "attempt is not known here and will not run"}}
}

// readCallers takes acknowledgements, and waits for the entry to stop the
// attempt.
func (s *side) readCallers(st *link.Stream, run *attemptRun) {
	for {
		f, err := st.Read()
		if err != nil {
			return
		}
		if f.Ack != nil {
			run.ack(f.Ack.Next)
		}
		if f.Cancel != nil {
			run.cancel(errors.WithDetail(errCancelled, f.Cancel.Reason))
		}
	}
}
