package requests

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/request"
)

// Delays of the model.
const (
	localDelay  = 250 * time.Microsecond
	reportEvery = 250 * time.Millisecond
	reportLag   = 100 * time.Millisecond
	reportJit   = 100 * time.Millisecond
	cacheEvery  = time.Second
	cacheLag    = 500 * time.Millisecond
	// cacheLoss is the part of the batches of cache events that is lost.
	cacheLoss     = 0.1
	exchangeEvery = 500 * time.Millisecond
	// progressEvery is the number of tokens between two progress events.
	progressEvery = 16
)

// backend is the work that a target does.
type backend interface {
	begin(*sequence)
	cancel(msg.AttemptID) *sequence
	crashed() []*sequence
	load() msg.LoadReport
	takeEvents() []msg.CacheEvent
}

// server is a target with its side daemon.
type server struct {
	backend
	world  *world
	id     msg.TargetIdentity
	domain int
	// down says that the target does not serve, gone that its host is lost.
	down, gone bool
	// life changes with each crash.
	life int
}

// entry is an entry daemon.
type entry struct {
	manager *request.Manager
	host    msg.HostID
	domain  int
	down    bool
	downAt  time.Duration
	shared  msg.SectionValue
}

// call is a caller's request.
type call struct {
	arrival
	entry    *entry
	first    time.Duration
	last     time.Duration
	tokens   int
	attempts int
	cached   int
	answered bool
	refused  bool
}

// world is one run.
type world struct {
	clock
	shape   Shape
	load    Load
	rng     *rand.Rand
	entries []*entry
	servers map[msg.TargetID]*server
	ordered []*server
	calls   map[msg.RequestID]*call
	// attempts finds the call of an attempt.
	attempts map[msg.AttemptID]*call
	all      []*call
}

func newWorld(shape Shape, load Load, cfg request.Config) *world {
	w := &world{
		shape: shape, load: load, rng: rand.New(rand.NewPCG(load.Seed, 2)),
		servers: make(map[msg.TargetID]*server), calls: make(map[msg.RequestID]*call),
		attempts: make(map[msg.AttemptID]*call),
	}
	for i := range shape.Engines {
		s := w.addServer(enginePool, msg.TargetEngine, i)
		s.backend = newEngine(s)
	}
	for i := range shape.Services {
		s := w.addServer(servicePool, msg.TargetService, i)
		s.backend = &service{server: s}
	}
	index := shape.manifest()
	for i := range shape.Entries {
		e := &entry{manager: request.New(cfg), host: msg.HostID(fmt.Sprintf("entry-%d", i)), domain: i % shape.Domains}
		w.entries = append(w.entries, e)
		self := msg.Self{Host: e.host, Domain: domainName(e.domain)}
		w.step(e, msg.Started{Self: self, Incarnation: "1", Seed: load.Seed + uint64(i)})
		w.step(e, msg.ConfigChanged{Generation: 1, Index: index})
		w.step(e, msg.ConfigConfirmed{Generation: 1, Until: time.Hour})
	}
	var members []msg.Host
	for _, e := range w.entries {
		members = append(members, msg.Host{Host: e.host})
	}
	for _, e := range w.entries {
		w.step(e, msg.MembersChanged{Entries: members})
	}
	w.schedule()
	return w
}

func (w *world) addServer(pool msg.PoolID, kind msg.TargetKind, i int) *server {
	s := &server{
		world: w, domain: i % w.shape.Domains,
		id: msg.TargetIdentity{Target: msg.TargetID(fmt.Sprintf("%s-%02d", pool, i)), Pool: pool, Kind: kind},
	}
	w.servers[s.id.Target] = s
	w.ordered = append(w.ordered, s)
	return s
}

func (w *world) schedule() {
	for _, s := range w.ordered {
		w.after(time.Duration(w.rng.Int64N(int64(reportEvery))), func() {
			w.every(reportEvery, func() { w.report(s) })
			w.every(cacheEvery, func() { w.cacheEvents(s) })
		})
	}
	for _, e := range w.entries {
		w.after(time.Duration(w.rng.Int64N(int64(msg.TickInterval))), func() {
			w.every(msg.TickInterval, func() { w.step(e, msg.Tick{}) })
			w.every(exchangeEvery, func() { w.exchange(e) })
		})
	}
	for i, a := range w.shape.arrivals(&w.load) {
		id := msg.RequestID(fmt.Sprintf("r%d", i))
		w.after(a.at, func() { w.arrive(id, a) })
	}
}

// step hands an event to an entry and carries out the effects.
func (w *world) step(e *entry, ev msg.Event) {
	if e.down {
		return
	}
	for _, eff := range e.manager.Step(w.now, ev) {
		w.effect(e, eff)
	}
}

func (w *world) effect(e *entry, eff msg.Effect) {
	switch eff := eff.(type) {
	case msg.StartAttempt:
		w.startAttempt(e, eff)
	case msg.CancelAttempt:
		w.cancelAttempt(e, eff.Attempt)
	case msg.RefuseRequest:
		w.calls[eff.Req].refused = true
	case msg.AbortRequest:
		w.calls[eff.Req].refused = true
	case msg.FinishRequest:
		w.calls[eff.Req].answered = true
	case msg.Raise:
		if share, ok := eff.Event.(msg.PublishState); ok && share.Section == msg.SectionServedTokens {
			e.shared = share.Value
		}
	}
}

