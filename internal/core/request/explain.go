package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/routing"
)

const (
	// explained is the number of requests whose decisions are kept.
	explained = 2048
	// maxDecisions bounds the decisions kept of one request.
	maxDecisions = 8
)

// Explanation tells the decisions taken for a request.
type Explanation struct {
	Request   msg.RequestID `json:"request"`
	Decisions []Decision    `json:"decisions"`
	// Refused is the code of the request's refusal, or empty.
	Refused Code `json:"refused,omitempty"`
}

// Decision is the choice of a target for one attempt.
type Decision struct {
	// At is the time since the daemon started.
	At         time.Duration        `json:"at"`
	Attempt    msg.AttemptID        `json:"attempt"`
	Target     msg.TargetID         `json:"target"`
	Cost       float64              `json:"cost"`
	Prefill    int                  `json:"prefillTokens"`
	Expected   int                  `json:"expectedCachedTokens"`
	Reason     routing.Reason       `json:"reason"`
	Pool       int                  `json:"poolTargets"`
	Considered []routing.Considered `json:"considered"`
}

func decisionOf(now msg.Time, id msg.AttemptID, d *routing.Decision) Decision {
	n := min(d.Candidates, len(d.Considered))
	return Decision{
		At: now, Attempt: id, Target: d.Target, Cost: d.Cost, Prefill: d.Prefill, Expected: d.Expected,
		Reason: d.Reason, Pool: d.Pool, Considered: append([]routing.Considered(nil), d.Considered[:n]...),
	}
}

// decisionLog is a ring of the last explanations.
type decisionLog struct {
	ring []*Explanation
	next int
	byID map[msg.RequestID]*Explanation
}

func newDecisionLog() *decisionLog {
	return &decisionLog{ring: make([]*Explanation, explained), byID: make(map[msg.RequestID]*Explanation)}
}

// of returns the explanation of a request, which may take the place of the
// oldest one.
func (l *decisionLog) of(id msg.RequestID) *Explanation {
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
	e := l.of(id)
	if len(e.Decisions) < maxDecisions {
		e.Decisions = append(e.Decisions, d)
	}
}

func (l *decisionLog) refused(id msg.RequestID, c Code) { l.of(id).Refused = c }

// Explain returns the decisions taken for a request, if they are still kept.
func (m *Manager) Explain(id msg.RequestID) (Explanation, bool) {
	e := m.decisions.byID[id]
	if e == nil {
		return Explanation{}, false
	}
	out := *e
	out.Decisions = append([]Decision(nil), e.Decisions...)
	return out, true
}
