package routing

import (
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/prefixindex"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Defaults of [Config].
const (
	DefaultFirstToken = 320 * time.Millisecond
	DefaultStep       = 49 * time.Millisecond
)

// Config selects how a router decides. Zero values are replaced by defaults.
type Config struct {
	Policy Policy
	// FirstToken is the wanted time to the first token.
	FirstToken time.Duration
	// Step is the wanted time between two tokens.
	Step time.Duration
	// CachePieces bounds the cache map.
	CachePieces int
}

func (c Config) withDefaults() Config {
	if c.FirstToken == 0 {
		c.FirstToken = DefaultFirstToken
	}
	if c.Step == 0 {
		c.Step = DefaultStep
	}
	return c
}

// Request is what the router has to know of a request.
type Request struct {
	Pool msg.PoolID
	// Model and Adapter must be loaded on an engine; empty for a plain service.
	Model, Adapter string
	Class          msg.Class
	// PromptTokens are to be prefilled, tokens of a resumed answer included;
	// OutputTokens are expected to be generated.
	PromptTokens, OutputTokens int
	Prefix                     []msg.BlockHash
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Exclude lists targets that must not be chosen.
	Exclude []msg.TargetID
	// Suspect says that a target went down under the request. Suspects are
	// kept apart from each other.
	Suspect bool
	// Over says that the request's account is over its fair share.
	Over bool
	// Share is the part of a target's capacity, above 0 and up to 1, that the
	// request may fill.
	Share float64
}

// Router keeps the state of the targets and chooses among them.
type Router struct {
	cfg      Config
	self     msg.Self
	rng      *rand.Rand
	cache    *prefixindex.Index
	targets  map[msg.TargetID]*target
	pools    map[msg.PoolID]*pool
	attempts map[msg.AttemptID]*flight
	leaving  map[msg.HostID]bool
	index    *manifest.Index
	// entries is the number of entry daemons, this one included.
	entries int
	// hits and sample are buffers of one decision.
	hits   []prefixindex.Hit
	sample []candidate
}

// New returns a router without targets.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg.withDefaults(),
		rng:      rand.New(rand.NewPCG(0, seedStream)),
		cache:    prefixindex.New(cfg.CachePieces),
		targets:  make(map[msg.TargetID]*target),
		pools:    make(map[msg.PoolID]*pool),
		attempts: make(map[msg.AttemptID]*flight),
	}
}

// seedStream keeps the router's random numbers apart from those of other parts.
const seedStream = 0x726f757465

// Start seeds the router and tells it where it runs.
func (r *Router) Start(ev msg.Started) {
	r.self = ev.Self
	r.rng = rand.New(rand.NewPCG(ev.Seed, seedStream))
}

// Configure takes a configuration, of which the router uses the regions.
func (r *Router) Configure(x *manifest.Index) { r.index = x }

// Report takes a load report of a target.
func (r *Router) Report(now msg.Time, ev msg.TargetReported) {
	t := r.targets[ev.Target.Target]
	if t == nil {
		t = &target{id: ev.Target.Target, pool: ev.Target.Pool, kind: ev.Target.Kind}
		r.targets[t.id] = t
		r.pool(t.pool).add(t)
	}
	t.report(now, ev)
	t.leaving = r.leaving[t.host]
	if ev.Report.Phase == msg.PhaseDown || ev.Report.Phase == msg.PhaseStarting {
		r.cache.ResetEngine(t.id)
	}
}

// CacheReported takes cache events of an engine.
func (r *Router) CacheReported(ev msg.CacheReported) { r.cache.Apply(ev) }

// Lost takes note that a target can't be reached.
func (r *Router) Lost(id msg.TargetID) {
	if t := r.targets[id]; t != nil {
		t.lost = true
	}
}

// Crashed takes note that a target went down, so that it takes no attempts
// until a report says that it serves again.
func (r *Router) Crashed(id msg.TargetID) {
	if t := r.targets[id]; t != nil {
		t.load.Phase = msg.PhaseDown
		r.cache.ResetEngine(id)
	}
}

// Draining takes note that a target hands its attempts on, so that it takes
// none until a newer report says that it does.
func (r *Router) Draining(id msg.TargetID) {
	if t := r.targets[id]; t != nil {
		t.load.Phase = msg.PhaseDraining
	}
}

// Members takes note of the hosts that take no new work, and drops targets
// that have been silent for long.
func (r *Router) Members(now msg.Time, ev msg.MembersChanged) {
	r.entries = len(ev.Entries)
	r.leaving = make(map[msg.HostID]bool, len(ev.Leaving))
	for _, h := range ev.Leaving {
		r.leaving[h] = true
	}
	for id, t := range r.targets {
		t.leaving = r.leaving[t.host]
		if t.running == 0 && now-t.readAt > dropAfter {
			r.pools[t.pool].drop(t)
			delete(r.targets, id)
			r.cache.RemoveEngine(id)
		}
	}
}

