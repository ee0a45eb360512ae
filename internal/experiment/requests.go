package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// skew is the exponent by which some shared parts are used more than others.
const skew = 0.3

// largest is the multiple of the mean size that no size exceeds.
const largest = 4

// caller is one request of a caller, over its retry.
type caller struct {
	w       *world
	kind    int
	since   time.Duration
	entry   *entry
	parts   []msg.PromptSegment
	prompt  int
	outputs int
	tries   int
	firstAt time.Duration
}

// table is the configuration: a route for each kind, open to all.
func (s *Spec) table() *msg.RouteTable {
	t := &msg.RouteTable{Version: 1, Services: []msg.DirectService{{Service: serviceID, Engine: &msg.EngineSpec{
		Slots: s.Engines.Slots, CacheTokens: s.Engines.CacheTokens,
		TokenBytes: s.Engines.TokenBytes, LinkMbps: s.Engines.LinkMbps,
	}}}}
	for _, k := range s.Kinds {
		t.Routes = append(t.Routes, msg.DirectRoute{
			Name: msg.RouteID(k.Name), Host: "h", Prefix: "/" + k.Name + "/", Public: true,
			Shares: []msg.ServiceShare{{Service: serviceID, Weight: 1}}, Retry: msg.RetryStream,
			Attempts: 1, Timeout: k.Timeout, Objective: k.Objective, Priority: k.Priority,
		})
	}
	return t
}

// addCallers draws the arrivals of each kind, a Poisson process whose rate
// swings.
func (w *world) addCallers() {
	for i := range w.spec.Kinds {
		k := &w.spec.Kinds[i]
		sizes := make([]int, k.Shared)
		for p := range sizes {
			sizes[p] = w.size(k.SharedTokens, k.Spread)
		}
		var t time.Duration
		for {
			t += time.Duration(w.rand.ExpFloat64() / (k.Rate * w.spec.factor(k.Name, t)) * float64(time.Second))
			if t >= w.spec.Duration {
				break
			}
			c := w.draw(i, sizes)
			w.at(settle+t, c.come)
		}
	}
}

// factor is by how much a kind's rate is multiplied at an instant.
func (s *Spec) factor(kind string, t time.Duration) float64 {
	f := 1.0
	for _, sw := range s.Swings {
		if sw.Kind == kind && t >= sw.At && t < sw.At+sw.For {
			f *= sw.Factor
		}
	}
	return f
}

// size draws from a log-normal distribution with the given mean, cut off at a
// multiple of it.
func (w *world) size(mean, spread float64) int {
	v := mean * math.Exp(spread*w.rand.NormFloat64()-spread*spread/2)
	return max(int(min(v, largest*mean)), 1)
}

// draw draws a request of a kind.
func (w *world) draw(kind int, sizes []int) *caller {
	k := &w.spec.Kinds[kind]
	// The inverse of the distribution of a power law over the parts.
	n := min(int(float64(k.Shared)*math.Pow(w.rand.Float64(), 1/(1-skew))), k.Shared-1)
	own := w.size(k.OwnTokens, k.Spread)
	id := uint64(kind+1) << 32
	return &caller{
		w: w, kind: kind, prompt: sizes[n] + own,
		parts:   []msg.PromptSegment{{ID: id + uint64(n), Tokens: sizes[n]}, {ID: id<<16 + uint64(w.nextSeq()), Tokens: own}},
		outputs: max(int(float64(w.size(k.Events, 1))), 1) * w.spec.Engines.EventTokens,
	}
}

func (c *caller) come() {
	c.since = c.w.now
	c.try()
}

func (c *caller) try() {
	c.tries++
	c.firstAt = 0
	k := &c.w.spec.Kinds[c.kind]
	c.entry = c.w.entries[c.w.rand.IntN(len(c.w.entries))]
	id := msg.RequestID(fmt.Sprintf("%d", c.w.nextSeq()))
	c.entry.open[id] = c
	c.entry.step(msg.DirectRequestArrived{
		Req: id, CallerID: string(id), Host: "h", Method: "POST", Path: "/" + k.Name + "/x", BodyHash: c.parts[1].ID,
		Timeout: k.Timeout, PromptTokens: c.prompt, MaxTokens: c.outputs, Segments: c.parts,
	})
}

func (c *caller) began() {
	if c.firstAt == 0 {
		c.firstAt = c.w.now
	}
}

func (c *caller) answered() {
	if c.firstAt == 0 {
		c.firstAt = c.w.now
	}
	c.w.result.answered(c, c.firstAt-c.since)
}

func (c *caller) failed() { c.w.result.count(c, func(k *KindResult) { k.Failed++ }) }

// refused comes back once, when it was told to.
func (c *caller) refused(status int, after time.Duration) {
	k := &c.w.spec.Kinds[c.kind]
	if status != 503 || c.tries > 1 || c.w.now+after-c.since >= k.Timeout {
		c.w.result.count(c, func(k *KindResult) { k.Refused++ })
		return
	}
	c.w.after(after, c.try)
}
