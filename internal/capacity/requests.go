package capacity

import (
	"fmt"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/apikey"
)

const (
	promptTokens = 1200
	outputTokens = 370
	// progressSteps is the number of progress events per response.
	progressSteps = 4
	// answerTime is the time that an engine takes for a response.
	answerTime = 4 * time.Second
)

// requests sends requests to the entries in turn and simulates the engines.
type requests struct {
	sim      *Simulation
	rate     float64
	accounts int
	sent     int
	attempts map[msg.AttemptID]*attempt
	// finished and refused count the requests that ended, by their outcome.
	finished, refused int
}

// attempt is an attempt that was sent to a side and has not ended.
type attempt struct {
	entry, side *node
	spec        msg.AttemptSpec
}

// start starts to send requests, unless the rate is 0.
func (r *requests) start() {
	if r.rate > 0 {
		r.scheduleNext()
	}
}

// scheduleNext schedules the next request. Requests arrive as a Poisson process.
func (r *requests) scheduleNext() {
	wait := time.Duration(r.sim.rng.ExpFloat64() / r.rate * float64(time.Second))
	r.sim.at(wait, func() {
		r.send()
		r.scheduleNext()
	})
}

// send sends a request of a random account to the next entry.
func (r *requests) send() {
	entries := r.sim.entries()
	n := entries[r.sent%len(entries)]
	account := r.sim.rng.IntN(r.accounts)
	id := keyID(account, 0)
	r.sent++
	r.sim.deliver(n, msg.RequestArrived{
		Req: msg.RequestID(fmt.Sprintf("r%08d", r.sent)), Model: "chat", KeyID: id, KeyDigest: apikey.Digest(id, secret),
		PromptTokens: promptTokens, MaxTokens: outputTokens,
	})
}

// execute performs an effect that concerns requests. It reports whether the effect
// is of this kind.
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
		r.sim.Unhandled["refusal "+eff.Code]++
	case msg.AbortRequest:
		r.refused++
		r.sim.Unhandled["abort "+eff.Code]++
	default:
		return false
	}
	return true
}

// offer sends an attempt to the target's side.
func (r *requests) offer(n *node, eff msg.StartAttempt) {
	side := r.sim.nodes[eff.Host]
	r.attempts[eff.Attempt] = &attempt{entry: n, side: side, spec: eff.Spec}
	r.sim.at(peerLatency, func() { r.sim.deliver(side, msg.AttemptOffered{From: n.host.Host, Spec: eff.Spec}) })
}

// run simulates the generation of the response.
func (r *requests) run(id msg.AttemptID) {
	q := r.attempts[id]
	if q == nil {
		return
	}
	sim := r.sim
	sim.at(peerLatency, func() { sim.deliver(q.entry, msg.AttemptAccepted{Attempt: id}) })
	for i := 1; i <= progressSteps; i++ {
		sim.at(answerTime*time.Duration(i)/progressSteps, func() {
			sim.deliver(q.entry, msg.AttemptProgress{Attempt: id, Tokens: outputTokens * i / progressSteps})
		})
	}
	sim.at(answerTime+time.Millisecond, func() {
		r.finished++
		r.end(id, msg.AttemptDone)
	})
}

// end reports the end of an attempt to its side and its entry.
func (r *requests) end(id msg.AttemptID, result msg.AttemptResult) {
	q := r.attempts[id]
	if q == nil {
		return
	}
	delete(r.attempts, id)
	var usage msg.TokenUsage
	if result == msg.AttemptDone {
		usage = msg.TokenUsage{Prompt: promptTokens, Generated: outputTokens}
	}
	r.sim.deliver(q.side, msg.SideAttemptEnded{Attempt: id, Result: result, Usage: usage})
	r.sim.at(peerLatency, func() { r.sim.deliver(q.entry, msg.AttemptEnded{Attempt: id, Result: result, Usage: usage}) })
}

// entries returns the entries, which come first in the list of nodes.
func (sim *Simulation) entries() []*node {
	n := 0
	for n < len(sim.nodeList) && sim.nodeList[n].host.Kind == msg.HostEntry {
		n++
	}
	return sim.nodeList[:n]
}

// sides returns the sides, which follow the entries in the list of nodes.
func (sim *Simulation) sides() []*node { return sim.nodeList[len(sim.entries()):] }
