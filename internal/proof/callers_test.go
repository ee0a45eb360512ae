package proof

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/apikey"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// callerRequest is one request of a caller, and what became of it.
type callerRequest struct {
	id      msg.RequestID
	account msg.AccountID // whose key came with it; empty on open routes
	key     string        // API key id
	op      string        // idempotency key of a non-idempotent operation
	body    string
	length  int // tokens of the whole answer
	entry   *proc
	arrived time.Duration

	reading *reader // the attempt whose frames are taken
	have    int     // tokens that the caller has
	crossed bool    // a token stood at the wrong place
	over    bool
	whole   bool
	outcome msg.Outcome
	code    string
	ranOn   int // starts on a target
}

// shutdownLimit is the daemon's wait for its callers' handlers.
const shutdownLimit = 5 * time.Second

// operation is a non-idempotent operation as its target sees it.
type operation struct {
	runs int
	body string
}

// send hands a request to an entry.
func (s *sim) send(p *proc, account, key, op, body string) *callerRequest {
	s.nextReq++
	r := &callerRequest{
		id: msg.RequestID(fmt.Sprintf("q%d", s.nextReq)), account: msg.AccountID(account), key: key, op: op, body: body,
		length: 3 + s.rand.IntN(20), entry: p, arrived: s.now,
	}
	s.requests[r.id] = r
	if p.closing {
		// The listener is closed.
		r.over, r.outcome = true, msg.OutcomeNotRun
		return r
	}
	arrived := msg.RequestArrived{
		Req: r.id, KeyID: key, KeyDigest: apikey.Digest(key, secretOf(key)), BodyHash: sha256.Sum256([]byte(body)),
		PromptTokens: 100, MaxTokens: 64, IdempotencyKey: op,
	}
	switch {
	case op != "":
		r.length = 0
		arrived.Service, arrived.Method, arrived.Path = "orders", "POST", "/orders"
	case key == "":
		arrived.Model, arrived.KeyDigest = "open", msg.KeyDigest{}
	default:
		arrived.Model = "chat"
	}
	p.post(arrived)
	return r
}

func secretOf(key string) string { return "secret of " + key }

// receive takes one token of the answer from an attempt. As in the entry's
// driver, tokens of another attempt than the last one are dropped.
func (r *callerRequest) receive(rd *reader, index int) {
	if r.over || r.reading != rd && !rd.p.s.muts.takeAnyFrame {
		return
	}
	if index != r.have {
		r.crossed = true
	}
	r.have++
	rd.p.s.oracle.delivered(r)
}

// executed notes that a target has begun to run the request.
func (r *callerRequest) executed(run *sideRun) {
	r.ranOn++
	if r.op == "" || run.spec.PrefillOnly {
		return
	}
	s := r.entry.s
	k := string(r.account) + "/" + r.op
	o := s.operations[k]
	if o == nil {
		o = &operation{body: r.body}
		s.operations[k] = o
	}
	o.runs++
	s.oracle.operated(k, o)
}

func (r *callerRequest) answer() *msg.StoredResponse {
	return &msg.StoredResponse{Status: 201, Body: []byte(answerText(r.body))}
}

func (s *sim) callerTold(p *proc, id msg.RequestID, o msg.Outcome, code string) {
	r := s.requests[id]
	if r.over {
		s.oracle.fail("request %s was answered twice", id)
		return
	}
	r.over, r.outcome, r.code = true, o, code
	s.oracle.told(p, r)
}

func (s *sim) finished(id msg.RequestID) {
	r := s.requests[id]
	if r.over {
		s.oracle.fail("request %s was answered twice", id)
		return
	}
	r.over, r.whole, r.outcome = true, true, msg.OutcomeRun
	s.oracle.finished(r)
}

func (s *sim) replayed(eff msg.ReplayResponse) {
	r := s.requests[eff.Req]
	r.over, r.whole, r.outcome = true, true, msg.OutcomeRun
	s.oracle.replayed(r, eff.Response)
}

// callersOf ends the requests of an entry that went away.
func (s *sim) callersOf(p *proc, reason string) {
	for _, r := range s.requests {
		if r.entry == p && !r.over {
			if s.planned {
				s.oracle.fail("request %s was cut: %s", r.id, reason)
			}
			r.over, r.outcome, r.code = true, msg.OutcomeUnknown, reason
		}
	}
}

// stopReady ends a process that is ready to stop, once its driver has answered
// its callers and handed over the ends of its attempts, or their readers are
// gone.
func (s *sim) stopReady(p *proc) {
	if !p.closing {
		p.closing, p.closedAt = true, s.now
	}
	for _, r := range s.requests {
		if r.entry == p && !r.over && s.now-p.closedAt < shutdownLimit {
			p.later(tick, func() { s.stopReady(p) })
			return
		}
	}
	for _, r := range p.runs {
		if r.taken && !r.handed && s.now-r.read < attemptGrace {
			p.later(tick, func() { s.stopReady(p) })
			return
		}
	}
	s.oracle.stoppedReady(p)
	s.kill(p)
}
