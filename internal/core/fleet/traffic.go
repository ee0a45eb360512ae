package fleet

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// traffic counts the work that arrives at this entry, and keeps what the
// other entries share of theirs.
type traffic struct {
	arrived map[msg.PoolID]*tokens
	// rates is this entry's own, others the sum over the other entries.
	rates  map[msg.PoolID]tokens
	others map[msg.PoolID]tokens
	open   map[msg.RequestID]int
	// asked and generated compare the callers' limits with the answers;
	// prompts and cached the prompts with what the engines had of them.
	asked, generated float64
	prompts, cached  float64
	last             msg.Time
}

// tokens is an amount of work, or a rate per second. Long is the part of
// prefill that belongs to long prompts.
type tokens struct{ prefill, decode, long float64 }

const (
	// sharedValues is the length of a shared entry: the rates of prefill,
	// decode and long prompts.
	sharedValues = 3
	// ratioDecay is the weight that past answers keep after each second.
	ratioDecay = 0.99
	// maxOpenRequests bounds the requests whose limits are remembered.
	maxOpenRequests = 1 << 16
	// defaultMaxTokens counts for requests without a limit.
	defaultMaxTokens = 256
)

func newTraffic() traffic {
	return traffic{
		arrived: make(map[msg.PoolID]*tokens),
		rates:   make(map[msg.PoolID]tokens),
		others:  make(map[msg.PoolID]tokens),
		open:    make(map[msg.RequestID]int),
	}
}

func (t *traffic) observe(_ msg.Time, index *manifest.Index, ev msg.Event) {
	switch ev := ev.(type) {
	case msg.RequestArrived:
		t.arrive(index, ev)
	case msg.RequestEnded:
		t.end(ev)
	case msg.UsageCounted:
		t.generated += float64(ev.Usage.Generated)
		t.prompts += float64(ev.Usage.Prompt)
		t.cached += float64(ev.Usage.Cached)
	case msg.AggregateReceived:
		t.share(ev)
	}
}

// arrive counts a request whose key exists, or that needs none.
func (t *traffic) arrive(index *manifest.Index, ev msg.RequestArrived) {
	if index == nil || ev.Model == "" {
		return
	}
	route := index.Route(ev.Model)
	if route == nil {
		return
	}
	if _, known := index.Key(ev.KeyID); !known && route.Access != manifest.AccessPublic {
		return
	}
	limit := ev.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	pool := msg.PoolID(route.Pool)
	if t.arrived[pool] == nil {
		t.arrived[pool] = &tokens{}
	}
	t.arrived[pool].prefill += float64(ev.PromptTokens)
	t.arrived[pool].decode += float64(limit)
	if ev.PromptTokens > demand.LongPrompt {
		t.arrived[pool].long += float64(ev.PromptTokens)
	}
	if len(t.open) < maxOpenRequests {
		t.open[ev.Req] = limit
	}
}

func (t *traffic) end(ev msg.RequestEnded) {
	limit, ok := t.open[ev.Req]
	if !ok {
		return
	}
	delete(t.open, ev.Req)
	if ev.Outcome == msg.OutcomeRun {
		t.asked += float64(limit)
	}
}

func (t *traffic) share(ev msg.AggregateReceived) {
	if ev.Section != msg.SectionDemand {
		return
	}
	clear(t.others)
	for _, e := range ev.Value.Entries {
		if len(e.Values) >= sharedValues {
			t.others[msg.PoolID(e.Key)] = tokens{float64(e.Values[0]), float64(e.Values[1]), float64(e.Values[2])}
		}
	}
}

// ratio returns part/whole, or def while little was seen.
func ratio(part, whole, def float64) float64 {
	if whole < 1 {
		return def
	}
	return min(1, part/whole)
}

// sample turns what arrived since the last sample into rates.
func (t *traffic) sample(now msg.Time) {
	elapsed := (now - t.last).Seconds()
	t.last = now
	if elapsed <= 0 {
		return
	}
	fill := ratio(t.generated, t.asked, 1)
	fresh := 1 - ratio(t.cached, t.prompts, 0)
	clear(t.rates)
	for pool, n := range t.arrived {
		t.rates[pool] = tokens{n.prefill * fresh / elapsed, n.decode * fill / elapsed, n.long * fresh / elapsed}
		*n = tokens{}
	}
	t.asked *= ratioDecay
	t.generated *= ratioDecay
	t.prompts *= ratioDecay
	t.cached *= ratioDecay
}

// shared returns this entry's rates for the others.
func (t *traffic) shared() msg.SectionValue {
	var v msg.SectionValue
	for _, pool := range slices.Sorted(maps.Keys(t.rates)) {
		r := t.rates[pool]
		v.Entries = append(v.Entries, msg.SectionEntry{
			Key:    string(pool),
			Values: []float32{float32(r.prefill), float32(r.decode), float32(r.long)},
		})
	}
	return v
}

// sampleDemand feeds the estimators of all pools and shares this entry's part.
func (c *Controller) sampleDemand(now msg.Time) []msg.Effect {
	c.traffic.sample(now)
	for _, name := range c.names() {
		p := c.pools[name]
		if p.spec == nil || !p.estimator.Due(now) {
			continue
		}
		own, others := c.traffic.rates[name], c.traffic.others[name]
		work := p.learner.Capability(c.cfg.Declared)
		load := work.Work(own.prefill+others.prefill, own.decode+others.decode)
		p.estimator.Observe(now, load, work.Work(own.long+others.long, 0).Prefill)
	}
	return []msg.Effect{msg.Raise{Event: msg.PublishState{Section: msg.SectionDemand, Value: c.traffic.shared()}}}
}
