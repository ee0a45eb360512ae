package measure

import (
	"fmt"
	"math"
	"os"
	"sync"
	"testing"
)

func steady(share float64) func(float64) float64 {
	return func(float64) float64 { return share }
}

// square alternates between two shares with the given period.
func square(low, high, period float64) func(float64) float64 {
	return func(t float64) float64 {
		if math.Mod(t, period) < period/2 {
			return low
		}
		return high
	}
}

const (
	fullLength = 900.0
	lowShare   = 0.25
	highShare  = 0.75
)

func mixes() []mix {
	return []mix{
		{name: "steady", share: steady(0.5)},
		{name: "step", share: func(t float64) float64 {
			if t < warmUp+fullLength/2 {
				return lowShare
			}
			return highShare
		}},
		{name: "ramp", share: func(t float64) float64 {
			f := (t - warmUp - 150) / 600
			return lowShare + (highShare-lowShare)*min(1, max(0, f))
		}},
		{name: "swing 20s", share: square(lowShare, highShare, 20)},
		{name: "swing 90s", share: square(lowShare, highShare, 90)},
		{name: "swing 300s", share: square(lowShare, highShare, 300)},
		{name: "swing 900s", share: square(lowShare, highShare, 900)},
		{name: "spike", share: func(t float64) float64 {
			if math.Mod(t-warmUp, 300) > 260 {
				return highShare
			}
			return 0.4
		}},
	}
}

// grid are the fixed splits that are tried in hindsight.
func grid(n, step int) []policy {
	var out []policy
	for prefill := 0; prefill <= n; prefill += step {
		for decode := 0; prefill+decode <= n; decode += step {
			if (prefill == 0 || decode == 0) && prefill+decode == n {
				continue
			}
			out = append(out, fixed{prefill, decode, n - prefill - decode})
		}
	}
	return out
}

// runAll runs each policy, a few at once, and returns the results in order.
func runAll(su setup, ps []policy) []result {
	out := make([]result, len(ps))
	var wg sync.WaitGroup
	limit := make(chan struct{}, 3)
	for i, p := range ps {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			out[i] = run(su, p)
			<-limit
		}()
	}
	wg.Wait()
	return out
}

func best(rs []result) result {
	b := rs[0]
	for _, r := range rs {
		if r.good > b.good {
			b = r
		}
	}
	return b
}

func TestMeasure(t *testing.T) {
	if os.Getenv("MEASURE_FLEET") == "" {
		t.Skip("set MEASURE_FLEET=1, or run make measure-fleet")
	}
	fmt.Printf("%-12s %-18s %8s %8s %8s %8s %6s %6s\n", "mix", "best fixed", "fixed", "mixed", "thresh", "planner", "ch-thr", "ch-pl")
	for _, m := range mixes() {
		su := setup{mix: m, engines: 20, domains: 3, load: 15, seed: 1, length: fullLength}
		f := best(runAll(su, grid(20, 2)))
		rs := runAll(su, []policy{fixed{0, 0, 20}, &threshold{}, newPlanned()})
		share := func(r result) float64 { return float64(r.good) / float64(r.offered) }
		fmt.Printf("%-12s %-18s %8.3f %8.3f %8.3f %8.3f %6d %6d\n", m.name, f.policy,
			share(f), share(rs[0]), share(rs[1]), share(rs[2]), rs[1].changes, rs[2].changes)
	}
}
