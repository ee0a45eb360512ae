package requests

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/request"
)

// Delays of the simulation.
const (
	// localDelay is the one-way delay within a failure domain.
	localDelay = 250 * time.Microsecond
	// Targets report their load every reportEvery. A report arrives after
	// reportLag and a random time of up to reportJitter.
	reportEvery  = 250 * time.Millisecond
	reportLag    = 100 * time.Millisecond
	reportJitter = 100 * time.Millisecond
	// Cache events are sent every cacheEvery and arrive after cacheLag.
	cacheEvery = time.Second
	cacheLag   = 500 * time.Millisecond
	// cacheLoss is the share of the batches of cache events that is lost.
	cacheLoss = 0.1
	// exchangeEvery is the interval at which entries exchange state.
	exchangeEvery = 500 * time.Millisecond
	// progressEvery is the number of tokens between two progress events.
	progressEvery = 16
)

// backend models the work of a target.
type backend interface {
	// start starts an attempt.
	start(*sequence)
	// cancel ends an attempt and returns it, or nil if it is not known.
	cancel(msg.AttemptID) *sequence
	// dropAll drops all attempts because of a crash and returns them.
	dropAll() []*sequence
	load() msg.LoadReport
	// takeEvents returns the cache events since its last call.
	takeEvents() []msg.CacheEvent
}

// server is a target with its side daemon.
type server struct {
	backend
	sim    *simulation
	id     msg.TargetIdentity
	domain int
	// down reports that the target does not serve, and hostLost that its host is
	// unavailable.
	down, hostLost bool
	// crashes counts the crashes. Work that was scheduled before a crash checks
	// it and does nothing.
	crashes int
}

// entry is an entry daemon.
type entry struct {
	manager   *request.Manager
	host      msg.HostID
	domain    int
	down      bool
	downAt    time.Duration
	published msg.SectionValue
}

// call is a caller's request and its progress.
type call struct {
	arrival
	entry        *entry
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	tokens       int
	attempts     int
	cachedTokens int
	finished     bool
	refused      bool
}

// simulation is a run of a load on a deployment.
type simulation struct {
	clock
	shape      Shape
	load       Load
	rng        *rand.Rand
	entries    []*entry
	servers    map[msg.TargetID]*server
	serverList []*server
	calls      map[msg.RequestID]*call
	// attempts maps each attempt to its call.
	attempts map[msg.AttemptID]*call
	all      []*call
}

func newSimulation(shape Shape, load Load, cfg request.Config) *simulation {
	sim := &simulation{
		shape: shape, load: load, rng: rand.New(rand.NewPCG(load.Seed, 2)),
		servers: make(map[msg.TargetID]*server), calls: make(map[msg.RequestID]*call),
		attempts: make(map[msg.AttemptID]*call),
	}
	for i := range shape.Engines {
		s := sim.addServer(enginePool, msg.TargetEngine, i)
		s.backend = newEngine(s)
	}
	for i := range shape.Services {
		s := sim.addServer(servicePool, msg.TargetService, i)
		s.backend = &service{server: s}
	}
	index := shape.manifest()
	for i := range shape.Entries {
		e := &entry{manager: request.New(cfg), host: msg.HostID(fmt.Sprintf("entry-%d", i)), domain: i % shape.Domains}
		sim.entries = append(sim.entries, e)
		self := msg.Self{Host: e.host, Domain: domainName(e.domain)}
		sim.step(e, msg.Started{Self: self, Incarnation: "1", Seed: load.Seed + uint64(i)})
		sim.step(e, msg.ConfigChanged{Generation: 1, Index: index})
		sim.step(e, msg.ConfigConfirmed{Generation: 1, Until: time.Hour})
	}
	var members []msg.Host
	for _, e := range sim.entries {
		members = append(members, msg.Host{Host: e.host})
	}
	for _, e := range sim.entries {
		sim.step(e, msg.MembersChanged{Entries: members})
	}
	sim.schedule()
	return sim
}

