package core

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/platformpoll"
)

// The tests that use directFleet run the reducers of many entry daemons of the
// direct path under a load, in virtual time, against one store and simulated targets.

const (
	// fleetContact is the time after which daemons must act on what one of them has
	// learnt.
	fleetContact = 3 * time.Second
	// fleetHop is the latency between a daemon and a target or another daemon, and
	// fleetStoreDelay that of a call to the store.
	fleetHop        = 1500 * time.Microsecond
	fleetStoreDelay = 4 * time.Millisecond
	// fleetCrashDelay is how long a target runs a request that crashes it, and
	// fleetDowntime how long it is then down.
	fleetCrashDelay = 20 * time.Millisecond
	fleetDowntime   = 3 * time.Second
	// fleetLapse is how long the list of targets shows a target that is down.
	fleetLapse = 6 * time.Second
	// crashingBody is the body hash of the request that crashes its targets.
	crashingBody = 666
	// crashingSegment is the ID of the prompt segment that crashes targets.
	crashingSegment = 66_666
)

// directFleet is a deployment in virtual time.
type directFleet struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Duration
	seq     int
	queue   fleetQueue
	objects *coretest.Objects
	// era is the era of the store, and snapshot an older copy of it.
	era      msg.StoreEra
	snapshot *coretest.Objects
	// storeDownUntil is when an outage of the store ends.
	storeDownUntil time.Duration
	// datagramLoss is the probability with which a datagram is lost.
	datagramLoss float64
	entries      []*fleetEntry
	targets      []*fleetTarget
	byAddr       map[string]*fleetTarget
	// harmlessPrefill is set if the requests that crash targets do not crash those
	// that only prefill them.
	harmlessPrefill bool
	// crashes holds the times at which such a request crashed a target, and
	// crashingSends those at which one reached a target.
	crashes, crashingSends []time.Duration
	refusals               map[string]int
	answered               int
	// unframed is the probability with which a response ends with its connection.
	unframed float64
}

// fleetRequest is a request that was sent to an entry.
type fleetRequest struct {
	msg.DirectRequestArrived
	at time.Duration
	// began reports whether its response has begun.
	began bool
	// stream is the stream of a resumable route that the request is a part of.
	stream *fleetStream
}

// crashesTargets reports whether a request crashes each target that runs it.
func (r *fleetRequest) crashesTargets() bool {
	return r.BodyHash == crashingBody || slices.ContainsFunc(r.Segments, func(s msg.PromptSegment) bool { return s.ID == crashingSegment })
}

// fleetEvent is an action at a point in virtual time.
type fleetEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	old := *q
	ev := old[len(old)-1]
	*q = old[:len(old)-1]
	return ev
}

// fleetEntry is a host with one entry daemon. Results for an earlier process are
// dropped.
type fleetEntry struct {
	fleet   *directFleet
	host    msg.HostID
	domain  msg.FailureDomain
	life    int
	started time.Duration
	reducer *Direct
	// era is the latest era of the store that the process has seen.
	era msg.StoreEra
	// arrived holds the requests, and targets the targets of the open attempts.
	arrived map[msg.RequestID]*fleetRequest
	targets map[msg.AttemptID]*fleetTarget
}

// newDirectFleet returns a fleet that has run for some seconds without a load.
func newDirectFleet(t *testing.T, entries, engines int) *directFleet {
	f := &directFleet{
		t: t, rand: rand.New(rand.NewPCG(1, uint64(entries))), objects: coretest.NewObjects(),
		byAddr: make(map[string]*fleetTarget), refusals: make(map[string]int), era: 1,
	}
	for i := range engines + 4 {
		in := msg.Instance{
			Target: msg.TargetID(fmt.Sprint("t", i)), Service: "llm", Addr: fmt.Sprintf("10.0.0.%d:1", i),
			Domain: msg.FailureDomain(fmt.Sprint("d", i%3)), Slots: 64, Role: msg.RoleDecode, StartedMS: 1, Version: "v1",
		}
		if i >= engines {
			in.Service, in.Slots, in.Role = "app", 6, msg.RoleMixed
		}
		f.addTarget(in)
	}
	for i := range entries {
		e := &fleetEntry{fleet: f, host: msg.HostID(fmt.Sprintf("entry-%03d", i)), domain: msg.FailureDomain(fmt.Sprint("d", i%3))}
		f.entries = append(f.entries, e)
		f.after(time.Duration(f.rand.Int64N(int64(msg.TickInterval))), e.start)
	}
	f.run(10 * time.Second)
	return f
}

func (f *directFleet) addTarget(in msg.Instance) {
	t := &fleetTarget{fleet: f, instance: in, jobs: make(map[msg.AttemptID]*fleetJob), told: make(map[fleetProcess]time.Duration)}
	f.targets = append(f.targets, t)
	f.byAddr[in.Addr] = t
}

func (f *directFleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, fleetEvent{f.now + d, f.seq, do})
}

