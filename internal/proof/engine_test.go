package proof

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// stepTime is the reported time between two tokens.
	stepTime = 40 * time.Millisecond
	// reconnectTimeout and attemptGrace have the values of the real daemons:
	// how long an entry waits for a lost connection before it gives the attempt
	// up, and how long a side keeps an attempt that its entry does not read.
	reconnectTimeout = 5 * time.Second
	attemptGrace     = 10 * time.Second
)

// engine is a target: a model engine or a plain service.
type engine struct {
	s        *sim
	host     msg.HostID
	identity msg.TargetIdentity
	down     bool
	role     msg.Role
	epoch    msg.Epoch
	order    msg.OrderID
	version  string
	// executing is the number of orders that are being executed.
	executing int
	attempts  map[msg.AttemptID]*sideAttempt
}

// sideAttempt is an attempt on a side, with the frames that the entry reads.
type sideAttempt struct {
	spec msg.AttemptSpec
	req  *callerRequest
	// offset is the number of tokens that the caller received from earlier attempts.
	offset int
	// produced is the number of tokens that this attempt has generated.
	produced int
	// accepted reports that the side's reducer has started the attempt.
	accepted bool
	ended    bool
	// endRead reports that the entry has read the final frame.
	endRead bool
	end     msg.AttemptEnded
	// stopResult is the result with which to end the attempt early. AttemptDone
	// lets it run to its end.
	stopResult msg.AttemptResult
	// lastRead is the time at which the entry last read from the attempt.
	lastRead time.Duration
}

func (e *engine) report() msg.LoadReport {
	r := msg.LoadReport{
		Role: e.role, Running: len(e.attempts), KVTotal: 1_000_000, MaxBatch: 16,
		PrefillRate: 20_000, StepTime: stepTime, Order: e.order,
		Models: []msg.LoadedModel{{Model: "m", Version: e.version}},
	}
	if e.down {
		r.Phase = msg.PhaseDown
	}
	return r
}

// runAttempt starts an attempt on the target, unless the target is down.
func (e *engine) runAttempt(p *proc, r *sideAttempt) {
	e.s.oracle.attemptStarted(e, r)
	if e.down {
		e.finish(p, r, msg.AttemptNotRun)
		return
	}
	r.req.executionStarted(r)
	e.attempts[r.spec.Attempt] = r
	e.generate(p, r)
}

// generate generates the next token or ends the attempt.
func (e *engine) generate(p *proc, r *sideAttempt) {
	p.runLocalAfter(e.s.randomDuration(stepTime/2, 2*stepTime), func() {
		switch {
		case r.ended:
		case e.attempts[r.spec.Attempt] != r:
			e.finish(p, r, msg.AttemptCrashed)
		case r.stopResult != msg.AttemptDone:
			e.finish(p, r, r.stopResult)
		case r.offset+r.produced == r.req.answerTokens:
			e.finish(p, r, msg.AttemptDone)
		default:
			r.produced++
			e.generate(p, r)
		}
	})
}

// finish ends an attempt and reports its result to the side's reducer.
func (e *engine) finish(p *proc, r *sideAttempt, result msg.AttemptResult) {
	delete(e.attempts, r.spec.Attempt)
	r.ended = true
	usage := msg.TokenUsage{Prompt: int64(r.spec.PromptTokens), Generated: int64(r.produced)}
	r.end = msg.AttemptEnded{Attempt: r.spec.Attempt, Result: result, Usage: usage}
	if result == msg.AttemptDone && !r.spec.Idempotent {
		r.end.Response = r.req.answer()
	}
	if result == msg.AttemptCrashed {
		p.step(msg.TargetCrashed{})
	}
	p.step(msg.SideAttemptEnded{Attempt: r.spec.Attempt, Result: result, Usage: usage})
}

// crash makes the target unavailable for 2 s to 10 s. Its attempts are lost.
func (e *engine) crash() {
	e.down = true
	clear(e.attempts)
	e.s.after(e.s.randomDuration(2*time.Second, 10*time.Second), func() { e.down = false })
}

