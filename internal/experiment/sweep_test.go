package experiment

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// What callers get adds up, and no load gets more in time than the limit of the fleet.
func TestSweepAddsUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := exampleSpec(t)
	s.Duration = 6 * time.Second
	s.Faults, s.Swings = nil, nil
	points := (&Sweep{Spec: s, Loads: []float64{0.5, 4}, Seeds: 2, Parallel: 2}).Run()
	is.Equal(len(points), 2)
	is.True(points[1].Asked > 6*points[0].Asked)
	for _, p := range points {
		t.Logf("%+v", p)
		ended := p.InTime + p.Late + p.Refused + p.Failed
		is.True(ended <= 1.001*p.Asked && ended > 0.95*p.Asked)
		is.True(p.InTime <= p.Limit && p.Limit <= 1.001*p.Asked)
		is.True(p.RefusedAgain <= p.Refused)
	}
	var out bytes.Buffer
	WriteSweepTable(&out, points)
	is.Equal(strings.Count(out.String(), "\n"), 3)
}

// The limit counts the requests with the least work that fit into a window.
func TestLimitOfWindow(t *testing.T) {
	is := is.New(t)
	spec := exampleSpec(t)
	spec.Engines.Count, spec.Engines.PrefillPerMS, spec.Engines.PairsMS = 2, 10, 0
	spec.Kinds[0].Objective = time.Second
	sim := &simulation{spec: spec, byAddr: make(map[string]*engine), result: newResult(spec)}
	sim.addEngines()
	var drawn []*request
	for _, tokens := range []int{40_000, 20_000, 10_000, 30_000} {
		own := msg.PromptSegment{ID: 2, Tokens: tokens}
		drawn = append(drawn, &request{promptTokens: tokens + 1000, segments: []msg.PromptSegment{{ID: 1, Tokens: 1000}, own}})
	}
	is.Equal(sim.limit(drawn), 3) // two engines have 6 s for 1, 2, 3 and 4 s of work
	drawn[0].arrivesAt = limitWindow
	is.Equal(sim.limit(drawn), 4)
}
