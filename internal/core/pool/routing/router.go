package routing

import (
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/prefixindex"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// Defaults of [Config].
const (
	DefaultFirstToken = 320 * time.Millisecond
	DefaultStep       = 49 * time.Millisecond
)

// Config configures a router. Zero values are replaced by defaults.
type Config struct {
	Policy Policy
	// TimeToFirstToken is the goal for the time from a request's arrival to its
	// first token.
	TimeToFirstToken time.Duration
	// TimeBetweenTokens is the goal for the time between two tokens.
	TimeBetweenTokens time.Duration
	// MaxCachedPrefixes is the maximum number of prefixes in the index of the
	// targets' prefix caches.
	MaxCachedPrefixes int
}

func (c Config) withDefaults() Config {
	if c.TimeToFirstToken == 0 {
		c.TimeToFirstToken = DefaultFirstToken
	}
	if c.TimeBetweenTokens == 0 {
		c.TimeBetweenTokens = DefaultStep
	}
	return c
}

// Request describes a request to the router.
type Request struct {
	Pool msg.PoolID
	// Model and Adapter must be loaded on the engine that is selected. Both are
	// empty for a plain service.
	Model, Adapter string
	Class          msg.Class
	// PromptTokens is the length of the prompt in tokens, including the tokens
	// of a response that is being resumed. OutputTokens is the number of tokens
	// that are expected to be generated.
	PromptTokens, OutputTokens int
	Prefix                     []msg.BlockHash
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Exclude lists targets that must not be selected.
	Exclude []msg.TargetID
	// Suspect reports that a target went down while it ran the request. A
	// target runs at most one suspect at a time.
	Suspect bool
	// Over reports that the client account has used more than its fair share.
	Over bool
	// Share is the fraction of a target's capacity that the target's load may
	// reach with this request. It is above 0 and at most 1; zero stands for 1.
	Share float64
}

// Router tracks the state of the targets and selects one for each attempt.
type Router struct {
	cfg      Config
	self     msg.Self
	rng      *rand.Rand
	cache    *prefixindex.Index
	targets  map[msg.TargetID]*target
	pools    map[msg.PoolID]*pool
	attempts map[msg.AttemptID]*inFlight
	leaving  map[msg.HostID]bool
	index    *manifest.Index
	// entries is the number of entry daemons, including this one.
	entries int
	// hits and sample are buffers that each decision reuses, so that it does
	// not allocate.
	hits   []prefixindex.Hit
	sample []candidate
}

// New returns a router without targets.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg.withDefaults(),
		rng:      rand.New(rand.NewPCG(0, randStream)),
		cache:    prefixindex.New(cfg.MaxCachedPrefixes),
		targets:  make(map[msg.TargetID]*target),
		pools:    make(map[msg.PoolID]*pool),
		attempts: make(map[msg.AttemptID]*inFlight),
	}
}

// randStream is the second part of the random generator's seed. It keeps the
// router's random numbers independent of those of other components.
const randStream = 0x726f757465

// Start sets the entry that the router runs on and seeds its random generator.
func (r *Router) Start(ev msg.Started) {
	r.self = ev.Self
	r.rng = rand.New(rand.NewPCG(ev.Seed, randStream))
}

// Configure sets the configuration, of which the router uses the regions.
func (r *Router) Configure(x *manifest.Index) { r.index = x }

// ApplyReport applies a load report of a target. The prefix cache of a target
// that is down or starting counts as lost.
func (r *Router) ApplyReport(now msg.Time, ev msg.TargetReported) {
	t := r.targets[ev.Target.Target]
	if t == nil {
		t = &target{id: ev.Target.Target, pool: ev.Target.Pool, kind: ev.Target.Kind}
		r.targets[t.id] = t
		r.pool(t.pool).add(t)
	}
	t.applyReport(now, ev)
	t.leaving = r.leaving[t.host]
	if ev.Report.Phase == msg.PhaseDown || ev.Report.Phase == msg.PhaseStarting {
		r.cache.ResetEngine(t.id)
	}
}

// ApplyCacheEvents applies the prefix cache events of an engine.
func (r *Router) ApplyCacheEvents(ev msg.CacheReported) { r.cache.Apply(ev) }

// MarkUnreachable records that a target can't be reached. It accepts no attempts
// until a newer report arrives.
func (r *Router) MarkUnreachable(id msg.TargetID) {
	if t := r.targets[id]; t != nil {
		t.unreachable = true
	}
}

// MarkDown records that a target went down and lost its prefix cache. It accepts
// no attempts until a newer report shows it serving.
func (r *Router) MarkDown(id msg.TargetID) {
	if t := r.targets[id]; t != nil {
		t.load.Phase = msg.PhaseDown
		r.cache.ResetEngine(id)
	}
}

// MarkDraining records that a target hands its attempts over to other targets.
// It accepts no attempts until a newer report shows it serving.
func (r *Router) MarkDraining(id msg.TargetID) {
	if t := r.targets[id]; t != nil {
		t.load.Phase = msg.PhaseDraining
	}
}