// every repeats an action for as long as it returns true.
func (f *directFleet) every(d time.Duration, do func() bool) {
	f.after(d, func() {
		if do() {
			f.every(d, do)
		}
	})
}

// run lets time pass.
func (f *directFleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		ev := heap.Pop(&f.queue).(fleetEvent)
		f.now = ev.at
		ev.do()
	}
	f.now = end
}

// rewind makes the store continue from its snapshot. Each daemon notices with its next
// call.
func (f *directFleet) rewind() {
	f.objects = f.snapshot.Snapshot()
	f.era++
}

func (f *directFleet) wall() time.Time { return time.Unix(1_000_000, 0).Add(f.now) }

// load makes requests arrive at random entries at a constant mean rate, until the
// given time has passed.
func (f *directFleet) load(perSecond float64, d time.Duration) {
	end := f.now + d
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		f.send(f.rand.Uint64(), f.rand.IntN(4) > 0)
		f.after(time.Duration(f.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// send sends a request to a random entry: a prompt, or a request of a plain service.
func (f *directFleet) send(body uint64, prompt bool) {
	f.sendTo(f.entries[f.rand.IntN(len(f.entries))], body, prompt)
}

func (f *directFleet) sendTo(e *fleetEntry, body uint64, prompt bool) {
	f.seq++
	ev := msg.DirectRequestArrived{
		Req: msg.RequestID(fmt.Sprint(f.seq)), CallerID: fmt.Sprint(f.seq), Host: "h", Method: "POST", Path: "/lookup/x",
		BodyHash: body, Timeout: 5 * time.Second,
	}
	if prompt {
		ev.Path = "/chat/x"
		ev.PromptTokens, ev.MaxTokens = 3000, 100
		ev.Segments = []msg.PromptSegment{{ID: body % 200, Tokens: 2000}, {ID: body, Tokens: 1000}}
	}
	e.deliver(ev)
}

// deliver delivers a request to the entry.
func (e *fleetEntry) deliver(ev msg.DirectRequestArrived) *fleetRequest {
	r := &fleetRequest{DirectRequestArrived: ev, at: e.fleet.now}
	e.arrived[ev.Req] = r
	e.step(ev)
	return r
}

func fleetRoutes() *msg.RouteTable {
	route := func(name string, service msg.ServiceID, retry msg.RetryMode, attempts int) msg.DirectRoute {
		return msg.DirectRoute{
			Name: msg.RouteID(name), Host: "h", Prefix: "/" + name + "/", Shares: []msg.ServiceShare{{Service: service, Weight: 1}},
			Retry: retry, Attempts: attempts, Public: true, Timeout: 5 * time.Second, Objective: 800 * time.Millisecond,
		}
	}
	talk := route("talk", "llm", msg.RetryStream, 2)
	talk.Resumable = true
	return &msg.RouteTable{
		Version:  1,
		Routes:   []msg.DirectRoute{route("chat", "llm", msg.RetryStream, 1), route("lookup", "app", msg.RetryIdempotent, 2), talk},
		Services: []msg.DirectService{{Service: "llm", MaxConns: 480, Engine: &msg.EngineSpec{Slots: 64, CacheTokens: 470_000, TokenBytes: 18432, LinkMbps: 740_000}}, {Service: "app", MaxConns: 220, HealthPath: "/health"}},
	}
}

// start starts a new process on the host.
func (e *fleetEntry) start() {
	f := e.fleet
	e.life++
	life := e.life
	e.breakStreams()
	e.started = f.now
	e.era = 0
	e.arrived = make(map[msg.RequestID]*fleetRequest)
	e.targets = make(map[msg.AttemptID]*fleetTarget)
	inc := msg.Incarnation(fmt.Sprint("life-", life))
	self := msg.Self{Host: e.host, Domain: e.domain, Kind: msg.HostEntry}
	e.reducer = NewDirect(DirectConfig{
		Self: self, Incarnation: inc, PeerAddr: string(e.host) + ":1",
		Limits:       msg.DirectLimits{AcceptMaxAge: 4 * time.Second, RejectMaxAge: 2 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 90},
		PlatformPoll: platformpoll.Config{RoutesInterval: time.Second, InstancesInterval: time.Second},
		LeaseTurn:    3 * time.Second,
	})
	e.step(msg.Started{Self: self, Incarnation: inc, Seed: f.rand.Uint64(), Wall: f.wall()})
	f.every(msg.TickInterval, func() bool {
		if e.life != life {
			return false
		}
		e.step(msg.Tick{Wall: f.wall()})
		return true
	})
}

func (e *fleetEntry) step(ev msg.Event) {
	for _, eff := range e.reducer.Step(e.fleet.now-e.started, ev) {
		e.execute(eff)
	}
}

// later delivers an event after a delay, unless the process has ended by then.
func (e *fleetEntry) later(d time.Duration, ev msg.Event) {
	life := e.life
	e.fleet.after(d, func() {
		if e.life == life {
			e.step(ev)
		}
	})
}

func (e *fleetEntry) execute(eff msg.Effect) {
	f := e.fleet
	switch eff := eff.(type) {
	case msg.StartDirectAttempt:
		e.startAttempt(eff)
	case msg.CancelAttempt:
		e.cancel(eff.Attempt)
	case msg.RefuseRequest:
		f.refusals[eff.Code]++
		e.arrived[eff.Req].breakOff()
	case msg.AbortRequest:
		e.arrived[eff.Req].breakOff()
	case msg.FinishRequest:
		f.answered++
		e.arrived[eff.Req].finish()
	case msg.SendPeer:
		e.sendPeer(eff)
	case msg.ChangeRole:
		f.after(2*time.Second, func() { f.byAddr[eff.Addr].instance.Role = eff.Role })
		e.later(fleetHop, msg.RoleChangeDone{Call: eff.Call})
	case msg.ProbeTarget:
		e.probe(eff)
	case msg.ReadRoutes:
		sent := f.now - e.started
		e.callLater(func() msg.Event { return e.routesRead(eff, sent) })
	case msg.ReadInstances:
		sent := f.now - e.started
		e.callLater(func() msg.Event { return e.instancesRead(eff, sent) })
	default:
		e.callStore(eff)
	}
}

func (e *fleetEntry) storeDown() bool { return e.fleet.now < e.fleet.storeDownUntil }

func (e *fleetEntry) routesRead(eff msg.ReadRoutes, sent msg.Time) msg.Event {
	if e.storeDown() {
		return msg.RoutesRead{Call: eff.Call, Status: msg.CallUnavailable}
	}
	return msg.RoutesRead{Call: eff.Call, Sent: sent, Table: fleetRoutes()}
}

func (e *fleetEntry) instancesRead(eff msg.ReadInstances, sent msg.Time) msg.Event {
	if e.storeDown() {
		return msg.InstancesRead{Call: eff.Call, Status: msg.CallUnavailable}
	}
	list, rev := e.fleet.listed()
	return msg.InstancesRead{Call: eff.Call, Sent: sent, Era: e.fleet.era, Revision: rev, Instances: list}
}

// listed returns the list of targets that the store shows.
func (f *directFleet) listed() ([]msg.Instance, msg.Revision) {
	var list []msg.Instance
	for _, t := range f.targets {
		if !t.gone && (!t.down || f.now-t.downAt < fleetLapse) {
			list = append(list, t.instance)
		}
	}
	return list, msg.Revision(f.now + 1)
}

// callLater executes a call to the store after a delay and delivers its result. A new
// era is reported first, as the driver does.
func (e *fleetEntry) callLater(call func() msg.Event) {
	life := e.life
	f := e.fleet
	f.after(fleetStoreDelay, func() {
		ev := call()
		if ev == nil || e.life != life {
			return
		}
		if !e.storeDown() && e.era != f.era {
			changed := msg.StoreEraChanged{Era: f.era, Previous: e.era}
			e.era = f.era
			e.step(changed)
		}
		e.step(ev)
	})
}

func (e *fleetEntry) callStore(eff msg.Effect) {
	e.callLater(func() msg.Event {
		if e.storeDown() {
			ev, _ := coretest.Failed(eff, msg.CallUnavailable)
			return ev
		}
		ev, _ := e.fleet.objects.Do(eff)
		return ev
	})
}

func (e *fleetEntry) sendPeer(eff msg.SendPeer) {
	f := e.fleet
	if f.rand.Float64() < f.datagramLoss {
		return
	}
	var n int
	if _, err := fmt.Sscanf(string(eff.To), "entry-%d", &n); err != nil {
		f.t.Fatal(err)
	}
	f.entries[n].later(fleetHop, msg.PeerReceived{From: e.host, Message: eff.Message})
}

func (e *fleetEntry) startAttempt(eff msg.StartDirectAttempt) {
	f := e.fleet
	target := f.byAddr[eff.Spec.Addr]
	e.targets[eff.Attempt] = target
	j := &fleetJob{entry: e, life: e.life, start: eff, request: e.arrived[eff.Req]}
	f.after(fleetHop, func() { target.submit(j) })
}

func (e *fleetEntry) cancel(id msg.AttemptID) {
	target := e.targets[id]
	if target == nil {
		return
	}
	delete(e.targets, id)
	e.fleet.after(fleetHop, func() { delete(target.jobs, id) })
	e.later(fleetHop, msg.DirectAttemptEnded{Attempt: id, Result: msg.DirectCancelled})
}

func (e *fleetEntry) probe(eff msg.ProbeTarget) {
	f := e.fleet
	f.after(fleetHop, func() {
		result := msg.ProbeUp
		if f.byAddr[eff.Addr].down {
			result = msg.ProbeDown
		}
		e.later(fleetHop, msg.TargetProbed{Call: eff.Call, Target: eff.Target, Result: result})
	})
}
