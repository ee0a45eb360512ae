package fleet

import (
	"maps"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// traffic counts the work that arrives at this entry daemon and keeps the rates
// that the other entry daemons publish.
type traffic struct {
	// arrived holds the work that arrived since the last sample.
	arrived map[msg.PoolID]*tokenWork
	// rates holds this entry daemon's own rates, and peerRates the sums over
	// the other entry daemons.
	rates     map[msg.PoolID]tokenWork
	peerRates map[msg.PoolID]tokenWork
	// openLimits holds the token limits of open requests.
	openLimits map[msg.RequestID]int
	// requestedTokens and generatedTokens are sums from which the ratio of
	// generated tokens to the requests' limits follows. promptTokens and
	// cachedTokens are sums from which the ratio of prompt tokens that were in
	// the engines' prefix caches follows.
	requestedTokens, generatedTokens float64
	promptTokens, cachedTokens       float64
	lastSample                       msg.Time
}

// tokenWork is a number of tokens, or a rate per second. The field long is the
// part of prefill that belongs to long prompts.
type tokenWork struct{ prefill, decode, long float64 }

const (
	// valuesPerPool is the number of values that are published for each pool:
	// the rates of prefill, decode and long prompts.
	valuesPerPool = 3
	// ratioDecay is the weight that past responses keep after each sample.
	// Samples are one second apart by default.
	ratioDecay = 0.99
	// maxOpenRequests bounds the number of requests whose limits are kept.
	maxOpenRequests = 1 << 16
	// defaultMaxTokens is the assumed limit of requests without one.
	defaultMaxTokens = 256
)

func newTraffic() traffic {
	return traffic{
		arrived:    make(map[msg.PoolID]*tokenWork),
		rates:      make(map[msg.PoolID]tokenWork),
		peerRates:  make(map[msg.PoolID]tokenWork),
		openLimits: make(map[msg.RequestID]int),
	}
}

func (t *traffic) observe(_ msg.Time, index *manifest.Index, ev msg.Event) {
	switch ev := ev.(type) {
	case msg.RequestArrived:
		t.onRequestArrived(index, ev)
	case msg.RequestEnded:
		t.onRequestEnded(ev)
	case msg.UsageCounted:
		t.generatedTokens += float64(ev.Usage.Generated)
		t.promptTokens += float64(ev.Usage.Prompt)
		t.cachedTokens += float64(ev.Usage.Cached)
	case msg.AggregateReceived:
		t.onAggregate(ev)
	}
}

// onRequestArrived counts a request if its key is valid or its route needs
// none.
func (t *traffic) onRequestArrived(index *manifest.Index, ev msg.RequestArrived) {
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
		t.arrived[pool] = &tokenWork{}
	}
	t.arrived[pool].prefill += float64(ev.PromptTokens)
	t.arrived[pool].decode += float64(limit)
	if ev.PromptTokens > demand.LongPromptTokens {
		t.arrived[pool].long += float64(ev.PromptTokens)
	}
	if len(t.openLimits) < maxOpenRequests {
		t.openLimits[ev.Req] = limit
	}
}

func (t *traffic) onRequestEnded(ev msg.RequestEnded) {
	limit, ok := t.openLimits[ev.Req]
	if !ok {
		return
	}
	delete(t.openLimits, ev.Req)
	if ev.Outcome == msg.OutcomeRun {
		t.requestedTokens += float64(limit)
	}
}

func (t *traffic) onAggregate(ev msg.AggregateReceived) {
	if ev.Section != msg.SectionDemand {
		return
	}
	clear(t.peerRates)
	for _, e := range ev.Value.Entries {
		if len(e.Values) >= valuesPerPool {
			t.peerRates[msg.PoolID(e.Key)] = tokenWork{float64(e.Values[0]), float64(e.Values[1]), float64(e.Values[2])}
		}
	}
}

// ratio returns part/whole, at most one. It returns def if too little was
// counted.
func ratio(part, whole, def float64) float64 {
	if whole < 1 {
		return def
	}
	return min(1, part/whole)
}

// sample converts the work that arrived since the last sample to rates.
func (t *traffic) sample(now msg.Time) {
	elapsed := (now - t.lastSample).Seconds()
	t.lastSample = now
	if elapsed <= 0 {
		return
	}
	generatedRatio := ratio(t.generatedTokens, t.requestedTokens, 1)
	uncachedRatio := 1 - ratio(t.cachedTokens, t.promptTokens, 0)
	clear(t.rates)
	for pool, n := range t.arrived {
		t.rates[pool] = tokenWork{n.prefill * uncachedRatio / elapsed, n.decode * generatedRatio / elapsed, n.long * uncachedRatio / elapsed}
		*n = tokenWork{}
	}
	t.requestedTokens *= ratioDecay
	t.generatedTokens *= ratioDecay
	t.promptTokens *= ratioDecay
	t.cachedTokens *= ratioDecay
}

// publishedRates returns this entry daemon's rates for publication to the
// others.
func (t *traffic) publishedRates() msg.SectionValue {
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

// sampleDemand passes a sample to the estimators of all pools and publishes
// this entry daemon's rates.
func (c *Controller) sampleDemand(now msg.Time) []msg.Effect {
	c.traffic.sample(now)
	for _, name := range c.poolNames() {
		p := c.pools[name]
		if p.spec == nil || !p.estimator.Due(now) {
			continue
		}
		own, others := c.traffic.rates[name], c.traffic.peerRates[name]
		capability := p.learner.Capability(c.cfg.DeclaredCapability)
		load := capability.LoadOf(own.prefill+others.prefill, own.decode+others.decode)
		p.estimator.Observe(now, load, capability.LoadOf(own.long+others.long, 0).Prefill)
	}
	return []msg.Effect{msg.Raise{Event: msg.PublishState{Section: msg.SectionDemand, Value: c.traffic.publishedRates()}}}
}