// arrive hands a request to the entry that the balancer chose. The balancer
// passes over entries that it knows to be down.
func (w *world) arrive(id msg.RequestID, a arrival) {
	e := w.entries[a.entry]
	for i := 1; e.down && w.now-e.downAt > balancerTime && i < len(w.entries); i++ {
		e = w.entries[(a.entry+i)%len(w.entries)]
	}
	c := &call{arrival: a, entry: e}
	w.calls[id] = c
	w.all = append(w.all, c)
	ev := msg.RequestArrived{
		Req: id, BodyHash: sha256.Sum256([]byte(id)), KeyID: accountName(a.account), KeyDigest: keyDigest(a.account),
		PromptTokens: a.prompt, Prefix: a.prefix,
	}
	if a.route == serviceRoute {
		ev.Service, ev.Method, ev.Path = a.route, "GET", "/"
	} else {
		ev.Model = a.route
	}
	w.after(w.shape.ClientDelay, func() { w.step(e, ev) })
}

func (w *world) delay(e *entry, s *server) time.Duration {
	if e.domain == s.domain {
		return localDelay
	}
	return w.shape.DomainDelay
}

func (w *world) startAttempt(e *entry, eff msg.StartAttempt) {
	c := w.calls[eff.Req]
	c.attempts++
	w.attempts[eff.Attempt] = c
	s := w.servers[eff.Target]
	q := &sequence{spec: eff.Spec, entry: e, prefix: c.prefix, prompt: max(c.prompt, 1), output: max(c.output-c.tokens, 1), from: c.tokens}
	w.after(w.delay(e, s), func() {
		if s.gone {
			w.after(silenceTime, func() { w.step(e, msg.AttemptEnded{Attempt: eff.Attempt, Result: msg.AttemptLost}) })
			return
		}
		if s.down {
			w.after(w.delay(e, s), func() { w.step(e, msg.AttemptEnded{Attempt: eff.Attempt, Result: msg.AttemptNotRun}) })
			return
		}
		w.after(w.delay(e, s), func() { w.step(e, msg.AttemptAccepted{Attempt: eff.Attempt}) })
		s.begin(q)
	})
}

func (w *world) cancelAttempt(e *entry, id msg.AttemptID) {
	for _, s := range w.ordered {
		if q := s.cancel(id); q != nil {
			w.after(2*w.delay(e, s), func() { w.step(e, msg.AttemptEnded{Attempt: id, Result: msg.AttemptCancelled}) })
		}
	}
}

// token carries one token to the caller.
func (w *world) token(s *server, q *sequence) {
	c := w.attempts[q.spec.Attempt]
	if q.entry.down {
		return
	}
	c.tokens++
	c.last = w.now + w.delay(q.entry, s) + w.shape.ClientDelay
	if c.first == 0 {
		c.first = c.last
		c.cached = q.cached
	}
	if q.done == 1 || c.tokens%progressEvery == 0 {
		tokens := c.tokens
		w.after(w.delay(q.entry, s), func() {
			w.step(q.entry, msg.AttemptProgress{Attempt: q.spec.Attempt, Tokens: tokens})
		})
	}
}

func (w *world) ended(s *server, q *sequence, result msg.AttemptResult, usage msg.TokenUsage) {
	w.after(w.delay(q.entry, s), func() {
		w.step(q.entry, msg.AttemptEnded{Attempt: q.spec.Attempt, Result: result, Usage: usage})
	})
}

func (w *world) report(s *server) {
	if s.gone {
		return
	}
	load := s.load()
	if s.down {
		load.Phase = msg.PhaseDown
	}
	at := w.now
	for _, e := range w.entries {
		lag := reportLag + time.Duration(w.rng.Int64N(int64(reportJit)))
		w.after(lag, func() {
			w.step(e, msg.TargetReported{
				Target: s.id, Host: msg.HostID("host-" + s.id.Target), Domain: domainName(s.domain),
				Report: load, Age: w.now - at,
			})
		})
	}
}

func (w *world) cacheEvents(s *server) {
	events := s.takeEvents()
	if len(events) == 0 {
		return
	}
	for _, e := range w.entries {
		if w.rng.Float64() < cacheLoss {
			continue
		}
		w.after(cacheLag, func() { w.step(e, msg.CacheReported{Target: s.id.Target, Events: events}) })
	}
}

// exchange gives an entry the sum of what the others share.
func (w *world) exchange(e *entry) {
	sums := make(map[string][]float32)
	var keys []string
	hosts := 0
	for _, other := range w.entries {
		if other == e || other.down {
			continue
		}
		hosts++
		for _, s := range other.shared.Entries {
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
	w.step(e, msg.AggregateReceived{Section: msg.SectionServedTokens, Value: value, Age: exchangeEvery, Hosts: hosts})
}
