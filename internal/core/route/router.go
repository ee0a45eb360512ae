package route

import (
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Config selects how a router decides.
type Config struct {
	Policy Policy
}

// Request is what the router has to know of a request.
type Request struct {
	Pool msg.PoolID
	// Model, Version and Adapter must be loaded on an engine; empty for a
	// plain service.
	Model, Version, Adapter string
	Class                   msg.Class
	// PromptTokens are to be prefilled, tokens of a resumed answer included;
	// OutputTokens are expected to be generated.
	PromptTokens, OutputTokens int
	Prefix                     []msg.PieceHash
	// Exclude lists targets that must not be chosen.
	Exclude []msg.TargetID
}

// Decision is the target chosen for an attempt.
type Decision struct {
	Target msg.TargetID
	Host   msg.HostID
	// Cost is the expected time in seconds until the request is served.
	Cost float64
	// Candidates is the number of targets that passed the filter.
	Candidates int
	Reason     string
}

// Router keeps the state of the targets and chooses among them.
type Router struct {
	cfg      Config
	self     msg.Self
	rng      *rand.Rand
	targets  map[msg.TargetID]*target
	pools    map[msg.PoolID]*pool
	attempts map[msg.AttemptID]*flight
}

// New returns a router without targets.
func New(cfg Config) *Router {
	return &Router{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(0, 0)),
		targets:  make(map[msg.TargetID]*target),
		pools:    make(map[msg.PoolID]*pool),
		attempts: make(map[msg.AttemptID]*flight),
	}
}

// Start seeds the router and tells it where it runs.
func (r *Router) Start(ev msg.Started) {
	r.self = ev.Self
	r.rng = rand.New(rand.NewPCG(ev.Seed, seedStream))
}

// seedStream keeps the router's random numbers apart from those of other parts.
const seedStream = 0x726f757465

// Report takes a load report of a target.
func (r *Router) Report(now msg.Time, ev msg.TargetReported) {
	t := r.targets[ev.Target.Target]
	if t == nil {
		t = &target{id: ev.Target.Target, pool: ev.Target.Pool, kind: ev.Target.Kind}
		r.targets[t.id] = t
		r.pool(t.pool).add(t)
	}
	t.report(now, ev)
}

// Lost takes note that a target can't be reached.
func (r *Router) Lost(id msg.TargetID) {
	if t := r.targets[id]; t != nil {
		t.lost = true
	}
}

// Leaving takes note of the hosts that take no new work.
func (r *Router) Leaving(hosts []msg.HostID) {
	leaving := make(map[msg.HostID]bool, len(hosts))
	for _, h := range hosts {
		leaving[h] = true
	}
	for _, t := range r.targets {
		t.leaving = leaving[t.host]
	}
}

// Pick chooses a target, or reports that none can take the request now.
func (r *Router) Pick(now msg.Time, req *Request) (Decision, bool) {
	p := r.pools[req.Pool]
	if p == nil {
		return Decision{Reason: "no targets known"}, false
	}
	candidates := r.filter(now, p, req)
	if len(candidates) == 0 {
		return Decision{Reason: "no target can take it now"}, false
	}
	r.score(now, req, candidates)
	best := r.pick(candidates)
	return Decision{
		Target: best.target.id, Host: best.target.host, Cost: best.cost,
		Candidates: len(candidates), Reason: r.cfg.Policy.String(),
	}, true
}

// Begin counts an attempt as in flight on its target.
func (r *Router) Begin(now msg.Time, id msg.AttemptID, target msg.TargetID, req *Request) {
	t := r.targets[target]
	if t == nil {
		return
	}
	f := &flight{target: t, prefill: req.PromptTokens, tokens: req.PromptTokens + req.OutputTokens, since: now}
	r.attempts[id] = f
	t.begin(f)
}

// End ends the count of an attempt.
func (r *Router) End(id msg.AttemptID) {
	f := r.attempts[id]
	if f == nil {
		return
	}
	delete(r.attempts, id)
	f.target.end(f)
}

func (r *Router) pool(id msg.PoolID) *pool {
	p := r.pools[id]
	if p == nil {
		p = &pool{}
		r.pools[id] = p
	}
	return p
}

// flight is an attempt of this entry on a target.
type flight struct {
	target *target
	// prefill and tokens are the attempt's prompt tokens and its KV cache at
	// its end.
	prefill, tokens int
	since           time.Duration
}