// Pick chooses a target. It reports false where none can take the request now.
func (r *Router) Pick(now msg.Time, req *Request) (Decision, bool) {
	p := r.pools[req.Pool]
	if p == nil || len(p.targets) == 0 {
		return Decision{Reason: ReasonNoTargets}, false
	}
	r.estimateOthers(now, p)
	d := Decision{Pool: len(p.targets), Policy: r.cfg.Policy}
	var best *candidate
	switch r.cfg.Policy {
	case PolicyRoundRobin:
		best = r.pickNext(now, p, req)
	case PolicyLeastLoaded:
		best = r.pickLeastLoaded(now, p, req)
	default:
		best = r.pickCheapest(now, p, req)
	}
	d.note(r.sample)
	if best == nil {
		d.Reason = ReasonNoRoom
		return d, false
	}
	d.choose(best)
	return d, true
}

// Begin counts an attempt as in flight on the chosen target.
func (r *Router) Begin(now msg.Time, id msg.AttemptID, d Decision, req *Request) {
	t := r.targets[d.Target]
	if t == nil {
		return
	}
	f := &flight{
		target: t, prompt: req.PromptTokens, expected: d.Expected,
		prefill: d.Prefill, kv: req.PromptTokens + req.OutputTokens,
	}
	r.attempts[id] = f
	t.apply(now, change{at: now, running: 1, prefill: f.prefill, kv: f.kv})
	t.running++
	p := r.pools[t.pool]
	p.sent += float64(f.prefill)
	if req.Over {
		p.sentOver += float64(f.prefill)
	}
	if req.Suspect {
		f.suspect = true
		t.suspects++
	}
	if t.kind == msg.TargetEngine {
		r.cache.RecordSent(t.id, req.Prefix)
	}
}

// Accepted compares the expected cache hit of an attempt with the real one,
// where the target tells it at the begin.
func (r *Router) Accepted(now msg.Time, id msg.AttemptID, cached int) {
	f := r.attempts[id]
	if f == nil || f.began || cached == 0 {
		return
	}
	r.observe(f, cached)
	prefill := max(f.prompt-cached, 0)
	f.target.apply(now, change{at: now, prefill: prefill - f.prefill})
	f.prefill = prefill
}

// Generating takes note that an attempt has passed its prefill.
func (r *Router) Generating(now msg.Time, id msg.AttemptID) {
	f := r.attempts[id]
	if f == nil || f.began {
		return
	}
	f.began = true
	f.target.apply(now, change{at: now, prefill: -min(f.prefill, int(f.target.backlog))})
	f.prefill = 0
}

func (r *Router) observe(f *flight, cached int) {
	if f.observed {
		return
	}
	f.observed = true
	r.cache.RecordHits(f.target.id, f.expected/PieceTokens, cached/PieceTokens)
}

// End ends the count of an attempt. Its usage tells the real cache hit.
func (r *Router) End(now msg.Time, id msg.AttemptID, usage msg.TokenUsage) {
	f := r.attempts[id]
	if f == nil {
		return
	}
	if usage.Generated > 0 {
		r.observe(f, int(usage.Cached))
	}
	delete(r.attempts, id)
	f.target.apply(now, change{at: now, running: -1, prefill: -min(f.prefill, int(f.target.backlog)), kv: -f.kv})
	f.target.running--
	if f.suspect {
		f.target.suspects--
	}
}

// OtherSuspect takes note that a target refused a suspect because it runs one
// of another entry.
func (r *Router) OtherSuspect(id msg.TargetID, until msg.Time) {
	if t := r.targets[id]; t != nil {
		t.suspectUntil = until
	}
}

// maxStart bounds the position at which a round robin begins.
const maxStart = 1 << 16

func (r *Router) pool(id msg.PoolID) *pool {
	p := r.pools[id]
	if p == nil {
		p = &pool{next: r.rng.IntN(maxStart)}
		r.pools[id] = p
	}
	return p
}

// flight is an attempt of this entry on a target.
type flight struct {
	target *target
	// prompt, expected, prefill and kv are in tokens: the prompt, its part
	// that was expected in the cache, the prefill left, and the KV cache at
	// the attempt's end.
	prompt, expected, prefill, kv int
	// began says that the prefill is over, observed that the cache hit is known.
	began, observed bool
	suspect         bool
}
