package capacity

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/apikey"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	promptTokens = 1200
	outputTokens = 370
	// progressSteps is the number of progress events of one answer.
	progressSteps = 4
	answerTime    = 4 * time.Second
)

// requests sends requests to the entries in turn and plays the engines.
type requests struct {
	w        *World
	rate     float64
	accounts int
	sent     int
	open     map[msg.AttemptID]*request
	// finished and refused count requests by their end.
	finished, refused int
}

type request struct {
	entry, side *node
	spec        msg.AttemptSpec
}

// begin starts the flow of requests.
func (r *requests) begin() {
	if r.rate > 0 {
		r.next()
	}
}

func (r *requests) next() {
	wait := time.Duration(r.w.rng.ExpFloat64() / r.rate * float64(time.Second))
	r.w.at(wait, func() {
		r.send()
		r.next()
	})
}

func (r *requests) send() {
	entries := r.w.entries()
	n := entries[r.sent%len(entries)]
	account := r.w.rng.IntN(r.accounts)
	id := keyID(account, 0)
	r.sent++
	r.w.deliver(n, msg.RequestArrived{
		Req: msg.RequestID(fmt.Sprintf("r%08d", r.sent)), Model: "chat", KeyID: id, KeyDigest: apikey.Digest(id, secret),
		PromptTokens: promptTokens, MaxTokens: outputTokens,
	})
}

// execute carries out the effects of requests.
func (r *requests) execute(n *node, eff msg.Effect) bool {
	switch eff := eff.(type) {
	case msg.StartAttempt:
		r.offer(n, eff)
	case msg.RunAttempt:
		r.run(eff.Spec.Attempt)
	case msg.RefuseAttempt:
		r.end(eff.Attempt, msg.AttemptNotRun)
	case msg.RefuseRequest:
		r.refused++
		r.w.Unhandled["refusal "+eff.Code]++
	case msg.AbortRequest:
		r.refused++
		r.w.Unhandled["abort "+eff.Code]++
	default:
		return false
	}
	return true
}

func (r *requests) offer(n *node, eff msg.StartAttempt) {
	side := r.w.nodes[eff.Host]
	r.open[eff.Attempt] = &request{entry: n, side: side, spec: eff.Spec}
	r.w.at(peerLatency, func() { r.w.deliver(side, msg.AttemptOffered{From: n.host.Host, Spec: eff.Spec}) })
}

func (r *requests) run(id msg.AttemptID) {
	q := r.open[id]
	if q == nil {
		return
	}
	w := r.w
	w.at(peerLatency, func() { w.deliver(q.entry, msg.AttemptAccepted{Attempt: id}) })
	for i := 1; i <= progressSteps; i++ {
		w.at(answerTime*time.Duration(i)/progressSteps, func() {
			w.deliver(q.entry, msg.AttemptProgress{Attempt: id, Tokens: outputTokens * i / progressSteps})
		})
	}
	w.at(answerTime+time.Millisecond, func() {
		r.finished++
		r.end(id, msg.AttemptDone)
	})
}

func (r *requests) end(id msg.AttemptID, result msg.AttemptResult) {
	q := r.open[id]
	if q == nil {
		return
	}
	delete(r.open, id)
	var usage msg.TokenUsage
	if result == msg.AttemptDone {
		usage = msg.TokenUsage{Prompt: promptTokens, Generated: outputTokens}
	}
	r.w.deliver(q.side, msg.SideAttemptEnded{Attempt: id, Result: result, Usage: usage})
	r.w.at(peerLatency, func() { r.w.deliver(q.entry, msg.AttemptEnded{Attempt: id, Result: result, Usage: usage}) })
}

func (w *World) entries() []*node {
	n := 0
	for n < len(w.order) && w.order[n].host.Kind == msg.HostEntry {
		n++
	}
	return w.order[:n]
}

func (w *World) sides() []*node { return w.order[len(w.entries()):] }
