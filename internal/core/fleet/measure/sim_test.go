package measure

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/fleet/demand"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// A run is warmUp + length seconds. Arrivals of the warm-up are not
	// counted, nor those of the tail, whose answers may not end in the run.
	warmUp       = 120.0
	tail         = 20.0
	controlEvery = 1.0
)

// policy decides about role changes.
type policy interface {
	name() string
	// roles returns the roles at the start.
	roles(n int) []msg.Role
	// control is called every second and starts changes by calling change.
	control(s *sim)
}

// faults says what fails during a run.
type faults struct {
	// crashEvery is the mean time between crashes of single engines.
	crashEvery float64
	// changeFails is the share of role changes that crash partway.
	changeFails float64
	// domainOut takes one failure domain away from domainAt for domainFor.
	domainAt, domainFor float64
}

// setup is one run.
type setup struct {
	mix     mix
	engines int
	domains int
	load    float64
	faults  faults
	seed    uint64
	length  float64
}

// result is what a run showed after its warm-up.
type result struct {
	policy  string
	split   fixed // of a fixed policy
	good    int
	offered int
	changes int
	// perSecond counts the good answers by second of arrival.
	perSecond []int
}

type sim struct {
	setup
	now      float64
	rng      *rand.Rand
	rngFault *rand.Rand
	engines  []*engine
	transfer []*request // on their way to their place, in order of arrival
	arriveAt []float64
	arrivals demand.Load // since the last control
	// longArrivals is the prefill work of prompts that mixed engines can't
	// answer in time.
	longArrivals float64
	all          []*request
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
	s.res.split, _ = p.(fixed)
	s.count()
	return s.res
}

func (s *sim) loop(p policy) {
	control := controlEvery
	at, sh := s.mix.next(s.rng, 0, s.load)
	for {
		e, step := s.nextStep()
		moved := math.Inf(1)
		if len(s.arriveAt) > 0 {
			moved = s.arriveAt[0]
		}
		s.now = min(control, at, step, moved, s.crashAt)
		if s.now > warmUp+s.length {
			return
		}
		switch s.now {
		case control:
			s.progress()
			p.control(s)
			s.arrivals, s.longArrivals = demand.Load{}, 0
			control += controlEvery
		case at:
			s.arrive(sh)
			at, sh = s.mix.next(s.rng, s.now, s.load)
		case step:
			s.finishStep(e)
		case moved:
			s.join()
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

func (s *sim) arrive(sh shape) {
	r := &request{arrived: s.now, prompt: sh.prompt, output: sh.output, left: sh.prompt}
	s.all = append(s.all, r)
	w := sh.work()
	s.arrivals.Prefill += w.Prefill
	s.arrivals.Decode += w.Decode
	if sh.prompt > demand.LongPrompt {
		s.longArrivals += w.Prefill
	}
	s.route(r)
}

// route places a request, or refuses it when its first token would be late or
// no place for decoding is left. Long prompts go to dedicated engines first;
// others where the batches are emptier.
func (s *sim) route(r *request) {
	prefill, first := s.bestPrefill(msg.RolePrefill, r)
	place := s.bestPlace()
	mixed, mixedFirst := s.bestPrefill(msg.RoleMixed, r)
	split := place != nil && first <= admitWithin
	whole := mixed != nil && mixedFirst <= admitWithin
	switch {
	case !split && !whole:
		return
	case !split, whole && r.prompt <= demand.LongPrompt && mixed.fill() < place.fill():
		prefill, place = mixed, mixed
	}
	r.place = place
	place.reserved++
	prefill.queue = append(prefill.queue, r)
	prefill.begin(s.now)
}

func (s *sim) bestPrefill(role msg.Role, r *request) (*engine, float64) {
	var best *engine
	first := math.Inf(1)
	for _, e := range s.engines {
		if e.role != role || e.state != serving || (role == msg.RoleMixed && e.reserved >= e.batch()) {
			continue
		}
		if f := e.firstTokenIn(s.now, r.prompt); f < first {
			best, first = e, f
		}
	}
	return best, first
}

// bestPlace returns the emptiest engine for decoding.
func (s *sim) bestPlace() *engine {
	for _, role := range []msg.Role{msg.RoleDecode, msg.RoleMixed} {
		var best *engine
		for _, e := range s.engines {
			if e.role != role || e.state != serving || e.reserved >= e.batch() {
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
	prefilled, _ := e.end(s.now)
	for _, r := range prefilled {
		r.first = s.now
		r.got++
		if r.place == e {
			e.joining = append(e.joining, r)
			continue
		}
		s.transfer = append(s.transfer, r)
		s.arriveAt = append(s.arriveAt, s.now+transferTime)
	}
	e.begin(s.now)
}

func (s *sim) join() {
	r := s.transfer[0]
	s.transfer, s.arriveAt = s.transfer[1:], s.arriveAt[1:]
	if r.spoilt {
		return
	}
	r.place.joining = append(r.place.joining, r)
	r.place.begin(s.now)
}

// progress ends drains, changes and outages.
func (s *sim) progress() {
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

// change starts a role change with a drain.
func (s *sim) change(e *engine, to msg.Role) {
	e.to, e.state, e.until = to, draining, s.now+drainLimit
	if s.now >= warmUp {
		s.res.changes++
	}
}

// moveAll hands what still runs on an engine to others.
func (s *sim) moveAll(e *engine) {
	left := append(append([]*request{}, e.decoding...), e.joining...)
	for _, r := range e.queue {
		r.spoilt = true
		r.place.reserved--
	}
	e.queue, e.decoding, e.joining = nil, nil, nil
	e.stepEnd = math.Inf(1)
	for _, r := range left {
		e.reserved--
		if r.place = s.bestPlace(); r.place == nil {
			r.spoilt = true
			continue
		}
		r.place.reserved++
		r.ended += moveGap
		r.place.joining = append(r.place.joining, r)
		r.place.begin(s.now)
	}
}

// crash takes an engine down for a while; what ran there is lost.
func (s *sim) crash(e *engine, outage float64) {
	lost := append(append(append([]*request{}, e.decoding...), e.joining...), e.queue...)
	for _, r := range lost {
		r.spoilt = true
		r.place.reserved--
	}
	for _, r := range s.transfer {
		if r.place == e {
			r.spoilt = true
		}
	}
	for _, other := range s.engines {
		for _, r := range other.queue {
			if r.place == e && !r.spoilt {
				r.place = s.bestPlace()
				if r.place == nil {
					r.place = other
				}
				r.place.reserved++
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

func (s *sim) count() {
	s.res.perSecond = make([]int, int(warmUp+s.length)+1)
	for _, r := range s.all {
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
