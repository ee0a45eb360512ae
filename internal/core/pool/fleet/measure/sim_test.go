package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet/demand"
)

const (
	// A run takes warmUp + length seconds. Requests that arrive during the
	// warm-up are not counted, nor those of the last tail seconds, whose
	// responses may not end within the run.
	warmUp       = 120.0
	tail         = 20.0
	controlEvery = 1.0
)

// policy decides on role changes.
type policy interface {
	name() string
	// roles returns the initial roles of n engines.
	roles(n int) []msg.Role
	// control is called every second of virtual time. It starts role changes with
	// [sim.startChange].
	control(s *sim)
}

// faults describes the faults of a run.
type faults struct {
	// crashEvery is the mean time between crashes of single engines, in seconds.
	crashEvery float64
	// changeFails is the share of role changes in which the engine crashes.
	changeFails float64
	// domainAt is when one failure domain goes down, and domainFor for how long,
	// in seconds. No domain goes down if domainFor is zero.
	domainAt, domainFor float64
}

// setup holds the parameters of one run.
type setup struct {
	mix     trafficMix
	engines int
	domains int
	load    float64
	faults  faults
	seed    uint64
	length  float64
}

// result holds the counts of a run after its warm-up.
type result struct {
	policy  string
	split   fixedSplit // set for a fixed policy
	good    int
	offered int
	changes int
	// perSecond holds the number of good responses by the second in which the
	// request arrived.
	perSecond []int
}

// sim is the state of one simulated run.
type sim struct {
	setup
	now      float64
	rng      *rand.Rand
	rngFault *rand.Rand
	engines  []*engine
	// transfers holds the requests whose prompt's KV cache is being transferred
	// to their decode engine, in the order in which the transfers end.
	// transferEnds holds the times at which they end.
	transfers    []*request
	transferEnds []float64
	arrivals     demand.Load // since the last call of control
	// longArrivals is the prefill work of the prompts among them that are too
	// long for mixed engines to prefill in time.
	longArrivals float64
	requests     []*request
	res          result
	crashAt      float64
}

func run(su setup, p policy) result {
	s := &sim{
		setup:    su,
		rng:      rand.New(rand.NewPCG(su.seed, 1)),
		rngFault: rand.New(rand.NewPCG(su.seed, 2)),
		crashAt:  math.Inf(1),
	}
	for i, r := range p.roles(su.engines) {
		s.engines = append(s.engines, &engine{
			id:      msg.TargetID(fmt.Sprintf("t%02d", i)),
			domain:  msg.FailureDomain(fmt.Sprintf("d%d", i%su.domains)),
			role:    r,
			stepEnd: math.Inf(1),
			changed: -1000,
		})
	}
	if su.faults.crashEvery > 0 {
		s.crashAt = warmUp
	}
	s.loop(p)
	s.res.policy = p.name()
	s.res.split, _ = p.(fixedSplit)
	s.countResults()
	return s.res
}

func (s *sim) loop(p policy) {
	control := controlEvery
	at, size := s.mix.nextArrival(s.rng, 0, s.load)
	for {
		e, step := s.nextStep()
		transferEnd := math.Inf(1)
		if len(s.transferEnds) > 0 {
			transferEnd = s.transferEnds[0]
		}
		s.now = min(control, at, step, transferEnd, s.crashAt)
		if s.now > warmUp+s.length {
			return
		}
		switch s.now {
		case control:
			s.advanceStates()
			p.control(s)
			s.arrivals, s.longArrivals = demand.Load{}, 0
			control += controlEvery
		case at:
			s.arrive(size)
			at, size = s.mix.nextArrival(s.rng, s.now, s.load)
		case step:
			s.finishStep(e)
		case transferEnd:
			s.finishTransfer()
		default:
			s.crash(s.engines[s.rngFault.IntN(len(s.engines))], restartTime)
			s.crashAt = s.now + s.rngFault.ExpFloat64()*s.faults.crashEvery
		}
	}
}

func (s *sim) nextStep() (*engine, float64) {
	var best *engine
	end := math.Inf(1)
	for _, e := range s.engines {
		if e.stepEnd < end {
			best, end = e, e.stepEnd
		}
	}
	return best, end
}

func (s *sim) arrive(size requestSize) {
	r := &request{arrived: s.now, prompt: size.prompt, output: size.output, promptLeft: size.prompt}
	s.requests = append(s.requests, r)
	w := size.work()
	s.arrivals.Prefill += w.Prefill
	s.arrivals.Decode += w.Decode
	if size.prompt > demand.LongPromptTokens {
		s.longArrivals += w.Prefill
	}
	s.route(r)
}

// route assigns a request to engines. It refuses the request if its first token
// would be late or no batch place for decoding is free. Long prompts go to
// dedicated engines if possible, and others to the less loaded batch.
func (s *sim) route(r *request) {
	prefill, first := s.bestPrefill(msg.RolePrefill, r)
	place := s.bestDecoder()
	mixed, mixedFirst := s.bestPrefill(msg.RoleMixed, r)
	split := place != nil && first <= maxExpectedFirstToken
	whole := mixed != nil && mixedFirst <= maxExpectedFirstToken
	switch {
	case !split && !whole:
		return
	case !split, whole && r.prompt <= demand.LongPromptTokens && mixed.fill() < place.fill():
		prefill, place = mixed, mixed
	}
	r.decoder = place
	place.reserved++
	prefill.queue = append(prefill.queue, r)
	prefill.beginStep(s.now)
}

