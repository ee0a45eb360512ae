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
	// tick is the interval at which processes receive [msg.Tick].
	tick = 50 * time.Millisecond
	// callTimeout is the timeout of the daemons' platform client.
	callTimeout = 2 * time.Second
	// platform is the name of the platform in network partitions.
	platform = msg.HostID("platform")
)

// epochStart is the wall clock at virtual time 0.
var epochStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// sim simulates a deployment with its callers, targets, network and platform.
// One queue holds all future events in virtual time.
type sim struct {
	now       time.Duration
	seq       uint64
	queue     eventQueue
	rand      *rand.Rand
	mutations mutations

	objects *coretest.Objects
	procs   map[msg.HostID]*proc
	hosts   []msg.Host
	// listedHosts is the host list that the platform returns. It lags behind hosts.
	listedHosts []msg.Host
	// blocked contains the network directions {from, to} that drop all messages.
	blocked map[[2]msg.HostID]bool
	store   storeState
	// answerLossRate is the probability that the response to a platform call is
	// lost after the call has taken effect.
	answerLossRate float64
	// storeDelay is added to the latency of the object API.
	storeDelay time.Duration

	engines      map[msg.HostID]*engine
	requests     map[msg.RequestID]*callerRequest
	requestCount int
	// operations are the operations by account and idempotency key.
	operations map[string]*operation
	// modelVersion is the model version in the next manifest.
	modelVersion int
	// minEngines is the number of engines that the next manifest requires in each
	// failure domain.
	minEngines     int
	operationCount int
	changes        map[msg.CallID]*configChange
	lastCall       msg.CallID
	// keys maps the API key IDs in the next manifest to their accounts.
	keys map[string]string
	// withdrawnKeys are the IDs of the keys that the next manifest lacks.
	withdrawnKeys []string
	// lastGrant is the last proposal whose manifest contains a key ID.
	lastGrant map[string]msg.CallID
	usage     *usageEndpoint
	targets   *targetProvisioner
	oracle    *oracle
	// plannedOnly reports that the case has planned stops and configuration
	// changes, and no faults.
	plannedOnly bool
}

// storeState is the state of the platform's object API.
type storeState uint8

const (
	storeAvailable storeState = iota
	// storeUnavailable means that calls fail without an effect.
	storeUnavailable
	// storeUnresponsive means that calls have no effect and time out.
	storeUnresponsive
)

// scheduledEvent is a function that runs at a virtual time. Events of the same
// time run in the order of seq.
type scheduledEvent struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// after schedules fn to run after d.
func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, scheduledEvent{s.now + d, s.seq, fn})
}

// run advances virtual time by d. After a violation it runs no further events.
func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end && s.oracle.violation == "" {
		x := heap.Pop(&s.queue).(scheduledEvent)
		s.now = x.at
		x.fn()
	}
	s.now = end
}

// randomDuration returns a uniformly distributed duration from lo to hi.
func (s *sim) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rand.Int64N(int64(hi-lo)+1))
}

// chance returns true with probability p.
func (s *sim) chance(p float64) bool { return s.rand.Float64() < p }

// messageDelay draws the one-way latency of a message: 1 ms to 5 ms, and 5 ms
// to 150 ms for one message in twenty.
func (s *sim) messageDelay() time.Duration {
	if s.chance(0.05) {
		return s.randomDuration(5*time.Millisecond, 150*time.Millisecond)
	}
	return s.randomDuration(time.Millisecond, 5*time.Millisecond)
}

// reachable reports whether the network delivers messages in one direction.
func (s *sim) reachable(from, to msg.HostID) bool { return !s.blocked[[2]msg.HostID{from, to}] }

// wall returns the wall clock of a process, which is off by its clock skew.
func (s *sim) wall(p *proc) time.Time { return epochStart.Add(s.now + p.clockSkew) }

// proc is a process, which consists of a reducer and its driver.
type proc struct {
	s           *sim
	self        msg.Self
	incarnation msg.Incarnation
	startedAt   time.Duration
	clockSkew   time.Duration
	reducer     reducer
	dead        bool
	paused      bool
	// stopped reports that the process has received a request to stop.
	stopped bool
	// hostListFailedAt is the last time at which the process could not read the
	// host list.
	hostListFailedAt time.Duration
	// closing reports that the reducer has completed its stop and the driver shuts
	// down.
	closing  bool
	closedAt time.Duration
	// deferred are the driver functions that wait for the end of a pause.
	deferred []func()
	// peers are the hosts to which the reducer requested a connection.
	peers map[msg.HostID]bool
	// connected are the hosts whose connection was last reported as up.
	connected  map[msg.HostID]bool
	leases     map[msg.LeaseName]msg.LeaseChanged
	generation msg.Generation
	// attempts are the attempts on a side.
	attempts map[msg.AttemptID]*sideAttempt
}

// now returns the process's monotonic clock. It starts at one second with the
// process, so it can't be compared with that of another process.
func (p *proc) now() msg.Time { return p.s.now - p.startedAt + time.Second }

// runLocal runs fn in the driver of the process: immediately, at the end of a
// pause if the process is paused, or never if it is dead.
func (p *proc) runLocal(fn func()) {
	switch {
	case p.dead:
	case p.paused:
		p.deferred = append(p.deferred, fn)
	default:
		fn()
	}
}

