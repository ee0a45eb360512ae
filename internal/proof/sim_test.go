package proof

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	tick = 50 * time.Millisecond
	// callTimeout is the platform client's.
	callTimeout = 2 * time.Second
	platform    = msg.HostID("platform")
)

var epochStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// sim is the world: a queue of things to happen in virtual time.
type sim struct {
	now   time.Duration
	seq   uint64
	queue eventQueue
	rand  *rand.Rand
	muts  mutations

	objects  *coretest.Objects
	procs    map[msg.HostID]*proc
	hosts    []msg.Host
	listed   []msg.Host // what the lagging host list shows
	cut      map[[2]msg.HostID]bool
	store    storeMode
	loseRate float64 // of answers of the platform after their effect
	slow     time.Duration

	engines    map[msg.HostID]*engine
	requests   map[msg.RequestID]*callerRequest
	nextReq    int
	operations map[string]*operation
	version    int // of the model
	nextOp     int
	changes    map[msg.CallID]*change
	lastCall   msg.CallID
	keys       map[string]string     // id → account
	gone       []string              // withdrawn ids
	granted    map[string]msg.CallID // the last proposal that has a key
	usage      *usageInterface
	targets    *targetInterface
	oracle     *oracle
	planned    bool // no faults beside planned stops
}

type storeMode uint8

const (
	storeWell storeMode = iota
	storeOut
	storeSilent // calls are not answered and have no effect
)

type timed struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type eventQueue []timed

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timed)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, timed{s.now + d, s.seq, fn})
}

// run lets time pass.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end && s.oracle.broken == "" {
		x := heap.Pop(&s.queue).(timed)
		s.now = x.at
		x.fn()
	}
	s.now = end
}

func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rand.Int64N(int64(hi-lo)+1))
}

func (s *sim) chance(p float64) bool { return s.rand.Float64() < p }

// hop is the time of a message between two hosts.
func (s *sim) hop() time.Duration {
	if s.chance(0.05) {
		return s.between(5*time.Millisecond, 150*time.Millisecond)
	}
	return s.between(time.Millisecond, 5*time.Millisecond)
}

func (s *sim) reaches(from, to msg.HostID) bool { return !s.cut[[2]msg.HostID{from, to}] }

func (s *sim) wall(p *proc) time.Time { return epochStart.Add(s.now + p.skew) }

// proc is one process: a reducer and its driver.
type proc struct {
	s       *sim
	self    msg.Self
	inc     msg.Incarnation
	born    time.Duration
	skew    time.Duration
	reducer stepper
	dead    bool
	paused  bool
	stopped bool // asked to stop
	// blind is the last time at which the host list could not be read.
	blind    time.Duration
	closing  bool // about to exit
	closedAt time.Duration
	held     []func()
	peers    map[msg.HostID]bool // connections that are to be kept
	up       map[msg.HostID]bool
	leases   map[msg.LeaseName]msg.LeaseChanged
	gen      msg.Generation
	runs     map[msg.AttemptID]*sideRun
}

// now is the process's monotonic clock, which no other process knows.
func (p *proc) now() msg.Time { return p.s.now - p.born + time.Second }

// local runs fn in the driver of the process: at once, at the end of a pause,
// or never once the process is dead.
func (p *proc) local(fn func()) {
	switch {
	case p.dead:
	case p.paused:
		p.held = append(p.held, fn)
	default:
		fn()
	}
}

// later runs fn in the driver of the process after d.
func (p *proc) later(d time.Duration, fn func()) { p.s.after(d, func() { p.local(fn) }) }

func (p *proc) post(ev msg.Event) { p.local(func() { p.step(ev) }) }

func (p *proc) step(ev msg.Event) {
	ev = p.s.muts.event(ev)
	for _, eff := range p.reducer.Step(p.now(), ev) {
		p.execute(eff)
	}
}

// execute carries an effect out a little later, as the drivers do; a pause may
// fall between.
func (p *proc) execute(eff msg.Effect) {
	if line, ok := eff.(msg.LogLine); ok {
		p.tracef("%s: %s %v", line.Component, line.Text, line.Attrs)
		return
	}
	p.later(p.s.between(0, time.Millisecond), func() { p.drive(p.s.muts.effect(eff)) })
}

