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
	// sharedSegments is the number of segments of which each stream's prompt shares one;
	// 0 counts as 1.
	sharedSegments int
	// unframed is the probability with which a response ends with its connection.
	unframed float64
	// accounts holds the accounts with quotas, and tableVersion the version of the
	// configuration that names them.
	accounts     map[msg.AccountID]*fleetAccount
	tableVersion uint64
}

// fleetRequest is a request that was sent to an entry.
type fleetRequest struct {
	msg.DirectRequestArrived
	at time.Duration
	// began reports whether its response has begun.
	began bool
	// answeredAt is when the whole response had arrived; 0 until then.
	answeredAt time.Duration
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

// newDirectFleet returns a fleet that has run for some seconds without a load.
func newDirectFleet(t *testing.T, entries, engines int) *directFleet {
	return newSeededFleet(t, entries, engines, 1)
}

// newSeededFleet is newDirectFleet with a seed.
func newSeededFleet(t *testing.T, entries, engines int, seed uint64) *directFleet {
	f := &directFleet{
		t: t, rand: rand.New(rand.NewPCG(seed, uint64(entries))), objects: coretest.NewObjects(),
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

// killAll ends all entry daemons at once. They start again after some time.
func (f *directFleet) killAll(downtime time.Duration) {
	for _, e := range f.entries {
		e.stop()
		f.after(downtime, e.start)
	}
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
func (f *directFleet) send(body uint64, prompt bool) *fleetRequest {
	return f.sendTo(f.entries[f.rand.IntN(len(f.entries))], body, prompt)
}

func (f *directFleet) sendTo(e *fleetEntry, body uint64, prompt bool) *fleetRequest {
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
	return e.deliver(ev)
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
