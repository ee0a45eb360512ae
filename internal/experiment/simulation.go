package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/virtualtime"
)

// Times of the simulated deployment.
const (
	// hopDelay is the latency between an entry and an engine, peerDelay that
	// between entries. Entries tick every tickInterval and read the list of
	// instances every instanceListInterval.
	hopDelay             = 1500 * time.Microsecond
	peerDelay            = time.Millisecond
	tickInterval         = 100 * time.Millisecond
	instanceListInterval = time.Second
	// warmUpTime is how long engines and entries run before the first request. The
	// initial roles are ordered one at a time, which takes a while.
	warmUpTime = 12 * time.Second
	// drainTime is how long the experiment continues after the last arrival, so
	// that open requests can end.
	drainTime = 6 * time.Second
)

// simulation is a deployment in virtual time.
type simulation struct {
	spec    *Spec
	now     time.Duration
	rand    *rand.Rand
	seq     int
	events  virtualtime.Queue
	engines []*engine
	byAddr  map[string]*engine
	// crashingShare is the fraction of the prompts of the first kind that now hold
	// crashingSegment.
	crashingShare float64
	entries       []*entry
	// drawn holds all requests.
	drawn  []*request
	result *Result
}

// Run simulates an experiment.
func Run(spec *Spec) *Result {
	sim := &simulation{
		spec: spec, rand: newRand(spec.Seed),
		byAddr: make(map[string]*engine), result: newResult(spec),
	}
	sim.addEngines()
	sim.addEntries()
	sim.scheduleRequests()
	sim.scheduleFaults()
	sim.run(warmUpTime + spec.Duration + drainTime)
	sim.result.finish()
	sim.result.Limit = sim.limit(sim.drawn)
	return sim.result
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func (sim *simulation) nextSeq() int {
	sim.seq++
	return sim.seq
}

// at schedules an action at time t, or now if t has passed.
func (sim *simulation) at(t time.Duration, do func()) {
	sim.events.Add(virtualtime.Event{At: max(t, sim.now), Seq: uint64(sim.nextSeq()), Run: do})
}

func (sim *simulation) after(d time.Duration, do func()) { sim.at(sim.now+d, do) }

// every repeats an action until the end of the experiment.
func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

// run runs the events up to the given time.
func (sim *simulation) run(until time.Duration) {
	for ev, ok := sim.events.Next(until); ok; ev, ok = sim.events.Next(until) {
		sim.now = ev.At
		ev.Run()
	}
}

func (sim *simulation) domain(i int) msg.FailureDomain {
	return msg.FailureDomain(fmt.Sprintf("d%d", i%sim.spec.Domains))
}

func (sim *simulation) addEngines() {
	for i := range sim.spec.Engines.Count {
		in := msg.Instance{
			Target: msg.TargetID(fmt.Sprintf("engine-%02d", i)), Service: serviceID, Addr: fmt.Sprintf("10.0.0.%d:1", i),
			Domain: sim.domain(i), Slots: sim.spec.Engines.Slots, Role: msg.RoleDecode, StartedMS: 1,
		}
		e := newEngine(sim, in)
		if speeds := sim.spec.Engines.Speeds; len(speeds) > 0 {
			e.lastingFactor = speeds[i%len(speeds)]
		}
		e.drawPace()
		sim.engines = append(sim.engines, e)
		sim.byAddr[in.Addr] = e
	}
}

// registeredInstances returns the registered instances. Engines that are down are
// missing, as their registrations have expired.
func (sim *simulation) registeredInstances() []msg.Instance {
	var list []msg.Instance
	for _, e := range sim.engines {
		if !e.down {
			list = append(list, e.instance)
		}
	}
	return list
}

func (sim *simulation) addEntries() {
	var hosts []msg.Host
	for i := range sim.spec.Entries {
		hosts = append(hosts, msg.Host{Host: msg.HostID(fmt.Sprintf("entry-%02d", i)), Domain: sim.domain(i), Kind: msg.HostEntry})
	}
	for i, h := range hosts {
		sim.entries = append(sim.entries, newEntry(sim, h, uint64(i)))
	}
	for i, e := range sim.entries {
		e.configure(hosts, i == 0)
		// The ticks are offset because real daemons don't tick at the same time.
		sim.at(time.Duration(i)*tickInterval/time.Duration(len(hosts)), func() {
			sim.every(tickInterval, e.tick)
			sim.every(instanceListInterval, func() { e.step(msg.InstancesChanged{Instances: sim.registeredInstances()}) })
		})
	}
}

func (sim *simulation) scheduleFaults() {
	for _, f := range sim.spec.Faults {
		sim.at(warmUpTime+f.At, func() {
			if f.Type == FaultCrashSegment {
				sim.crashingShare = f.Factor
				sim.after(f.For, func() { sim.crashingShare = 0 })
				return
			}
			for _, i := range sim.rand.Perm(len(sim.engines))[:min(f.Count, len(sim.engines))] {
				sim.engines[i].applyFault(f)
			}
		})
	}
}

// applyFault applies a fault to the engine.
func (e *engine) applyFault(f Fault) {
	switch f.Type {
	case FaultCrash:
		e.crash(f.For)
	case FaultSlow:
		e.slowFactor = f.Factor
		e.sim.after(f.For, func() { e.slowFactor = 1 })
	case FaultLose:
		const share = 1.0 / 3
		e.lossProbability = share
		e.sim.after(f.For, func() { e.lossProbability = 0 })
	default:
		e.applyNotice(f)
	}
}

// applyNotice makes the engine state something about itself for a period.
func (e *engine) applyNotice(f Fault) {
	switch f.Type {
	case FaultLimit:
		e.notice.RequestLimit = f.Factor
	case FaultReject:
		e.notice.RetryAfter = time.Duration(f.Factor * float64(time.Second))
	case FaultLeave:
		e.notice.Leaving = true
	}
	e.sim.after(f.For, func() {
		if e.notice.Leaving {
			e.crash(replacementTime)
		}
		e.notice = msg.TargetNotice{}
	})
}
