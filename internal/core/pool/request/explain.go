package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/routing"
)

const (
	// maxExplained is the number of requests whose decisions are kept.
	maxExplained = 2048
	// maxDecisions is the maximum number of decisions kept for one request.
	maxDecisions = 8
)

// Explanation lists the decisions taken for a request.
type Explanation struct {
	Request   msg.RequestID `json:"request"`
	Decisions []Decision    `json:"decisions"`
	// Refused is the code with which the request was refused, or empty.
	Refused Code `json:"refused,omitempty"`
}

// Decision is the selection of a target for one attempt, as it is kept for
// operators. The fields from Target to Considered are those of
// [routing.Decision].
type Decision struct {
	// At is the time of the decision since the start of the daemon.
	At         time.Duration              `json:"at"`
	Attempt    msg.AttemptID              `json:"attempt"`
	Target     msg.TargetID               `json:"target"`
	Cost       float64                    `json:"cost"`
	Prefill    int                        `json:"prefillTokens"`
	Expected   int                        `json:"expectedCachedTokens"`
	Reason     routing.Reason             `json:"reason"`
	Pool       int                        `json:"poolTargets"`
	Considered []routing.CandidateSummary `json:"considered"`
}

// newDecision copies a decision of the router for an attempt.
func newDecision(now msg.Time, id msg.AttemptID, d *routing.Decision) Decision {
	n := min(d.Candidates, len(d.Considered))
	return Decision{
		At: now, Attempt: id, Target: d.Target, Cost: d.Cost, Prefill: d.Prefill, Expected: d.Expected,
		Reason: d.Reason, Pool: d.Pool, Considered: append([]routing.CandidateSummary(nil), d.Considered[:n]...),
	}
}

// decisionLog keeps the most recent explanations in a ring buffer.
type decisionLog struct {
	ring []*Explanation
	// next is the index of the oldest explanation, or of the first unused place.
	next int
	byID map[msg.RequestID]*Explanation
}

func newDecisionLog() *decisionLog {
	return &decisionLog{ring: make([]*Explanation, maxExplained), byID: make(map[msg.RequestID]*Explanation)}
}

// explanation returns the explanation of a request. If there is none, it
// creates one in place of the oldest.
func (l *decisionLog) explanation(id msg.RequestID) *Explanation {
	if e := l.byID[id]; e != nil {
		return e
	}
	if old := l.ring[l.next]; old != nil {
		delete(l.byID, old.Request)
	}
	e := &Explanation{Request: id}
	l.ring[l.next] = e
	l.next = (l.next + 1) % len(l.ring)
	l.byID[id] = e
	return e
}

func (l *decisionLog) add(id msg.RequestID, d Decision) {
	e := l.explanation(id)
	if len(e.Decisions) < maxDecisions {
		e.Decisions = append(e.Decisions, d)
	}
}

func (l *decisionLog) recordRefusal(id msg.RequestID, c Code) { l.explanation(id).Refused = c }

// Explain returns the decisions taken for a request. It reports false if none
// are kept.
func (m *Manager) Explain(id msg.RequestID) (Explanation, bool) {
	e := m.decisions.byID[id]
	if e == nil {
		return Explanation{}, false
	}
	out := *e
	out.Decisions = append([]Decision(nil), e.Decisions...)
	return out, true
}
