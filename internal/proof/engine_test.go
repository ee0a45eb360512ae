package proof

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	stepTime = 40 * time.Millisecond
	// resumeFor and attemptGrace are the daemons'.
	resumeFor    = 5 * time.Second
	attemptGrace = 10 * time.Second
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
	busy     int // orders in execution
	runs     map[msg.AttemptID]*sideRun
}

// sideRun is an attempt at the side: the frames that the entry has yet to read.
type sideRun struct {
	spec   msg.AttemptSpec
	req    *callerRequest
	from   int // tokens of the answer that the caller had before
	frames int // tokens that were produced
	taken  bool
	ended  bool
	handed bool // the entry has read the end
	end    msg.AttemptEnded
	stop   msg.AttemptResult
	read   time.Duration
}

func (e *engine) report() msg.LoadReport {
	r := msg.LoadReport{
		Role: e.role, Running: len(e.runs), KVTotal: 1_000_000, MaxBatch: 16,
		PrefillRate: 20_000, StepTime: stepTime, Order: e.order,
		Models: []msg.LoadedModel{{Model: "m", Version: e.version}},
	}
	if e.down {
		r.Phase = msg.PhaseDown
	}
	return r
}

// run starts an attempt on the target.
func (e *engine) run(p *proc, r *sideRun) {
	e.s.oracle.ran(e, r)
	if e.down {
		e.finish(p, r, msg.AttemptNotRun)
		return
	}
	r.req.executed(r)
	e.runs[r.spec.Attempt] = r
	e.step(p, r)
}

// step produces one token, or ends the attempt.
func (e *engine) step(p *proc, r *sideRun) {
	p.later(e.s.between(stepTime/2, 2*stepTime), func() {
		switch {
		case r.ended:
		case e.runs[r.spec.Attempt] != r:
			e.finish(p, r, msg.AttemptCrashed)
		case r.stop != msg.AttemptDone:
			e.finish(p, r, r.stop)
		case r.from+r.frames == r.req.length:
			e.finish(p, r, msg.AttemptDone)
		default:
			r.frames++
			e.step(p, r)
		}
	})
}

func (e *engine) finish(p *proc, r *sideRun, result msg.AttemptResult) {
	delete(e.runs, r.spec.Attempt)
	r.ended = true
	usage := msg.TokenUsage{Prompt: int64(r.spec.PromptTokens), Generated: int64(r.frames)}
	r.end = msg.AttemptEnded{Attempt: r.spec.Attempt, Result: result, Usage: usage}
	if result == msg.AttemptDone && !r.spec.Idempotent {
		r.end.Response = r.req.answer()
	}
	if result == msg.AttemptCrashed {
		p.step(msg.TargetCrashed{})
	}
	p.step(msg.SideAttemptEnded{Attempt: r.spec.Attempt, Result: result, Usage: usage})
}

// crash takes the target down; what ran on it is lost.
func (e *engine) crash() {
	e.down = true
	clear(e.runs)
	e.s.after(e.s.between(2*time.Second, 10*time.Second), func() { e.down = false })
}

// sideGone ends what ran for a killed side process.
func (e *engine) sideGone() { clear(e.runs) }

// driveRequests carries out the effects that concern requests and orders.
func (p *proc) driveRequests(eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartAttempt:
		p.startAttempt(eff)
	case msg.CancelAttempt:
		p.cancelAttempt(eff)
	case msg.RefuseRequest:
		p.s.callerTold(p, eff.Req, eff.Outcome, eff.Code)
	case msg.AbortRequest:
		p.s.callerTold(p, eff.Req, eff.Outcome, eff.Code)
	case msg.ReplayResponse:
		p.s.replayed(eff)
	case msg.FinishRequest:
		p.s.finished(eff.Req)
	case msg.RunAttempt:
		if r := p.runs[eff.Spec.Attempt]; r != nil {
			r.taken = true
			p.s.engines[p.self.Host].run(p, r)
		}
	case msg.RefuseAttempt:
		if r := p.runs[eff.Attempt]; r != nil && !r.taken {
			r.ended = true
			r.end = msg.AttemptEnded{Attempt: eff.Attempt, Result: refusedResult(eff), Reason: eff.Reason, RetryAfter: eff.RetryAfter}
		}
	case msg.StopAttempt:
		p.stopAttempt(eff)
	default:
		p.driveOrders(eff)
	}
}

func (p *proc) stopAttempt(eff msg.StopAttempt) {
	r := p.runs[eff.Attempt]
	if r == nil {
		return
	}
	r.stop = msg.AttemptCancelled
	if eff.Move {
		r.stop = msg.AttemptMoved
	}
}

// reader is an entry's end of an attempt.
type reader struct {
	p    *proc
	eff  msg.StartAttempt
	req  *callerRequest
	inc  msg.Incarnation // of the side that took the attempt
	have int             // frames read
	told bool
	lost time.Duration // since when the side can't be reached, or 0
	over bool          // the reducer was told the end; frames may still come
}