// UpdateMembers records the number of entry daemons and the leaving hosts, which
// accept no new work. It also removes targets that have no attempt of this entry
// and whose last report was read longer than forgetAfter ago.
func (r *Router) UpdateMembers(now msg.Time, ev msg.MembersChanged) {
	r.entries = len(ev.Entries)
	r.leaving = make(map[msg.HostID]bool, len(ev.Leaving))
	for _, h := range ev.Leaving {
		r.leaving[h] = true
	}
	for id, t := range r.targets {
		t.leaving = r.leaving[t.host]
		if t.running == 0 && now-t.readAt > forgetAfter {
			r.pools[t.pool].remove(t)
			delete(r.targets, id)
			r.cache.RemoveEngine(id)
		}
	}
}

// Pick selects a target for the request. It reports false if no target can run
// the request now.
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
		best = r.pickRoundRobin(now, p, req)
	case PolicyLeastLoaded:
		best = r.pickLeastLoaded(now, p, req)
	default:
		best = r.pickCheapest(now, p, req)
	}
	d.recordCandidates(r.sample)
	if best == nil {
		d.Reason = ReasonNoCapacity
		return d, false
	}
	d.setChoice(best)
	return d, true
}

// BeginAttempt counts an attempt as in flight on the selected target.
func (r *Router) BeginAttempt(now msg.Time, id msg.AttemptID, d Decision, req *Request) {
	t := r.targets[d.Target]
	if t == nil {
		return
	}
	f := &inFlight{
		target: t, prompt: req.PromptTokens, expected: d.Expected,
		prefillLeft: d.Prefill, kv: req.PromptTokens + req.OutputTokens,
	}
	r.attempts[id] = f
	t.applyChange(now, loadChange{at: now, running: 1, prefill: f.prefillLeft, kv: f.kv})
	t.running++
	p := r.pools[t.pool]
	p.sentPrefill += float64(f.prefillLeft)
	if req.Over {
		p.sentOverShare += float64(f.prefillLeft)
	}
	if req.Suspect {
		f.suspect = true
		t.suspects++
	}
	if t.kind == msg.TargetEngine {
		r.cache.RecordSent(t.id, req.Prefix)
	}
}

// RecordCacheHit records the actual cache hit of an attempt, which the target
// may report when it accepts the attempt, and corrects the remaining prefill
// work. It does nothing if cached is 0 or the prefill is over.
func (r *Router) RecordCacheHit(now msg.Time, id msg.AttemptID, cached int) {
	f := r.attempts[id]
	if f == nil || f.prefillDone || cached == 0 {
		return
	}
	r.recordHit(f, cached)
	prefill := max(f.prompt-cached, 0)
	f.target.applyChange(now, loadChange{at: now, prefill: prefill - f.prefillLeft})
	f.prefillLeft = prefill
}

// EndPrefill records that the prefill of an attempt is over.
func (r *Router) EndPrefill(now msg.Time, id msg.AttemptID) {
	f := r.attempts[id]
	if f == nil || f.prefillDone {
		return
	}
	f.prefillDone = true
	f.target.applyChange(now, loadChange{at: now, prefill: -min(f.prefillLeft, int(f.target.backlog))})
	f.prefillLeft = 0
}

// recordHit compares the expected cache hit of an attempt with the actual one,
// once for each attempt.
func (r *Router) recordHit(f *inFlight, cached int) {
	if f.hitRecorded {
		return
	}
	f.hitRecorded = true
	r.cache.RecordHits(f.target.id, f.expected/BlockTokens, cached/BlockTokens)
}

// EndAttempt stops counting an attempt as in flight. If the attempt generated
// tokens, its usage holds the actual cache hit.
func (r *Router) EndAttempt(now msg.Time, id msg.AttemptID, usage msg.TokenUsage) {
	f := r.attempts[id]
	if f == nil {
		return
	}
	if usage.Generated > 0 {
		r.recordHit(f, int(usage.Cached))
	}
	delete(r.attempts, id)
	f.target.applyChange(now, loadChange{at: now, running: -1, prefill: -min(f.prefillLeft, int(f.target.backlog)), kv: -f.kv})
	f.target.running--
	if f.suspect {
		f.target.suspects--
	}
}

// MarkOtherSuspect records that a target refused a suspect because it runs a
// suspect of another entry. It accepts no suspects of this entry before until.
func (r *Router) MarkOtherSuspect(id msg.TargetID, until msg.Time) {
	if t := r.targets[id]; t != nil {
		t.suspectUntil = until
	}
}

// maxRoundRobinStart bounds the random position at which the round robin of a pool
// starts.
const maxRoundRobinStart = 1 << 16

// pool returns the state of a pool, which it creates if there is none.
func (r *Router) pool(id msg.PoolID) *pool {
	p := r.pools[id]
	if p == nil {
		p = &pool{next: r.rng.IntN(maxRoundRobinStart)}
		r.pools[id] = p
	}
	return p
}

// inFlight is a running attempt of this entry.
type inFlight struct {
	target *target
	// prompt is the length of the prompt, expected the length of its prefix that
	// was expected in the cache, prefillLeft the number of its tokens still to be
	// prefilled, and kv the KV cache that the attempt is expected to use at its
	// end. All are in tokens.
	prompt, expected, prefillLeft, kv int
	// prefillDone reports that the prefill is over, and hitRecorded that the
	// actual cache hit was recorded.
	prefillDone, hitRecorded bool
	suspect                  bool
}