// tracing prints what happens, for the study of a failure.
var tracing = os.Getenv("PROOF_TRACE") != ""

func (p *proc) tracef(format string, args ...any) {
	if tracing {
		fmt.Printf("%10v %s %s\n", p.s.now.Round(time.Millisecond), p.inc, fmt.Sprintf(format, args...))
	}
}

func (p *proc) tick() {
	if p.dead {
		return
	}
	if !p.paused {
		p.step(msg.Tick{Wall: p.s.wall(p)})
	}
	p.s.after(tick, p.tick)
}

// start starts a process on a host whose former one is dead.
func (s *sim) start(h msg.Host) *proc {
	if old := s.procs[h.Host]; old != nil && !old.dead {
		panic("two processes on " + h.Host)
	}
	s.seq++
	p := &proc{
		s: s, inc: msg.Incarnation(fmt.Sprintf("%s-%d", h.Host, s.seq)), born: s.now,
		skew:  s.between(-200*time.Millisecond, 200*time.Millisecond),
		self:  msg.Self{Host: h.Host, Domain: h.Domain, Region: h.Region, Kind: h.Kind},
		peers: make(map[msg.HostID]bool), up: make(map[msg.HostID]bool),
		leases: make(map[msg.LeaseName]msg.LeaseChanged), runs: make(map[msg.AttemptID]*sideRun),
	}
	s.procs[h.Host] = p
	if h.Kind == msg.HostTarget {
		p.self.Target = &s.engines[h.Host].identity
	}
	p.reducer = p.newReducer()
	p.step(msg.Started{Self: p.self, Incarnation: p.inc, Seed: s.rand.Uint64(), Wall: s.wall(p)})
	s.after(s.between(0, tick), p.tick)
	s.after(time.Second, p.connections)
	return p
}

func (s *sim) kill(p *proc) {
	p.dead = true
	s.callersOf(p, "the entry was killed")
	if e := s.engines[p.self.Host]; e != nil {
		e.sideGone()
	}
}

func (s *sim) pause(p *proc) { p.paused = true }

// resume lets what was held up go on; a tick falls anywhere among it.
func (s *sim) resume(p *proc) {
	if !p.paused || p.dead {
		p.paused = false
		return
	}
	p.paused = false
	held := p.held
	p.held = nil
	at := s.rand.IntN(len(held) + 1)
	for i, fn := range held {
		if i == at {
			p.local(func() { p.step(msg.Tick{Wall: s.wall(p)}) })
		}
		p.local(fn)
	}
}

// connections tells the reducer of connections that came up or went silent.
func (p *proc) connections() {
	if p.dead {
		return
	}
	if p.paused || p.s.store != storeWell || !p.s.reaches(p.self.Host, platform) || !p.s.reaches(platform, p.self.Host) {
		p.blind = p.s.now
	}
	for _, h := range p.s.hosts {
		if !p.peers[h.Host] {
			continue
		}
		other := p.s.procs[h.Host]
		up := other != nil && !other.dead && !other.paused && p.s.reaches(p.self.Host, h.Host) && p.s.reaches(h.Host, p.self.Host)
		if up == p.up[h.Host] {
			continue
		}
		p.up[h.Host] = up
		p.post(connectionEvent(h.Host, up))
		if !up {
			p.postLost(h)
		}
	}
	p.s.after(time.Second, p.connections)
}

func connectionEvent(h msg.HostID, up bool) msg.Event {
	if up {
		return msg.PeerUp{Host: h}
	}
	return msg.PeerDown{Host: h}
}

func (p *proc) postLost(h msg.Host) {
	switch {
	case p.self.Kind == msg.HostTarget:
		p.post(msg.EntryDisconnected{Host: h.Host})
	case h.Kind == msg.HostTarget:
		p.post(msg.TargetUnreachable{Target: p.s.engines[h.Host].identity.Target, Host: h.Host})
	}
}