func (sim *simulation) addServer(pool msg.PoolID, kind msg.TargetKind, i int) *server {
	s := &server{
		sim: sim, domain: i % sim.shape.Domains,
		id: msg.TargetIdentity{Target: msg.TargetID(fmt.Sprintf("%s-%02d", pool, i)), Pool: pool, Kind: kind},
	}
	sim.servers[s.id.Target] = s
	sim.serverList = append(sim.serverList, s)
	return s
}

// schedule schedules the reports, ticks and arrivals of the run.
func (sim *simulation) schedule() {
	for _, s := range sim.serverList {
		sim.after(time.Duration(sim.rng.Int64N(int64(reportEvery))), func() {
			sim.every(reportEvery, func() { sim.sendReport(s) })
			sim.every(cacheEvery, func() { sim.sendCacheEvents(s) })
		})
	}
	for _, e := range sim.entries {
		sim.after(time.Duration(sim.rng.Int64N(int64(msg.TickInterval))), func() {
			sim.every(msg.TickInterval, func() { sim.step(e, msg.Tick{}) })
			sim.every(exchangeEvery, func() { sim.exchangeState(e) })
		})
	}
	for i, a := range sim.shape.arrivals(&sim.load) {
		id := msg.RequestID(fmt.Sprintf("r%d", i))
		sim.after(a.at, func() { sim.arrive(id, a) })
	}
}

// step passes an event to an entry's request manager and performs the effects.
func (sim *simulation) step(e *entry, ev msg.Event) {
	if e.down {
		return
	}
	for _, eff := range e.manager.Step(sim.now, ev) {
		sim.perform(e, eff)
	}
}

func (sim *simulation) perform(e *entry, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartAttempt:
		sim.startAttempt(e, eff)
	case msg.CancelAttempt:
		sim.cancelAttempt(e, eff.Attempt)
	case msg.RefuseRequest:
		sim.calls[eff.Req].refused = true
	case msg.AbortRequest:
		sim.calls[eff.Req].refused = true
	case msg.FinishRequest:
		sim.calls[eff.Req].finished = true
	case msg.Raise:
		if share, ok := eff.Event.(msg.PublishState); ok && share.Section == msg.SectionServedTokens {
			e.published = share.Value
		}
	}
}

// arrive sends a request to the entry that the load balancer chooses. The load
// balancer skips entries that have been down for longer than balancerDelay.
func (sim *simulation) arrive(id msg.RequestID, a arrival) {
	e := sim.entries[a.entry]
	for i := 1; e.down && sim.now-e.downAt > balancerDelay && i < len(sim.entries); i++ {
		e = sim.entries[(a.entry+i)%len(sim.entries)]
	}
	c := &call{arrival: a, entry: e}
	sim.calls[id] = c
	sim.all = append(sim.all, c)
	ev := msg.RequestArrived{
		Req: id, BodyHash: sha256.Sum256([]byte(id)), KeyID: accountName(a.account), KeyDigest: keyDigest(a.account),
		PromptTokens: a.prompt, Prefix: a.prefix,
	}
	if a.route == serviceRoute {
		ev.Service, ev.Method, ev.Path = a.route, "GET", "/"
	} else {
		ev.Model = a.route
	}
	sim.after(sim.shape.ClientDelay, func() { sim.step(e, ev) })
}

// delay returns the one-way delay between an entry and a target.
func (sim *simulation) delay(e *entry, s *server) time.Duration {
	if e.domain == s.domain {
		return localDelay
	}
	return sim.shape.DomainDelay
}

// startAttempt sends an attempt to its target.
func (sim *simulation) startAttempt(e *entry, eff msg.StartAttempt) {
	c := sim.calls[eff.Req]
	c.attempts++
	sim.attempts[eff.Attempt] = c
	s := sim.servers[eff.Target]
	q := &sequence{spec: eff.Spec, entry: e, prefix: c.prefix, prompt: max(c.prompt, 1), output: max(c.output-c.tokens, 1), received: c.tokens}
	sim.after(sim.delay(e, s), func() {
		if s.hostLost {
			sim.after(disconnectDelay, func() { sim.step(e, msg.AttemptEnded{Attempt: eff.Attempt, Result: msg.AttemptLost}) })
			return
		}
		if s.down {
			sim.after(sim.delay(e, s), func() { sim.step(e, msg.AttemptEnded{Attempt: eff.Attempt, Result: msg.AttemptNotRun}) })
			return
		}
		sim.after(sim.delay(e, s), func() { sim.step(e, msg.AttemptAccepted{Attempt: eff.Attempt}) })
		s.start(q)
	})
}