// sideKilled drops the target's attempts when its side process is killed.
func (e *engine) sideKilled() { clear(e.attempts) }

// performRequestEffect performs the effects that concern requests, and passes
// the others on.
func (p *proc) performRequestEffect(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartAttempt:
		p.startAttempt(eff)
	case msg.CancelAttempt:
		p.cancelAttempt(eff)
	case msg.RefuseRequest:
		p.s.requestFailed(p, eff.Req, eff.Outcome, eff.Code)
	case msg.AbortRequest:
		p.s.requestFailed(p, eff.Req, eff.Outcome, eff.Code)
	case msg.ReplayResponse:
		p.s.requestReplayed(eff)
	case msg.FinishRequest:
		p.s.requestFinished(eff.Req)
	case msg.RunAttempt:
		if r := p.attempts[eff.Spec.Attempt]; r != nil {
			r.accepted = true
			p.s.engines[p.self.Host].runAttempt(p, r)
		}
	case msg.RefuseAttempt:
		if r := p.attempts[eff.Attempt]; r != nil && !r.accepted {
			r.ended = true
			r.end = msg.AttemptEnded{Attempt: eff.Attempt, Result: refusedResult(eff), Reason: eff.Reason, RetryAfter: eff.RetryAfter}
		}
	case msg.StopAttempt:
		p.stopAttempt(eff)
	default:
		p.performTargetEffect(eff)
	}
}

// stopAttempt makes the engine end an attempt at its next token.
func (p *proc) stopAttempt(eff msg.StopAttempt) {
	r := p.attempts[eff.Attempt]
	if r == nil {
		return
	}
	r.stopResult = msg.AttemptCancelled
	if eff.Move {
		r.stopResult = msg.AttemptMoved
	}
}

// attemptReader reads an attempt's frames on the entry.
type attemptReader struct {
	p   *proc
	eff msg.StartAttempt
	req *callerRequest
	// incarnation is that of the side process to which the attempt was sent.
	incarnation msg.Incarnation
	// framesRead is the number of frames that the entry has read.
	framesRead int
	// acceptancePosted reports that the reducer has received AttemptAccepted.
	acceptancePosted bool
	// unreachableSince is 0 while the side is reachable.
	unreachableSince time.Duration
	// ended reports that the reducer has received AttemptEnded. Frames may still
	// arrive.
	ended bool
}

// startAttempt offers an attempt to the target's side.
func (p *proc) startAttempt(eff msg.StartAttempt) {
	s := p.s
	request := s.requests[eff.Req]
	s.oracle.attemptSent(p, eff)
	side := s.procs[eff.Host]
	if side == nil || side.dead || !p.connectedTo(side) {
		p.runLocalAfter(s.messageDelay(), func() {
			p.step(msg.AttemptEnded{Attempt: eff.Attempt, Result: msg.AttemptNotRun, Reason: "no connection"})
		})
		return
	}
	reader := &attemptReader{p: p, eff: eff, req: request, incarnation: side.incarnation}
	request.reader = reader
	run := &sideAttempt{spec: eff.Spec, req: request, offset: request.received, lastRead: s.now}
	s.after(s.messageDelay(), func() { side.offer(p.self.Host, run) })
	p.runLocalAfter(s.randomDuration(10*time.Millisecond, 30*time.Millisecond), reader.poll)
}

// offer passes an attempt to the side's reducer, unless the attempt is known.
func (p *proc) offer(from msg.HostID, run *sideAttempt) {
	p.runLocal(func() {
		if p.attempts[run.spec.Attempt] != nil {
			return
		}
		p.attempts[run.spec.Attempt] = run
		p.step(msg.AttemptOffered{From: from, Spec: run.spec})
	})
}

// connectedTo reports whether the other process is running and the network
// works in both directions.
func (p *proc) connectedTo(other *proc) bool {
	return !other.dead && !other.paused && p.s.reachable(p.self.Host, other.self.Host) && p.s.reachable(other.self.Host, p.self.Host)
}

