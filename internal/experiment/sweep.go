package experiment

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Sweep describes a series of experiments that differ in their load only.
type Sweep struct {
	Spec *Spec
	// Loads are the factors by which the arrival rates of all kinds are multiplied.
	Loads []float64
	// Seeds is the number of seeds with which each load is played, from Spec.Seed on.
	Seeds int
	// Parallel is the number of experiments that run at the same time.
	Parallel int
}

// SweepPoint is what callers get at one load: means of all seeds, in requests per second.
type SweepPoint struct {
	Load    float64 `json:"load"`
	Asked   float64 `json:"asked"`
	InTime  float64 `json:"inTime"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	// RefusedAgain is the part of Refused that had been refused before and came back.
	RefusedAgain float64 `json:"refusedAgain"`
	Failed       float64 `json:"failed"`
	// Limit is the upper bound of InTime for any placement; see Result.Limit.
	Limit float64 `json:"limit"`
	// Overall and WorstKind are scores; see Result.
	Overall   float64 `json:"whole"`
	WorstKind float64 `json:"kind"`
	// Lengths holds the shares of prompts in time by length, as a multiple of the
	// kind's mean: below the first of lengthBounds, up to each further one, and above.
	Lengths []float64 `json:"lengths"`
}

// Run plays all loads with all seeds. The order of the points is that of the loads.
func (s *Sweep) Run() []SweepPoint {
	results := make([][]*Result, len(s.Loads))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(s.Parallel, 1))
	for i, load := range s.Loads {
		results[i] = make([]*Result, s.Seeds)
		for n := range s.Seeds {
			wg.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				results[i][n] = Run(s.Spec.scaled(load, uint64(n)))
			})
		}
	}
	wg.Wait()
	points := make([]SweepPoint, len(s.Loads))
	for i, load := range s.Loads {
		points[i] = newSweepPoint(load, results[i], s.Spec.Duration)
	}
	return points
}

// scaled returns a copy of the spec with all arrival rates multiplied by load and another
// seed.
func (s *Spec) scaled(load float64, seed uint64) *Spec {
	c := *s
	c.Seed += seed
	c.Kinds = slices.Clone(s.Kinds)
	for i := range c.Kinds {
		c.Kinds[i].Rate *= load
	}
	return &c
}

func newSweepPoint(load float64, results []*Result, d time.Duration) SweepPoint {
	p := SweepPoint{Load: load, Lengths: make([]float64, len(lengthBounds)+1)}
	n := float64(len(results))
	perSecond := n * d.Seconds()
	lengths := make([]LengthResult, len(p.Lengths))
	for _, r := range results {
		for _, k := range r.Kinds {
			p.Asked += float64(k.Requests) / perSecond
			p.InTime += float64(k.InTime) / perSecond
			p.Late += float64(k.Late) / perSecond
			p.Refused += float64(k.Refused) / perSecond
			p.RefusedAgain += float64(k.RefusedAgain) / perSecond
			p.Failed += float64(k.Failed) / perSecond
		}
		for i, l := range r.Lengths {
			lengths[i].Requests += l.Requests
			lengths[i].InTime += l.InTime
		}
		p.Limit += float64(r.Limit) / perSecond
		p.Overall += r.Overall / n
		p.WorstKind += r.WorstKind / n
	}
	for i, l := range lengths {
		p.Lengths[i] = float64(l.InTime) / float64(max(l.Requests, 1))
	}
	return p
}

// WriteSweepTable writes the points as a table with tab-separated columns, in requests
// per second.
func WriteSweepTable(w io.Writer, points []SweepPoint) {
	_, _ = fmt.Fprint(w, "LOAD\tASKED\tIN TIME\tLIMIT\tLATE\tREFUSED\tAGAIN\tFAILED\tWORTH\tWORST KIND")
	for _, b := range lengthBounds {
		_, _ = fmt.Fprintf(w, "\tTO %.1f", b)
	}
	_, _ = fmt.Fprintln(w, "\tLONGER")
	for _, p := range points {
		_, _ = fmt.Fprintf(w, "%.2f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.3f\t%.3f", p.Load, p.Asked, p.InTime, p.Limit, p.Late, p.Refused, p.RefusedAgain, p.Failed, p.Overall, p.WorstKind)
		for _, l := range p.Lengths {
			_, _ = fmt.Fprintf(w, "\t%.2f", l)
		}
		_, _ = fmt.Fprintln(w)
	}
}
