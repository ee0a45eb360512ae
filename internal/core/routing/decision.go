package routing

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Reason says why a decision came out as it did.
type Reason string

// Reasons of decisions.
const (
	ReasonNoTargets Reason = "no targets are known"
	ReasonNoRoom    Reason = "no target has room"
	ReasonHit       Reason = "cheapest, holds a prefix"
	ReasonCheapest  Reason = "cheapest"
	ReasonPolicy    Reason = "baseline policy"
)

// maxConsidered bounds the candidates that a decision tells of.
const maxConsidered = 8

// Decision is the target chosen for an attempt, and why.
type Decision struct {
	Target msg.TargetID
	Host   msg.HostID
	// Cost is the cost of the choice in seconds.
	Cost float64
	// Prefill and Expected are the tokens to be prefilled and those expected
	// in the cache.
	Prefill, Expected int
	Reason            Reason
	Policy            Policy
	// Pool is the number of the pool's targets and Candidates how many of
	// them were scored.
	Pool, Candidates int
	// Considered holds the first of the candidates.
	Considered [maxConsidered]Considered
}

// Considered is a candidate of a decision.
type Considered struct {
	Target msg.TargetID `json:"target"`
	Cost   float64      `json:"cost"`
	Pieces int          `json:"pieces"`
	Batch  int          `json:"batch"`
	Room   bool         `json:"room"`
}

// note keeps the candidates for explanations.
func (d *Decision) note(sample []candidate) {
	d.Candidates = len(sample)
	for i := range min(len(sample), maxConsidered) {
		c := &sample[i]
		d.Considered[i] = Considered{Target: c.target.id, Cost: c.cost, Pieces: c.pieces, Batch: c.target.batch(), Room: c.room}
	}
}

// choose takes the candidate over.
func (d *Decision) choose(c *candidate) {
	d.Target = c.target.id
	d.Host = c.target.host
	d.Cost = c.cost
	d.Prefill = c.prefill
	d.Expected = int(float64(c.pieces*PieceTokens) * c.trust)
	switch {
	case d.Policy != PolicyCost:
		d.Reason = ReasonPolicy
	case c.pieces > 0:
		d.Reason = ReasonHit
	default:
		d.Reason = ReasonCheapest
	}
}
