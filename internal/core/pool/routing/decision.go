package routing

import "github.com/verbenaspur/verbenaspur/internal/core/msg"

// Reason explains the result of a decision.
type Reason string

// Reasons of decisions.
const (
	ReasonNoTargets  Reason = "no targets are known"
	ReasonNoCapacity Reason = "no target has room"
	ReasonCacheHit   Reason = "cheapest, holds a prefix"
	ReasonCheapest   Reason = "cheapest"
	ReasonPolicy     Reason = "baseline policy"
)

// maxConsidered bounds the number of candidates that a decision lists.
const maxConsidered = 8

// Decision is the target selected for an attempt, and the reason.
type Decision struct {
	Target msg.TargetID
	Host   msg.HostID
	// Cost is the cost of the selected target: in seconds with PolicyCost, in
	// sequences with PolicyLeastLoaded and zero with PolicyRoundRobin.
	Cost float64
	// Prefill is the number of prompt tokens that the target has to prefill, and
	// Expected the number that are expected in its prefix cache.
	Prefill, Expected int
	Reason            Reason
	Policy            Policy
	// Pool is the number of targets in the pool, and Candidates the number of
	// targets that were compared.
	Pool, Candidates int
	// Considered lists the candidates, up to maxConsidered of them.
	Considered [maxConsidered]CandidateSummary
}

// CandidateSummary describes a candidate of a decision to operators.
type CandidateSummary struct {
	Target msg.TargetID `json:"target"`
	// Cost has the unit of [Decision.Cost].
	Cost float64 `json:"cost"`
	// Blocks is the number of the prompt's blocks that are expected in the
	// target's prefix cache, and Batch the estimated number of sequences on the
	// target.
	Blocks      int  `json:"pieces"`
	Batch       int  `json:"batch"`
	HasCapacity bool `json:"room"`
}

// recordCandidates copies the candidates into the decision, so that the decision
// can be explained later.
func (d *Decision) recordCandidates(sample []candidate) {
	d.Candidates = len(sample)
	for i := range min(len(sample), maxConsidered) {
		c := &sample[i]
		d.Considered[i] = CandidateSummary{Target: c.target.id, Cost: c.cost, Blocks: c.blocks, Batch: c.target.batch(), HasCapacity: c.hasCapacity}
	}
}

// setChoice fills in the selected candidate.
func (d *Decision) setChoice(c *candidate) {
	d.Target = c.target.id
	d.Host = c.target.host
	d.Cost = c.cost
	d.Prefill = c.prefill
	d.Expected = int(float64(c.blocks*BlockTokens) * c.trust)
	switch {
	case d.Policy != PolicyCost:
		d.Reason = ReasonPolicy
	case c.blocks > 0:
		d.Reason = ReasonCacheHit
	default:
		d.Reason = ReasonCheapest
	}
}
