package measure

import (
	"fmt"
	"math"
	"os"
	"sync"
	"testing"

	"github.com/matryer/is"
)

func constantShare(share float64) func(float64) float64 {
	return func(float64) float64 { return share }
}

// squareWave returns a share that alternates between two values with the given
// period.
func squareWave(low, high, period float64) func(float64) float64 {
	return func(t float64) float64 {
		if math.Mod(t, period) < period/2 {
			return low
		}
		return high
	}
}

const (
	fullLength = 900.0
	// seeds is the number of seeds over which the results of each policy are
	// averaged.
	seeds     = 3
	lowShare  = 0.25
	highShare = 0.75
)

func mixes() []trafficMix {
	return []trafficMix{
		{name: "steady", share: constantShare(0.5)},
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
		{name: "swing 20s", share: squareWave(lowShare, highShare, 20)},
		{name: "swing 90s", share: squareWave(lowShare, highShare, 90)},
		{name: "swing 300s", share: squareWave(lowShare, highShare, 300)},
		{name: "swing 900s", share: squareWave(lowShare, highShare, 900)},
		{name: "spike", share: func(t float64) float64 {
			if math.Mod(t-warmUp, 300) > 260 {
				return highShare
			}
			return 0.4
		}},
	}
}

// fixedSplits returns the fixed splits of n engines from which the best one is
// chosen in hindsight.
func fixedSplits(n, step int) []policy {
	var out []policy
	for prefill := 0; prefill <= n; prefill += step {
		for decode := 0; prefill+decode <= n; decode += step {
			if (prefill == 0 || decode == 0) && prefill+decode == n {
				continue
			}
			out = append(out, fixedSplit{prefill, decode, n - prefill - decode})
		}
	}
	return out
}

// runAll runs each policy, at most three at the same time, and returns the
// results in order.
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

func bestResult(rs []result) result {
	b := rs[0]
	for _, r := range rs {
		if r.good > b.good {
			b = r
		}
	}
	return b
}

// upperBound holds, for some prefill shares, the share of good responses that
// the best split for that prefill share reaches. A policy would reach it if
// role changes took no time.
type upperBound struct{ shares, good []float64 }

// newUpperBound measures the upper bound by trying the fixed splits at five
// constant prefill shares.
func newUpperBound(su setup) upperBound {
	var c upperBound
	for share := lowShare; share < highShare+0.01; share += (highShare - lowShare) / 4 {
		su.mix = trafficMix{share: constantShare(share)}
		c.shares = append(c.shares, share)
		c.good = append(c.good, bestResult(runAll(su, fixedSplits(su.engines, 2))).goodShare())
	}
	return c
}

// at interpolates the upper bound for a prefill share.
func (c upperBound) at(share float64) float64 {
	for i := 1; i < len(c.shares); i++ {
		if share <= c.shares[i] || i == len(c.shares)-1 {
			f := (share - c.shares[i-1]) / (c.shares[i] - c.shares[i-1])
			return c.good[i-1] + min(1, max(0, f))*(c.good[i]-c.good[i-1])
		}
	}
	return c.good[0]
}

// meanOver returns the mean upper bound over a traffic mix.
func (c upperBound) meanOver(m trafficMix) float64 {
	sum, n := 0.0, 0
	for t := warmUp; t < warmUp+fullLength; t++ {
		sum += c.at(m.share(t))
		n++
	}
	return sum / float64(n)
}

func (r result) goodShare() float64 { return float64(r.good) / float64(r.offered) }

// deployment is one of the simulated deployments.
type deployment struct {
	name    string
	domains int
	load    float64
	faults  faults
}

// someFaults crashes one engine per minute on average, and one in ten role
// changes.
var someFaults = faults{crashEvery: 60, changeFails: 0.1}

func deployments() []deployment {
	return []deployment{
		{"Taichung, 3 failure domains, load 17, no faults", 3, 17, faults{}},
		{"Taichung, 3 failure domains, load 20, no faults", 3, 20, faults{}},
		{"Taichung, 3 failure domains, load 20, faults", 3, 20, someFaults},
		{"Consortium, 4 failure domains, load 20, faults", 4, 20, someFaults},
	}
}

func (d deployment) setup(m trafficMix) setup {
	return setup{mix: m, engines: 20, domains: d.domains, load: d.load, faults: d.faults, seed: 1, length: fullLength}
}

func TestMeasure(t *testing.T) {
	if os.Getenv("MEASURE_FLEET") == "" {
		t.Skip("a measurement, run by make measure-fleet; TestPlannerBeatsOtherPoliciesThroughStep checks its result in CI")
	}
	for _, d := range deployments() {
		measureMixes(d)
		measureOutage(d)
	}
}

