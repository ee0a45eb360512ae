package proof

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/apikey"
)

// callerRequest is a caller's request and its progress.
type callerRequest struct {
	id msg.RequestID
	// account is the account of the API key. It is empty on public routes.
	account msg.AccountID
	// key is the ID of the API key. It is empty on public routes.
	key string
	// op is the idempotency key of a non-idempotent operation, or empty.
	op   string
	body string
	// answerTokens is the number of tokens in the complete response.
	answerTokens int
	entry        *proc
	arrived      time.Duration

	// reader is the reader of the latest attempt. Frames of others are dropped.
	reader *attemptReader
	// received is the number of tokens that the caller received.
	received int
	// outOfOrder reports that a token arrived at the wrong position.
	outOfOrder bool
	// ended reports that the caller received the end of the response or an error.
	ended bool
	// complete reports that the caller received the end of the response.
	complete bool
	outcome  msg.Outcome
	code     string
	// executions is the number of times that a target started the request.
	executions int
}

// shutdownLimit is the time that a stopping daemon waits for its HTTP handlers.
const shutdownLimit = 5 * time.Second

// operation is a non-idempotent operation as the plain service executes it.
type operation struct {
	executions int
	body       string
}

// send sends a request to an entry. A request with an idempotency key op goes to
// the plain service, one without API key to the public route of the engines, and
// any other to their keyed route.
func (s *sim) send(p *proc, account, key, op, body string) *callerRequest {
	s.requestCount++
	r := &callerRequest{
		id: msg.RequestID(fmt.Sprintf("q%d", s.requestCount)), account: msg.AccountID(account), key: key, op: op, body: body,
		answerTokens: 3 + s.rand.IntN(20), entry: p, arrived: s.now,
	}
	s.requests[r.id] = r
	if p.closing {
		// The entry has closed its listener, so the connection is refused.
		r.ended, r.outcome = true, msg.OutcomeNotRun
		return r
	}
	arrived := msg.RequestArrived{
		Req: r.id, KeyID: key, KeyDigest: apikey.Digest(key, secretOf(key)), BodyHash: sha256.Sum256([]byte(body)),
		PromptTokens: 100, MaxTokens: 64, IdempotencyKey: op,
	}
	switch {
	case op != "":
		r.answerTokens = 0
		arrived.Service, arrived.Method, arrived.Path = "orders", "POST", "/orders"
	case key == "":
		arrived.Model, arrived.KeyDigest = "open", msg.KeyDigest{}
	default:
		arrived.Model = "chat"
	}
	p.post(arrived)
	return r
}

// secretOf returns the secret of an API key.
func secretOf(key string) string { return "secret of " + key }

// receive delivers a token of the response to the caller. Like the entry's
// driver, it drops tokens of all attempts but the latest one.
func (r *callerRequest) receive(rd *attemptReader, index int) {
	if r.ended || r.reader != rd && !rd.p.s.mutations.acceptAnyFrame {
		return
	}
	if index != r.received {
		r.outOfOrder = true
	}
	r.received++
	rd.p.s.oracle.tokenDelivered(r)
}

// executionStarted records that a target has started to run the request.
func (r *callerRequest) executionStarted(run *sideAttempt) {
	r.executions++
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
	o.executions++
	s.oracle.operationExecuted(k, o)
}

// answer returns the plain service's response.
func (r *callerRequest) answer() *msg.StoredResponse {
	return &msg.StoredResponse{Status: 201, Body: []byte(answerText(r.body))}
}

// requestFailed records that the caller received an error.
func (s *sim) requestFailed(p *proc, id msg.RequestID, o msg.Outcome, code string) {
	r := s.requests[id]
	if r.ended {
		s.oracle.fail("request %s received two final responses", id)
		return
	}
	r.ended, r.outcome, r.code = true, o, code
	s.oracle.requestFailed(p, r)
}

// requestFinished records that the caller received the end of the response.
func (s *sim) requestFinished(id msg.RequestID) {
	r := s.requests[id]
	if r.ended {
		s.oracle.fail("request %s received two final responses", id)
		return
	}
	r.ended, r.complete, r.outcome = true, true, msg.OutcomeRun
	s.oracle.requestFinished(r)
}

// requestReplayed records that the caller received a stored response.
func (s *sim) requestReplayed(eff msg.ReplayResponse) {
	r := s.requests[eff.Req]
	r.ended, r.complete, r.outcome = true, true, msg.OutcomeRun
	s.oracle.requestReplayed(r, eff.Response)
}

// endRequestsOf ends the open requests of an entry that was killed or stopped.
func (s *sim) endRequestsOf(p *proc, reason string) {
	for _, r := range s.requests {
		if r.entry == p && !r.ended {
			if s.plannedOnly {
				s.oracle.fail("request %s was interrupted: %s", r.id, reason)
			}
			r.ended, r.outcome, r.code = true, msg.OutcomeUnknown, reason
		}
	}
}

// stopWhenDrained ends a process whose reducer has completed its stop. It waits
// until the driver has responded to all callers, for shutdownLimit at most, and
// until all ends of attempts were read, except by readers that have read nothing
// for attemptGrace.
func (s *sim) stopWhenDrained(p *proc) {
	if !p.closing {
		p.closing, p.closedAt = true, s.now
	}
	for _, r := range s.requests {
		if r.entry == p && !r.ended && s.now-p.closedAt < shutdownLimit {
			p.runLocalAfter(tick, func() { s.stopWhenDrained(p) })
			return
		}
	}
	for _, r := range p.attempts {
		if r.accepted && !r.endRead && s.now-r.lastRead < attemptGrace {
			p.runLocalAfter(tick, func() { s.stopWhenDrained(p) })
			return
		}
	}
	s.oracle.processStopped(p)
	s.kill(p)
}
