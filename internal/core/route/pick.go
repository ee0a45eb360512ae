package route

// Policy is the rule by which a router chooses.
type Policy uint8

// Policies. All but the first are baselines for measurements.
const (
	PolicyCost Policy = iota
	PolicyLeastLoaded
	PolicyRoundRobin
)

// String returns the policy's name in logs and tables.
func (p Policy) String() string {
	return [...]string{"least cost", "least loaded", "round robin"}[p]
}

// pick returns the cheaper of two candidates drawn at random, so that entries
// that read the same reports do not all choose the same target.
func (r *Router) pick(candidates []candidate) candidate {
	a := candidates[r.rng.IntN(len(candidates))]
	b := candidates[r.rng.IntN(len(candidates))]
	if b.cost < a.cost {
		return b
	}
	return a
}