func measureMixes(d deployment) {
	fmt.Printf("\n%s\n", d.name)
	fmt.Printf("%-10s %-14s %6s %6s %6s %6s %6s %6s %6s %6s %6s %8s %8s\n", "mix", "best fixed", "fixed", "mixed",
		"thresh", "plan", "limit", "p/fix", "p/thr", "ch-thr", "ch-pl", "cost-fix", "cost-pl")
	c := newUpperBound(d.setup(trafficMix{}))
	thresholdChanges, plannerChanges := 0, 0
	for _, m := range mixes() {
		su := d.setup(m)
		split := bestResult(runAll(su, fixedSplits(su.engines, 2))).split
		rs := runOverSeeds(su, func() []policy {
			return []policy{split, fixedSplit{0, 0, su.engines}, &threshold{}, newPlannerPolicy()}
		})
		f, mixed, thr, plan := rs[0], rs[1], rs[2], rs[3]
		fmt.Printf("%-10s %-14s %6.3f %6.3f %6.3f %6.3f %6.3f %6.2f %6.2f %6d %6d %8.3f %8.3f\n", m.name, f.policy,
			f.goodShare(), mixed.goodShare(), thr.goodShare(), plan.goodShare(), c.meanOver(m), plan.goodShare()/f.goodShare(), plan.goodShare()/thr.goodShare(),
			thr.changes, plan.changes, f.costPerThousand(su), plan.costPerThousand(su))
		thresholdChanges += thr.changes
		plannerChanges += plan.changes
	}
	fmt.Printf("role changes a run, all mixes: threshold %d, planner %d\n", thresholdChanges, plannerChanges)
}

// runOverSeeds runs policies with several seeds. The numbers of responses are
// the sums over all runs, and the numbers of role changes the means per run.
func runOverSeeds(su setup, policies func() []policy) []result {
	sums := make([]result, len(policies()))
	for seed := uint64(1); seed <= seeds; seed++ {
		su.seed = seed
		for i, r := range runAll(su, policies()) {
			sums[i].policy = r.policy
			sums[i].good += r.good
			sums[i].offered += r.offered
			sums[i].changes += r.changes
		}
	}
	for i := range sums {
		sums[i].changes = (sums[i].changes + seeds/2) / seeds
	}
	return sums
}

// costPerThousand returns the cost of the engines per thousand good responses,
// at one unit per engine and hour.
func (r result) costPerThousand(su setup) float64 {
	hours := seeds * (su.length - tail) / 3600
	return float64(su.engines) * hours / float64(r.good) * 1000
}

// measureOutage prints the good responses before, during and after an outage
// of one failure domain for five minutes. The printed text calls them answers.
func measureOutage(d deployment) {
	const at, outage = 400.0, 300.0
	su := d.setup(trafficMix{share: constantShare(0.5)})
	su.load = 15
	su.faults = faults{domainAt: at, domainFor: outage}
	ps := []policy{fixedSplit{10, 8, 2}, fixedSplit{0, 0, 20}, &threshold{}, newPlannerPolicy()}
	fmt.Printf("one of %d failure domains out for %.0f s at load %.0f: good answers a second\n", d.domains, outage, su.load)
	fmt.Printf("%-14s %7s %7s %7s %7s %7s\n", "", "before", "0-30s", "30-90s", "90-300s", "after")
	for _, r := range runAll(su, ps) {
		fmt.Printf("%-14s %7.1f %7.1f %7.1f %7.1f %7.1f\n", r.policy, r.goodPerSecond(at-100, at), r.goodPerSecond(at, at+30),
			r.goodPerSecond(at+30, at+90), r.goodPerSecond(at+90, at+outage), r.goodPerSecond(at+outage+30, at+outage+130))
	}
}

// goodPerSecond returns the mean number of good responses per second, for
// requests that arrived in the given seconds.
func (r result) goodPerSecond(from, to float64) float64 {
	n := 0
	for _, good := range r.perSecond[int(from):int(to)] {
		n += good
	}
	return float64(n) / (to - from)
}

// When the traffic mix changes in a lasting step, the planner gives at least
// 25% more good responses than the best of the fixed splits and 2% more than
// thresholds, and no fewer than mixed engines.
func TestPlannerBeatsOtherPoliciesThroughStep(t *testing.T) {
	is := is.New(t)
	var step trafficMix
	for _, m := range mixes() {
		if m.name == "step" {
			step = m
		}
	}
	for _, f := range []faults{{}, someFaults} {
		su := deployment{domains: 3, load: 20, faults: f}.setup(step)
		rs := runAll(su, []policy{newPlannerPolicy(), &threshold{}, fixedSplit{0, 0, 20}, fixedSplit{8, 12, 0}, fixedSplit{10, 10, 0}, fixedSplit{6, 14, 0}})
		plan := rs[0].goodShare()
		is.True(plan >= 1.25*bestResult(rs[3:]).goodShare())
		is.True(plan >= 1.02*rs[1].goodShare())
		is.True(plan >= rs[2].goodShare())
	}
}
