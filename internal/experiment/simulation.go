package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Times of the deployment around the decisions.
const (
	hop       = 1500 * time.Microsecond
	peerDelay = time.Millisecond
	tickEvery = 100 * time.Millisecond
	listEvery = time.Second
	// settle is how long engines and daemons run before the first request:
	// roles are ordered one at a time.
	settle = 12 * time.Second
	// drain is how long requests may end after the last one came.
	drain = 6 * time.Second
)

// happening is something that happens at an instant.
type happening struct {
	at  time.Duration
	seq int
	do  func()
}

// agenda is a heap of what is to happen.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements [heap.Interface].
func (a *agenda) Push(x any) {
	h, _ := x.(happening)
	*a = append(*a, h)
}

// Pop implements [heap.Interface].
func (a *agenda) Pop() any {
	old := *a
	h := old[len(old)-1]
	*a = old[:len(old)-1]
	return h
}

// world is a deployment in virtual time.
type world struct {
	spec    *Spec
	now     time.Duration
	rand    *rand.Rand
	seq     int
	agenda  agenda
	engines []*engine
	byAddr  map[string]*engine
	entries []*entry
	result  *Result
}

// Run plays an experiment.
func Run(spec *Spec) *Result {
	w := &world{
		spec: spec, rand: newRand(spec.Seed),
		byAddr: make(map[string]*engine), result: newResult(spec),
	}
	w.addEngines()
	w.addEntries()
	w.addCallers()
	w.addFaults()
	w.run(settle + spec.Duration + drain)
	w.result.finish()
	return w.result
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func (w *world) nextSeq() int {
	w.seq++
	return w.seq
}

func (w *world) at(t time.Duration, do func()) {
	heap.Push(&w.agenda, happening{max(t, w.now), w.nextSeq(), do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// every repeats something until the end.
func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

func (w *world) run(until time.Duration) {
	for len(w.agenda) > 0 {
		h, _ := heap.Pop(&w.agenda).(happening)
		if h.at > until {
			return
		}
		w.now = h.at
		h.do()
	}
}

func (w *world) domain(i int) msg.FailureDomain {
	return msg.FailureDomain(fmt.Sprintf("d%d", i%w.spec.Domains))
}

func (w *world) addEngines() {
	for i := range w.spec.Engines.Count {
		in := msg.Instance{
			Target: msg.TargetID(fmt.Sprintf("engine-%02d", i)), Service: serviceID, Addr: fmt.Sprintf("10.0.0.%d:1", i),
			Domain: w.domain(i), Slots: w.spec.Engines.Slots, Role: msg.RoleDecode, StartedMS: 1,
		}
		e := newEngine(w, in)
		w.engines = append(w.engines, e)
		w.byAddr[in.Addr] = e
	}
}

// list is what engines have registered: those that are down have lapsed.
func (w *world) list() []msg.Instance {
	var list []msg.Instance
	for _, e := range w.engines {
		if !e.down {
			list = append(list, e.in)
		}
	}
	return list
}

func (w *world) addEntries() {
	var hosts []msg.Host
	for i := range w.spec.Entries {
		hosts = append(hosts, msg.Host{Host: msg.HostID(fmt.Sprintf("entry-%02d", i)), Domain: w.domain(i), Kind: msg.HostEntry})
	}
	for i, h := range hosts {
		w.entries = append(w.entries, newEntry(w, h, uint64(i)))
	}
	for i, e := range w.entries {
		e.begin(hosts, i == 0)
		// Daemons do not tick in step.
		w.at(time.Duration(i)*tickEvery/time.Duration(len(hosts)), func() {
			w.every(tickEvery, e.tick)
			w.every(listEvery, func() { e.step(msg.InstancesChanged{Instances: w.list()}) })
		})
	}
}

func (w *world) addFaults() {
	for _, f := range w.spec.Faults {
		w.at(settle+f.At, func() {
			for _, i := range w.rand.Perm(len(w.engines))[:min(f.Count, len(w.engines))] {
				w.engines[i].suffer(f)
			}
		})
	}
}

// suffer applies a fault to the engine.
func (e *engine) suffer(f Fault) {
	switch f.What {
	case "crash":
		e.crash(f.For)
	case "slow":
		e.slow = f.Factor
		e.w.after(f.For, func() { e.slow = 1 })
	case "lose":
		const share = 1.0 / 3
		e.loseBy = share
		e.w.after(f.For, func() { e.loseBy = 0 })
	}
}
