package planner

import "github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"

// Efficiency holds the shares of engine time that each role can spend on work
// that meets the latency limits.
type Efficiency struct {
	// Prefill and Decode are the usable shares of engines with a dedicated role.
	Prefill float64 `json:"prefill"`
	Decode  float64 `json:"decode"`
	// MixedPrefill and MixedDecode are the usable shares of a mixed engine for
	// each kind of work.
	MixedPrefill float64 `json:"mixedPrefill"`
	MixedDecode  float64 `json:"mixedDecode"`
}

// DefaultEfficiency returns the shares of engines that process at most one prompt
// chunk per step in the mixed role.
func DefaultEfficiency() Efficiency {
	return Efficiency{Prefill: 0.93, Decode: 0.96, MixedPrefill: 0.2, MixedDecode: 0.5}
}

// counts holds the number of engines in each role.
type counts struct{ prefill, decode, mixed int }

func (c counts) total() int { return c.prefill + c.decode + c.mixed }

// served returns the part of a load that the engines can serve. Each request
// needs both kinds of work. Only dedicated engines prefill long prompts: the
// long prompts that exceed their capacity are refused and do not delay other
// requests.
func (e Efficiency) served(c counts, l demand.Load, long float64) float64 {
	prefill := float64(c.prefill) * e.Prefill
	if longWork := l.Prefill * long; longWork > prefill {
		l.Prefill -= longWork - prefill
	}
	r := availableTime{prefill: prefill, decode: float64(c.decode) * e.Decode, mixed: float64(c.mixed)}
	return e.servedShare(r, l) * l.Total()
}

// availableTime is the usable time of the dedicated engines per second, and
// the number of mixed engines.
type availableTime struct{ prefill, decode, mixed float64 }

// bisectionSteps is the number of bisection steps in the search for the served
// share.
const bisectionSteps = 12

// servedShare returns the largest share of a load, at most one, that the engines
// can serve.
func (e Efficiency) servedShare(r availableTime, l demand.Load) float64 {
	if e.fits(r, l, 1) {
		return 1
	}
	low, high := 0.0, 1.0
	for range bisectionSteps {
		mid := (low + high) / 2
		if e.fits(r, l, mid) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// fits reports whether the engines can serve a share of the load if mixed
// engines do the work that exceeds the capacity of the dedicated ones.
func (e Efficiency) fits(r availableTime, l demand.Load, share float64) bool {
	need := max(0, share*l.Prefill-r.prefill) / e.MixedPrefill
	need += max(0, share*l.Decode-r.decode) / e.MixedDecode
	return need <= r.mixed
}

// scenario is a possible load, the share of long prompts in it, and its
// probability.
type scenario struct {
	load      demand.Load
	longShare float64
	weight    float64
}

// scenarioDeviations is the distance of the outer scenarios from the mean, in
// standard deviations. With three equally weighted scenarios, this value
// preserves the variance.
const scenarioDeviations = 1.2247

// scenarios returns loads that approximate the forecast's distribution.
func scenarios(f demand.Forecast) []scenario {
	var out []scenario
	shifts := []float64{-scenarioDeviations, 0, scenarioDeviations}
	for _, total := range shifts {
		for _, mix := range shifts {
			out = append(out, scenario{f.Shifted(total, mix), f.LongShare, 1.0 / float64(len(shifts)*len(shifts))})
		}
	}
	return out
}

// value returns the expected work that the engines serve, in engine-seconds per
// second.
func (e Efficiency) value(c counts, ss []scenario) float64 {
	v := 0.0
	for _, s := range ss {
		v += s.weight * e.served(c, s.load, s.longShare)
	}
	return v
}
