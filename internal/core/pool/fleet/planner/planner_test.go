package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
)

// engines returns the given numbers of engines per role, spread over failure
// domains.
func engines(domains, prefill, decode, mixed int) []Engine {
	var out []Engine
	add := func(n int, r msg.Role) {
		for range n {
			i := len(out)
			out = append(out, Engine{
				ID:          msg.TargetID(fmt.Sprintf("t%03d", i)),
				Domain:      msg.FailureDomain(fmt.Sprintf("d%d", i%domains)),
				Role:        r,
				Available:   true,
				SinceChange: time.Hour,
			})
		}
	}
	add(prefill, msg.RolePrefill)
	add(decode, msg.RoleDecode)
	add(mixed, msg.RoleMixed)
	return out
}

func input(engines []Engine, prefill, decode float64) Input {
	l := demand.Load{Prefill: prefill, Decode: decode}
	return Input{
		Engines:    engines,
		Forecast:   demand.Forecast{Mean: l, Fast: l, Slow: l},
		Efficiency: DefaultEfficiency(),
		Costs:      DefaultCosts(),
		Limits:     Limits{PerPool: 4, PerDomain: 2},
	}
}

func TestPlanFollowsDemandWithinLimits(t *testing.T) {
	is := is.New(t)
	plan := PlanChanges(input(engines(3, 6, 14, 0), 13, 4))
	is.Equal(len(plan.Changes), 4)
	perDomain := map[int]int{}
	for _, c := range plan.Changes {
		is.Equal(c.From, msg.RoleDecode)
		is.Equal(c.To, msg.RolePrefill)
		is.True(c.Gain > c.Cost)
		var n int
		_, err := fmt.Sscanf(string(c.Target), "t%d", &n)
		is.NoErr(err)
		perDomain[n%3]++
	}
	for _, n := range perDomain {
		is.True(n <= 2)
	}
	is.True(plan.Planned > plan.Value)
}

func TestIdleOrWellMatchedPoolIsNotChanged(t *testing.T) {
	is := is.New(t)
	is.Equal(len(PlanChanges(input(engines(3, 10, 10, 0), 1, 1)).Changes), 0)
	is.Equal(len(PlanChanges(input(engines(3, 10, 10, 0), 8.5, 8.5)).Changes), 0)
}

func TestChangeWithGainBelowCostIsNotPlanned(t *testing.T) {
	is := is.New(t)
	in := input(engines(3, 6, 14, 0), 13, 4)
	in.Costs.Horizon = 12 * time.Second
	in.Costs.ChangeTime = 10 * time.Second
	is.Equal(len(PlanChanges(in).Changes), 0)
}

func TestEngineWithShortestDrainChangesFirst(t *testing.T) {
	is := is.New(t)
	in := input(engines(1, 6, 14, 0), 13, 4)
	for i := range in.Engines {
		in.Engines[i].DrainTime = 5 * time.Second
	}
	in.Engines[9].DrainTime = time.Second
	in.Limits = Limits{PerPool: 1, PerDomain: 1}
	is.Equal(PlanChanges(in).Changes[0].Target, msg.TargetID("t009"))
}

func TestFixedSplitIsReached(t *testing.T) {
	is := is.New(t)
	in := input(engines(2, 0, 0, 6), 0, 0)
	in.Limits = Limits{PerPool: 6, PerDomain: 6}
	plan := PlanSplit(in, Split{Prefill: 2, Decode: 3})
	n := map[msg.Role]int{}
	for _, c := range plan.Changes {
		n[c.To]++
	}
	is.Equal(n, map[msg.Role]int{msg.RolePrefill: 2, msg.RoleDecode: 3})
}

// simulatedPool is a pool that executes planned changes over time.
type simulatedPool struct {
	engines      []Engine
	changeCounts []int // changes per engine
	changeEnds   []time.Duration
	now          time.Duration
}