// runLocalAfter runs fn in the driver of the process after d.
func (p *proc) runLocalAfter(d time.Duration, fn func()) { p.s.after(d, func() { p.runLocal(fn) }) }

// post passes an event to the reducer, at the end of a pause if the process is
// paused.
func (p *proc) post(ev msg.Event) { p.runLocal(func() { p.step(ev) }) }

// step passes an event to the reducer and schedules its effects.
func (p *proc) step(ev msg.Event) {
	ev = p.s.mutations.event(ev)
	for _, eff := range p.reducer.Step(p.now(), ev) {
		p.execute(eff)
	}
}

// execute performs an effect within a millisecond, as the real drivers do. The
// process may be paused or killed in between.
func (p *proc) execute(eff msg.Effect) {
	if line, ok := eff.(msg.LogLine); ok {
		p.tracef("%s: %s %v", line.Component, line.Text, line.Attrs)
		return
	}
	p.runLocalAfter(p.s.randomDuration(0, time.Millisecond), func() { p.perform(p.s.mutations.effect(eff)) })
}

// tracing prints the reducers' log lines, to analyze a failure.
var tracing = os.Getenv("PROOF_TRACE") != ""

func (p *proc) tracef(format string, args ...any) {
	if tracing {
		fmt.Printf("%10v %s %s\n", p.s.now.Round(time.Millisecond), p.incarnation, fmt.Sprintf(format, args...))
	}
}

// tick passes periodic ticks to the reducer; a paused process misses them.
func (p *proc) tick() {
	if p.dead {
		return
	}
	if !p.paused {
		p.step(msg.Tick{Wall: p.s.wall(p)})
	}
	p.s.after(tick, p.tick)
}

// start starts a process on a host. The host's previous process must be dead.
func (s *sim) start(h msg.Host) *proc {
	if old := s.procs[h.Host]; old != nil && !old.dead {
		panic("two processes on " + h.Host)
	}
	s.seq++
	p := &proc{
		s: s, incarnation: msg.Incarnation(fmt.Sprintf("%s-%d", h.Host, s.seq)), startedAt: s.now,
		clockSkew: s.randomDuration(-200*time.Millisecond, 200*time.Millisecond),
		self:      msg.Self{Host: h.Host, Domain: h.Domain, Region: h.Region, Kind: h.Kind},
		peers:     make(map[msg.HostID]bool), connected: make(map[msg.HostID]bool),
		leases: make(map[msg.LeaseName]msg.LeaseChanged), attempts: make(map[msg.AttemptID]*sideAttempt),
	}
	s.procs[h.Host] = p
	if h.Kind == msg.HostTarget {
		p.self.Target = &s.engines[h.Host].identity
	}
	p.reducer = p.newReducer()
	p.step(msg.Started{Self: p.self, Incarnation: p.incarnation, Seed: s.rand.Uint64(), Wall: s.wall(p)})
	s.after(s.randomDuration(0, tick), p.tick)
	s.after(time.Second, p.updateConnections)
	return p
}

// kill ends a process without a shutdown.
func (s *sim) kill(p *proc) {
	p.dead = true
	s.endRequestsOf(p, "the entry was killed")
	if e := s.engines[p.self.Host]; e != nil {
		e.sideKilled()
	}
}

// pause suspends a process. Its driver functions are deferred until resume.
func (s *sim) pause(p *proc) { p.paused = true }

// resume ends a pause and runs the deferred functions, with a tick at a random
// position among them.
func (s *sim) resume(p *proc) {
	if !p.paused || p.dead {
		p.paused = false
		return
	}
	p.paused = false
	held := p.deferred
	p.deferred = nil
	at := s.rand.IntN(len(held) + 1)
	for i, fn := range held {
		if i == at {
			p.runLocal(func() { p.step(msg.Tick{Wall: s.wall(p)}) })
		}
		p.runLocal(fn)
	}
}

// updateConnections reports each second to the reducer which connections came
// up or were lost. It also records whether the host list is readable.
func (p *proc) updateConnections() {
	if p.dead {
		return
	}
	if p.paused || p.s.store != storeAvailable || !p.s.reachable(p.self.Host, platform) || !p.s.reachable(platform, p.self.Host) {
		p.hostListFailedAt = p.s.now
	}
	for _, h := range p.s.hosts {
		if !p.peers[h.Host] {
			continue
		}
		other := p.s.procs[h.Host]
		up := other != nil && !other.dead && !other.paused && p.s.reachable(p.self.Host, h.Host) && p.s.reachable(h.Host, p.self.Host)
		if up == p.connected[h.Host] {
			continue
		}
		p.connected[h.Host] = up
		p.post(connectionEvent(h.Host, up))
		if !up {
			p.postDisconnect(h)
		}
	}
	p.s.after(time.Second, p.updateConnections)
}

func connectionEvent(h msg.HostID, up bool) msg.Event {
	if up {
		return msg.PeerUp{Host: h}
	}
	return msg.PeerDown{Host: h}
}

// postDisconnect posts the event with which the drivers report a lost connection
// between an entry and a side.
func (p *proc) postDisconnect(h msg.Host) {
	switch {
	case p.self.Kind == msg.HostTarget:
		p.post(msg.EntryDisconnected{Host: h.Host})
	case h.Kind == msg.HostTarget:
		p.post(msg.TargetUnreachable{Target: p.s.engines[h.Host].identity.Target, Host: h.Host})
	}
}