func (s *sim) bestPrefill(role msg.Role, r *request) (*engine, float64) {
	var best *engine
	first := math.Inf(1)
	for _, e := range s.engines {
		if e.role != role || e.state != serving || (role == msg.RoleMixed && e.reserved >= e.batchLimit()) {
			continue
		}
		if f := e.expectedFirstToken(s.now, r.prompt); f < first {
			best, first = e, f
		}
	}
	return best, first
}

// bestDecoder returns the decode engine with the fewest reserved places. If
// all decode engines are full, it returns the mixed engine with the fewest
// reserved places, or nil if those are full too.
func (s *sim) bestDecoder() *engine {
	for _, role := range []msg.Role{msg.RoleDecode, msg.RoleMixed} {
		var best *engine
		for _, e := range s.engines {
			if e.role != role || e.state != serving || e.reserved >= e.batchLimit() {
				continue
			}
			if best == nil || e.reserved < best.reserved {
				best = e
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (s *sim) finishStep(e *engine) {
	prefilled, _ := e.endStep(s.now)
	for _, r := range prefilled {
		r.first = s.now
		r.generated++
		if r.decoder == e {
			e.joining = append(e.joining, r)
			continue
		}
		s.transfers = append(s.transfers, r)
		s.transferEnds = append(s.transferEnds, s.now+transferTime)
	}
	e.beginStep(s.now)
}

func (s *sim) finishTransfer() {
	r := s.transfers[0]
	s.transfers, s.transferEnds = s.transfers[1:], s.transferEnds[1:]
	if r.failed {
		return
	}
	r.decoder.joining = append(r.decoder.joining, r)
	r.decoder.beginStep(s.now)
}

// advanceStates ends the drains, changes and outages that are over.
func (s *sim) advanceStates() {
	s.domainOutage()
	for _, e := range s.engines {
		switch {
		case e.state == draining && (e.idle() || s.now >= e.until):
			s.moveAll(e)
			e.state, e.until = changing, s.now+changeTime
		case e.state == changing && s.now >= e.until:
			s.finishChange(e)
		case e.state == down && s.now >= e.until:
			e.state = serving
		}
	}
}

func (s *sim) finishChange(e *engine) {
	if s.rngFault.Float64() < s.faults.changeFails {
		s.crash(e, restartTime)
		return
	}
	e.previous, e.role, e.state, e.changed = e.role, e.to, serving, s.now
}

// startChange starts a role change, which begins with a drain.
func (s *sim) startChange(e *engine, to msg.Role) {
	e.to, e.state, e.until = to, draining, s.now+drainLimit
	if s.now >= warmUp {
		s.res.changes++
	}
}

// moveAll moves the responses that still run on an engine to others. Prompts
// in its queue fail.
func (s *sim) moveAll(e *engine) {
	running := append(append([]*request{}, e.decoding...), e.joining...)
	for _, r := range e.queue {
		r.failed = true
		r.decoder.reserved--
	}
	e.queue, e.decoding, e.joining = nil, nil, nil
	e.stepEnd = math.Inf(1)
	for _, r := range running {
		e.reserved--
		if r.decoder = s.bestDecoder(); r.decoder == nil {
			r.failed = true
			continue
		}
		r.decoder.reserved++
		r.ended += moveDelay
		r.decoder.joining = append(r.decoder.joining, r)
		r.decoder.beginStep(s.now)
	}
}

// crash takes an engine down for a number of seconds. The requests on it fail,
// and so do those that are being transferred to it. Requests that are still
// being prefilled on other engines get another engine for decoding.
func (s *sim) crash(e *engine, outage float64) {
	lost := append(append(append([]*request{}, e.decoding...), e.joining...), e.queue...)
	for _, r := range lost {
		r.failed = true
		r.decoder.reserved--
	}
	for _, r := range s.transfers {
		if r.decoder == e {
			r.failed = true
		}
	}
	for _, other := range s.engines {
		for _, r := range other.queue {
			if r.decoder == e && !r.failed {
				r.decoder = s.bestDecoder()
				if r.decoder == nil {
					r.decoder = other
				}
				r.decoder.reserved++
			}
		}
	}
	e.queue, e.decoding, e.joining, e.reserved = nil, nil, nil, 0
	e.wentDown = s.now
	e.state, e.until, e.stepEnd = down, s.now+outage, math.Inf(1)
}

func (s *sim) domainOutage() {
	f := s.faults
	if f.domainFor == 0 || s.now < f.domainAt || s.now >= f.domainAt+controlEvery {
		return
	}
	for _, e := range s.engines {
		if e.domain == "d0" {
			s.crash(e, f.domainFor)
		}
	}
}

func (s *sim) countResults() {
	s.res.perSecond = make([]int, int(warmUp+s.length)+1)
	for _, r := range s.requests {
		if r.arrived < warmUp || r.arrived > warmUp+s.length-tail {
			continue
		}
		s.res.offered++
		if r.good() {
			s.res.good++
			s.res.perSecond[int(r.arrived)]++
		}
	}
}