// startAttempt offers an attempt to the side of the target.
func (p *proc) startAttempt(eff msg.StartAttempt) {
	s := p.s
	req := s.requests[eff.Req]
	s.oracle.started(p, eff)
	side := s.procs[eff.Host]
	if side == nil || side.dead || !p.linked(side) {
		p.later(s.hop(), func() {
			p.step(msg.AttemptEnded{Attempt: eff.Attempt, Result: msg.AttemptNotRun, Reason: "no connection"})
		})
		return
	}
	rd := &reader{p: p, eff: eff, req: req, inc: side.inc}
	req.reading = rd
	run := &sideRun{spec: eff.Spec, req: req, from: req.have, read: s.now}
	s.after(s.hop(), func() { side.offer(p.self.Host, run) })
	p.later(s.between(10*time.Millisecond, 30*time.Millisecond), rd.poll)
}

func (p *proc) offer(from msg.HostID, run *sideRun) {
	p.local(func() {
		if p.runs[run.spec.Attempt] != nil {
			return
		}
		p.runs[run.spec.Attempt] = run
		p.step(msg.AttemptOffered{From: from, Spec: run.spec})
	})
}

// linked reports whether two live processes have a working connection.
func (p *proc) linked(o *proc) bool {
	return !o.dead && !o.paused && p.s.reaches(p.self.Host, o.self.Host) && p.s.reaches(o.self.Host, p.self.Host)
}

// poll reads the frames that have come, and finds silence.
func (rd *reader) poll() {
	s, id := rd.p.s, rd.eff.Attempt
	side := s.procs[rd.eff.Host]
	if rd.over && (side.dead || s.now-rd.lost > 2*resumeFor) {
		return
	}
	if !rd.p.linked(side) || side.inc != rd.inc {
		rd.silent(side)
		return
	}
	if !rd.over {
		rd.lost = 0
	}
	run := side.runs[id]
	if run == nil {
		// The offer was lost with its connection: the id is void from now on.
		side.runs[id] = &sideRun{spec: rd.eff.Spec, req: rd.req, ended: true, end: msg.AttemptEnded{Attempt: id, Result: msg.AttemptNotRun}}
		run = side.runs[id]
	}
	run.read = s.now
	rd.take(run)
	if run.ended && rd.have == run.frames {
		end := run.end
		run.handed = true
		if !rd.over {
			rd.p.step(end)
		}
		return
	}
	rd.p.later(s.between(10*time.Millisecond, 60*time.Millisecond), rd.poll)
}

func (rd *reader) take(run *sideRun) {
	if run.taken && !rd.told && !rd.over {
		rd.told = true
		rd.p.step(msg.AttemptAccepted{Attempt: rd.eff.Attempt})
	}
	if rd.have == run.frames {
		return
	}
	for ; rd.have < run.frames; rd.have++ {
		rd.req.receive(rd, run.from+rd.have)
	}
	if !rd.over {
		rd.p.step(msg.AttemptProgress{Attempt: rd.eff.Attempt, Tokens: rd.req.have})
	}
}

// silent gives the attempt up once the side was away for too long or was
// replaced.
func (rd *reader) silent(side *proc) {
	s := rd.p.s
	if rd.lost == 0 {
		rd.lost = s.now
	}
	replaced := !side.dead && side.inc != rd.inc
	if !rd.over && (replaced || s.now-rd.lost > resumeFor) {
		rd.over = true
		usage := msg.TokenUsage{Prompt: int64(rd.eff.Spec.PromptTokens), Generated: int64(rd.have)}
		rd.p.step(msg.AttemptEnded{Attempt: rd.eff.Attempt, Result: msg.AttemptLost, Usage: usage})
	}
	rd.p.later(200*time.Millisecond, rd.poll)
}

func (p *proc) cancelAttempt(eff msg.CancelAttempt) {
	for _, h := range p.s.hosts {
		side := p.s.procs[h.Host]
		if side == nil || side.runs[eff.Attempt] == nil || !p.linked(side) {
			continue
		}
		p.s.after(p.s.hop(), func() {
			side.local(func() { side.stopAttempt(msg.StopAttempt{Attempt: eff.Attempt}) })
		})
	}
}

// sweep stops attempts whose entry has been away for too long.
func (s *sim) sweep() {
	for _, h := range s.hosts {
		p := s.procs[h.Host]
		if p == nil || p.dead || p.paused {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(p.runs)) {
			r := p.runs[id]
			if !r.ended && r.taken && r.spec.Idempotent && s.now-r.read > attemptGrace {
				p.stopAttempt(msg.StopAttempt{Attempt: id})
			}
		}
	}
	s.after(time.Second, s.sweep)
}

func answerText(body string) string { return fmt.Sprintf("answer to %s", body) }