// cancelAttempt cancels an attempt on its target.
func (sim *simulation) cancelAttempt(e *entry, id msg.AttemptID) {
	for _, s := range sim.serverList {
		if q := s.cancel(id); q != nil {
			sim.after(2*sim.delay(e, s), func() { sim.step(e, msg.AttemptEnded{Attempt: id, Result: msg.AttemptCancelled}) })
		}
	}
}

// deliverToken delivers a token to the caller. It reports progress to the entry with
// the first token of an attempt and then every progressEvery tokens.
func (sim *simulation) deliverToken(s *server, q *sequence) {
	c := sim.attempts[q.spec.Attempt]
	if q.entry.down {
		return
	}
	c.tokens++
	c.lastTokenAt = sim.now + sim.delay(q.entry, s) + sim.shape.ClientDelay
	if c.firstTokenAt == 0 {
		c.firstTokenAt = c.lastTokenAt
		c.cachedTokens = q.cachedTokens
	}
	if q.generated == 1 || c.tokens%progressEvery == 0 {
		tokens := c.tokens
		sim.after(sim.delay(q.entry, s), func() {
			sim.step(q.entry, msg.AttemptProgress{Attempt: q.spec.Attempt, Tokens: tokens})
		})
	}
}

// endAttempt reports the end of an attempt to its entry.
func (sim *simulation) endAttempt(s *server, q *sequence, result msg.AttemptResult, usage msg.TokenUsage) {
	sim.after(sim.delay(q.entry, s), func() {
		sim.step(q.entry, msg.AttemptEnded{Attempt: q.spec.Attempt, Result: result, Usage: usage})
	})
}

// sendReport sends a target's load report to all entries.
func (sim *simulation) sendReport(s *server) {
	if s.hostLost {
		return
	}
	load := s.load()
	if s.down {
		load.Phase = msg.PhaseDown
	}
	at := sim.now
	for _, e := range sim.entries {
		lag := reportLag + time.Duration(sim.rng.Int64N(int64(reportJitter)))
		sim.after(lag, func() {
			sim.step(e, msg.TargetReported{
				Target: s.id, Host: msg.HostID("host-" + s.id.Target), Domain: domainName(s.domain),
				Report: load, Age: sim.now - at,
			})
		})
	}
}

// sendCacheEvents sends a target's cache events to all entries and loses some.
func (sim *simulation) sendCacheEvents(s *server) {
	events := s.takeEvents()
	if len(events) == 0 {
		return
	}
	for _, e := range sim.entries {
		if sim.rng.Float64() < cacheLoss {
			continue
		}
		sim.after(cacheLag, func() { sim.step(e, msg.CacheReported{Target: s.id.Target, Events: events}) })
	}
}

// exchangeState delivers to an entry the sum of the state that the other entries
// publish.
func (sim *simulation) exchangeState(e *entry) {
	sums := make(map[string][]float32)
	var keys []string
	hosts := 0
	for _, other := range sim.entries {
		if other == e || other.down {
			continue
		}
		hosts++
		for _, s := range other.published.Entries {
			if sums[s.Key] == nil {
				sums[s.Key] = make([]float32, len(s.Values))
				keys = append(keys, s.Key)
			}
			for i, v := range s.Values {
				sums[s.Key][i] += v
			}
		}
	}
	slices.Sort(keys)
	var value msg.SectionValue
	for _, k := range keys {
		value.Entries = append(value.Entries, msg.SectionEntry{Key: k, Values: sums[k]})
	}
	sim.step(e, msg.AggregateReceived{Section: msg.SectionServedTokens, Value: value, Age: exchangeEvery, Hosts: hosts})
}