// poll periodically reads new frames and detects that the side is unreachable.
func (rd *attemptReader) poll() {
	s, id := rd.p.s, rd.eff.Attempt
	side := s.procs[rd.eff.Host]
	if rd.ended && (side.dead || s.now-rd.unreachableSince > 2*reconnectTimeout) {
		return
	}
	if !rd.p.connectedTo(side) || side.incarnation != rd.incarnation {
		rd.handleUnreachable(side)
		return
	}
	if !rd.ended {
		rd.unreachableSince = 0
	}
	run := side.attempts[id]
	if run == nil {
		// The offer was lost with its connection. Recording the attempt as ended
		// makes the side ignore the offer if it arrives later.
		side.attempts[id] = &sideAttempt{spec: rd.eff.Spec, req: rd.req, ended: true, end: msg.AttemptEnded{Attempt: id, Result: msg.AttemptNotRun}}
		run = side.attempts[id]
	}
	run.lastRead = s.now
	rd.readFrames(run)
	if run.ended && rd.framesRead == run.produced {
		end := run.end
		run.endRead = true
		if !rd.ended {
			rd.p.step(end)
		}
		return
	}
	rd.p.runLocalAfter(s.randomDuration(10*time.Millisecond, 60*time.Millisecond), rd.poll)
}

// readFrames passes new frames to the caller and reports progress to the reducer.
func (rd *attemptReader) readFrames(run *sideAttempt) {
	if run.accepted && !rd.acceptancePosted && !rd.ended {
		rd.acceptancePosted = true
		rd.p.step(msg.AttemptAccepted{Attempt: rd.eff.Attempt})
	}
	if rd.framesRead == run.produced {
		return
	}
	for ; rd.framesRead < run.produced; rd.framesRead++ {
		rd.req.receive(rd, run.offset+rd.framesRead)
	}
	if !rd.ended {
		rd.p.step(msg.AttemptProgress{Attempt: rd.eff.Attempt, Tokens: rd.req.received})
	}
}

// handleUnreachable reports the attempt as lost when the side has been
// unreachable for longer than reconnectTimeout or its process was replaced.
func (rd *attemptReader) handleUnreachable(side *proc) {
	s := rd.p.s
	if rd.unreachableSince == 0 {
		rd.unreachableSince = s.now
	}
	replaced := !side.dead && side.incarnation != rd.incarnation
	if !rd.ended && (replaced || s.now-rd.unreachableSince > reconnectTimeout) {
		rd.ended = true
		usage := msg.TokenUsage{Prompt: int64(rd.eff.Spec.PromptTokens), Generated: int64(rd.framesRead)}
		rd.p.step(msg.AttemptEnded{Attempt: rd.eff.Attempt, Result: msg.AttemptLost, Usage: usage})
	}
	rd.p.runLocalAfter(200*time.Millisecond, rd.poll)
}

// cancelAttempt sends a cancellation to the side that has the attempt, if the
// side is reachable.
func (p *proc) cancelAttempt(eff msg.CancelAttempt) {
	for _, h := range p.s.hosts {
		side := p.s.procs[h.Host]
		if side == nil || side.attempts[eff.Attempt] == nil || !p.connectedTo(side) {
			continue
		}
		p.s.after(p.s.messageDelay(), func() {
			side.runLocal(func() { side.stopAttempt(msg.StopAttempt{Attempt: eff.Attempt}) })
		})
	}
}

// stopAbandonedAttempts stops, every second, idempotent attempts that their
// entry has not read for attemptGrace.
func (s *sim) stopAbandonedAttempts() {
	for _, h := range s.hosts {
		p := s.procs[h.Host]
		if p == nil || p.dead || p.paused {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(p.attempts)) {
			r := p.attempts[id]
			if !r.ended && r.accepted && r.spec.Idempotent && s.now-r.lastRead > attemptGrace {
				p.stopAttempt(msg.StopAttempt{Attempt: id})
			}
		}
	}
	s.after(time.Second, s.stopAbandonedAttempts)
}

// answerText is the response body of a plain service to a request body.
func answerText(body string) string { return fmt.Sprintf("answer to %s", body) }