func (s *simulatedPool) apply(t *rapid.T, in Input, plan Plan) {
	for _, c := range plan.Changes {
		i := -1
		for j := range s.engines {
			if s.engines[j].ID == c.Target {
				i = j
			}
		}
		e := &s.engines[i]
		if !e.Available || e.Fixed || e.Changing || e.Role != c.From || e.SinceChange < in.Costs.MinChangeInterval {
			t.Fatalf("change %+v is not allowed for engine %+v", c, *e)
		}
		e.Role, e.Available, e.Changing = c.To, false, true
		s.changeCounts[i]++
		s.changeEnds[i] = s.now + in.Costs.ChangeTime
	}
}

func (s *simulatedPool) advance(d time.Duration) {
	s.now += d
	for i := range s.engines {
		e := &s.engines[i]
		e.SinceChange += d
		if e.Changing && s.now >= s.changeEnds[i] {
			e.Changing, e.Available, e.SinceChange = false, true, 0
		}
	}
}

// checkInvariants fails the test if too many changes are open, or if fewer than
// two failure domains are capable of a kind of work.
func (s *simulatedPool) checkInvariants(t *rapid.T, in Input) {
	open := 0
	perDomain := map[msg.FailureDomain]int{}
	prefill, decode := map[msg.FailureDomain]bool{}, map[msg.FailureDomain]bool{}
	for _, e := range s.engines {
		if e.Changing {
			open++
			perDomain[e.Domain]++
		}
		if e.Role != msg.RoleDecode {
			prefill[e.Domain] = true
		}
		if e.Role != msg.RolePrefill {
			decode[e.Domain] = true
		}
	}
	if len(prefill) < 2 || len(decode) < 2 {
		t.Fatalf("only one failure domain is capable of a kind of work: %+v", s.engines)
	}
	if open > in.Limits.PerPool {
		t.Fatalf("%d changes at once", open)
	}
	for d, n := range perDomain {
		if n > in.Limits.PerDomain {
			t.Fatalf("%d changes in %s", n, d)
		}
	}
}

func TestPlannerInvariantsUnderAdversarialDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 24).Draw(t, "engines")
		s := &simulatedPool{engines: engines(rapid.IntRange(2, 4).Draw(t, "domains"), 0, 0, n)}
		s.changeCounts, s.changeEnds = make([]int, n), make([]time.Duration, n)
		in := input(nil, 0, 0)
		in.Limits = Limits{PerPool: rapid.IntRange(1, 6).Draw(t, "at once"), PerDomain: rapid.IntRange(1, 3).Draw(t, "per domain")}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			load := demand.Load{
				Prefill: rapid.Float64Range(0, float64(n)).Draw(t, "prefill"),
				Decode:  rapid.Float64Range(0, float64(n)).Draw(t, "decode"),
			}
			in.Engines = append([]Engine{}, s.engines...)
			in.Forecast = demand.Forecast{
				Mean: load, Fast: load, Slow: load,
				MixDeviation: rapid.Float64Range(0, 4).Draw(t, "deviation"),
				LongShare:    rapid.Float64Range(0, 1).Draw(t, "long"),
			}
			plan := PlanChanges(in)
			if again := PlanChanges(in); fmt.Sprint(again) != fmt.Sprint(plan) {
				t.Fatal("two plans from the same input differ")
			}
			s.apply(t, in, plan)
			s.checkInvariants(t, in)
			if rapid.Bool().Draw(t, "fault") {
				i := rapid.IntRange(0, n-1).Draw(t, "engine")
				s.engines[i].Fixed = !s.engines[i].Fixed
			}
			s.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
		}
		for i, c := range s.changeCounts {
			// The duration of a change and the minimum time until the next one
			// bound the number of an engine's changes.
			if most := int(s.now/(in.Costs.ChangeTime+in.Costs.MinChangeInterval)) + 1; c > most {
				t.Fatalf("engine %d changed %d times in %s", i, c, s.now)
			}
		}
	})
}

func BenchmarkPlan600(b *testing.B) {
	in := input(engines(4, 200, 360, 40), 380, 130)
	in.Forecast.MixDeviation, in.Forecast.TotalDeviation = 20, 10
	in.Limits = Limits{PerPool: 120, PerDomain: 60}
	for b.Loop() {
		if len(PlanChanges(in).Changes) == 0 {
			b.Fatal("nothing planned")
		}
	}
}
