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
	return Efficiency{Prefill: 0.93, Decode: 0.96, MixedPrefill: 0.2, MixedDecode: 0.5}
}

// counts is the number of engines in each role.
type counts struct{ prefill, decode, mixed int }

func (c counts) total() int { return c.prefill + c.decode + c.mixed }

// served returns the work that the engines can serve of a load. Each request
// needs both kinds of work. Long prompts are for dedicated engines alone; what
// exceeds those is refused without holding up the rest.
func (e Efficiency) served(c counts, l demand.Load, long float64) float64 {
	prefill := float64(c.prefill) * e.Prefill
	if longWork := l.Prefill * long; longWork > prefill {
		l.Prefill -= longWork - prefill
	}
	r := room{prefill: prefill, decode: float64(c.decode) * e.Decode, mixed: float64(c.mixed)}
	return e.share(r, l) * l.Total()
}

// room is the usable time of the dedicated engines and the mixed engines.
type room struct{ prefill, decode, mixed float64 }

// shareSteps is the number of halvings in the search for the served share.
const shareSteps = 12

// share returns the largest share of a load, at most one, that fits.
func (e Efficiency) share(r room, l demand.Load) float64 {
	if e.fits(r, l, 1) {
		return 1
	}
	low, high := 0.0, 1.0
	for range shareSteps {
		mid := (low + high) / 2
		if e.fits(r, l, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// fits reports whether a share of the load fits when mixed engines take what
// the others can't.
func (e Efficiency) fits(r room, l demand.Load, share float64) bool {
	need := max(0, share*l.Prefill-r.prefill) / e.MixedPrefill
	need += max(0, share*l.Decode-r.decode) / e.MixedDecode
	return need <= r.mixed
}

// scenario is a possible load and its weight.
type scenario struct {
	load   demand.Load
	long   float64
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
			out = append(out, scenario{f.Shifted(total, mix), f.LongShare, 1.0 / float64(len(shifts)*len(shifts))})
		}
	}
	return out
}

// value returns the expected work served, in engine-seconds per second.
func (e Efficiency) value(c counts, ss []scenario) float64 {
	v := 0.0
	for _, s := range ss {
		v += s.weight * e.served(c, s.load, s.long)
	}
	return v
}
