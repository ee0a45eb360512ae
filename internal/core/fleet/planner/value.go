package planner

import "github.com/verbenaspur/verbenaspur/internal/core/fleet/demand"

// Efficiency says how much of an engine's time each role turns into work that
// meets the latency limits.
type Efficiency struct {
	// Prefill and Decode are the usable shares of the dedicated roles.
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`
	// MixedPrefill and MixedDecode are the usable shares of a mixed engine
	// for either kind of work.
	MixedPrefill float64 `json:"mixedPrefill"`
	MixedDecode  float64 `json:"mixedDecode"`
}

// DefaultEfficiency fits engines that decode at most one prompt chunk per step
// in the mixed role.
func DefaultEfficiency() Efficiency {
	return Efficiency{Prefill: 0.75, Decode: 0.95, MixedPrefill: 0.5, MixedDecode: 0.65}
}

// counts is the number of engines in each role.
type counts struct{ prefill, decode, mixed int }

func (c counts) total() int { return c.prefill + c.decode + c.mixed }

// served returns the largest share of the load, at most one, that the engines
// can serve. Each request needs both kinds of work.
func (e Efficiency) served(c counts, l demand.Load) float64 {
	if l.Total() <= 0 {
		return 1
	}
	prefill := float64(c.prefill) * e.Prefill
	decode := float64(c.decode) * e.Decode
	mixed := float64(c.mixed)
	if e.fits(prefill, decode, mixed, l, 1) {
		return 1
	}
	low, high := 0.0, 1.0
	for range servedSteps {
		mid := (low + high) / 2
		if e.fits(prefill, decode, mixed, l, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// servedSteps is the number of halvings in the search for the served share.
const servedSteps = 12

// fits reports whether a share of the load fits when mixed engines take what
// the others can't.
func (e Efficiency) fits(prefill, decode, mixed float64, l demand.Load, share float64) bool {
	restPrefill := max(0, share*l.Prefill-prefill)
	restDecode := max(0, share*l.Decode-decode)
	need := 0.0
	if restPrefill > 0 {
		need += restPrefill / e.MixedPrefill
	}
	if restDecode > 0 {
		need += restDecode / e.MixedDecode
	}
	return need <= mixed
}

// scenario is a possible load and its weight.
type scenario struct {
	load   demand.Load
	weight float64
}

// scenarioShift is the distance of the outer scenarios from the mean in
// standard deviations; with equal weights the variance is kept.
const scenarioShift = 1.2247

// scenarios returns loads that stand for the forecast's distribution.
func scenarios(f demand.Forecast) []scenario {
	var out []scenario
	shifts := []float64{-scenarioShift, 0, scenarioShift}
	for _, total := range shifts {
		for _, mix := range shifts {
			out = append(out, scenario{f.Shifted(total, mix), 1.0 / float64(len(shifts)*len(shifts))})
		}
	}
	return out
}

// value returns the expected work served, in engine-seconds per second.
func (e Efficiency) value(c counts, ss []scenario) float64 {
	v := 0.0
	for _, s := range ss {
		v += s.weight * e.served(c, s.load) * s.load.Total()
	}
	return v
}
