package directrequest

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// avoidFirst and avoidMax bound the time for which a target that could
	// not be reached gets no request.
	avoidFirst = 300 * time.Millisecond
	avoidMax   = 3 * time.Second
	// maxRefusals is the number of streams in a row that a target refuses to
	// go on with before it is left alone: a handle may be gone.
	maxRefusals = 3
	// crashWindow is the time within which a broken answer and the target's
	// end belong together.
	crashWindow = 1500 * time.Millisecond
	// outcomeWeight is the weight of one outcome in a target's failure share.
	outcomeWeight = 0.12
	// riskMemory is the time in which a failure loses most of its weight.
	riskMemory = 5 * time.Second
	// speedWeight is the weight of one observation in a target's speed.
	speedWeight = 0.2
	slowest     = 8.0
	// loadAge is the age at which a load that a target told no longer counts.
	loadAge = 150 * time.Millisecond
	fastest = 0.6
)

// target is what is known of one target.
type target struct {
	msg.Instance
	open map[msg.AttemptID]*attempt
	// backlogUntil is when the prefill work that this daemon sent is expected
	// to be done.
	backlogUntil msg.Time
	// served is when the newest attempt of each rank that began was sent.
	served [maxPriority + 1]msg.Time
	// sentAt is when the last attempt was sent, and probeAfter how long after
	// that a suspect target is probed.
	sentAt     msg.Time
	probeAfter time.Duration
	// slow is the factor by which its first tokens come later than expected.
	slow float64
	// failing is the weighted share of attempts that it failed, as of failedAt.
	failing    float64
	failedAt   msg.Time
	avoidUntil msg.Time
	avoidFor   time.Duration
	// changingTo is the role that it was ordered to take, and changingUntil
	// when that is over at the latest.
	changingTo    msg.Role
	changingUntil msg.Time
	// refusals counts the streams in a row that it refused to go on with.
	refusals int
	// listed says that what it holds was asked for.
	listed bool
	// latency is the weighted time of an answer of a plain service.
	latency time.Duration
	// load is what the target last told, at loadAt.
	load   *msg.TargetLoad
	loadAt msg.Time
	// broken holds the attempts whose answers broke off lately.
	broken []brokenAttempt
}

type brokenAttempt struct {
	at          msg.Time
	attempt     msg.AttemptID
	fingerprint uint64
}

func newTarget(in msg.Instance) *target {
	return &target{Instance: in, open: make(map[msg.AttemptID]*attempt), slow: 1, probeAfter: probeFirst}
}

// usable reports whether the target takes new attempts.
func (t *target) usable(now msg.Time) bool {
	return !t.Draining && now >= t.avoidUntil && now >= t.changingUntil
}

// waiting returns the prefill work that was sent and has given no token yet.
func (t *target) waiting(now msg.Time) time.Duration {
	var sum time.Duration
	for _, a := range t.open {
		if !a.began && !t.lost(now, a) {
			sum += a.work
		}
	}
	return sum
}

// memory is the size in tokens of the prompts that this daemon has open there.
func (t *target) memory() int {
	sum := 0
	for _, a := range t.open {
		sum += a.tokens
	}
	return sum
}

// running returns the number of attempts that the target decodes and the
// memory in tokens that they take.
func (t *target) running() (n, tokens int) {
	for _, a := range t.open {
		if a.began {
			n++
			tokens += a.tokens
		}
	}
	return n, tokens
}

// backlog is the time until the work that this daemon sent is expected to be
// done.
func (t *target) backlog(now msg.Time) time.Duration {
	return max(t.backlogUntil-now, 0)
}

// begin counts an attempt.
func (t *target) begin(now msg.Time, a *attempt) {
	t.probing(now)
	t.open[a.id] = a
	t.backlogUntil = max(t.backlogUntil, now) + a.work
}

// firstToken takes an attempt's work off the backlog and learns from the time
// that it took.
func (t *target) firstToken(now msg.Time, a *attempt) {
	if a.began {
		return
	}
	a.began = true
	t.serves(a)
	t.backlogUntil = now + t.waiting(now)
	t.avoidFor = 0
	t.refusals = 0
	if a.work > 0 {
		ratio := t.slow * float64(now-a.since) / float64(a.expected)
		t.slow += speedWeight * (min(max(ratio, fastest), slowest) - t.slow)
	}
}

// end forgets an attempt.
func (t *target) end(now msg.Time, a *attempt) {
	delete(t.open, a.id)
	if !a.began {
		a.began = true
		t.backlogUntil = now + t.waiting(now)
	}
}

// told is the number of requests that the target said it has, if it said so a
// moment ago.
func (t *target) told(now msg.Time) int {
	if t.load == nil || now-t.loadAt > loadAge {
		return 0
	}
	return t.load.Running + t.load.Waiting
}

// outcome learns from an attempt's end.
func (t *target) outcome(now msg.Time, ok bool) {
	v := 1.0
	if ok {
		v = 0
	} else {
		t.failedAt = now
	}
	t.failing += outcomeWeight * (v - t.failing)
}

// risk is the share of attempts that are likely to fail. It falls with time:
// a target that gets no requests can't show that it serves again.
func (t *target) risk(now msg.Time) float64 {
	return t.failing * math.Exp(-float64(now-t.failedAt)/float64(riskMemory))
}

// refused counts a refusal. One that the request itself may have caused counts
// only where several follow each other.
func (t *target) refused(now msg.Time, a *attempt, misdirected bool) {
	if a.step == msg.StepDecode {
		t.refusals++
	}
	if misdirected || t.refusals >= maxRefusals {
		t.unreached(now)
	}
}

// unreached keeps requests away for a while, longer each time.
func (t *target) unreached(now msg.Time) {
	t.avoidFor = min(max(2*t.avoidFor, avoidFirst), avoidMax)
	t.avoidUntil = now + t.avoidFor
}

func (t *target) latencyOf(d time.Duration) {
	if t.latency == 0 {
		t.latency = d
		return
	}
	t.latency += time.Duration(speedWeight * float64(d-t.latency))
}

// crashed returns the attempts that were lost with the target.
func (t *target) crashed(now msg.Time) []brokenAttempt {
	lost := slices.DeleteFunc(t.broken, func(b brokenAttempt) bool { return now-b.at > crashWindow })
	t.broken = nil
	return lost
}

// onInstances takes the list of targets.
func (s *step) onInstances(ev msg.InstancesChanged) {
	listed := make(map[msg.TargetID]bool, len(ev.Instances))
	for _, in := range ev.Instances {
		listed[in.Target] = true
		t := s.targets[in.Target]
		if t == nil || t.Addr != in.Addr || t.Service != in.Service {
			t = newTarget(in)
			s.targets[in.Target] = t
		}
		if t.StartedMS != in.StartedMS && t.StartedMS != 0 {
			s.reborn(t)
		}
		if in.Role == t.changingTo {
			t.changingUntil = 0
		}
		if t.Role != in.Role {
			t.changingUntil = 0
			t.avoidUntil = 0
			t.avoidFor = 0
			s.caches.forget(in.Target)
		}
		t.Instance = in
	}
	for id, t := range s.targets {
		if !listed[id] {
			s.strike(t)
			s.caches.forget(id)
			delete(s.targets, id)
		}
	}
	s.services = make(map[msg.ServiceID][]*target)
	for _, in := range ev.Instances {
		s.services[in.Service] = append(s.services[in.Service], s.targets[in.Target])
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.Target, b.Target) })
	}
}

// reborn forgets what a target held in a former life.
func (s *step) reborn(t *target) {
	s.strike(t)
	s.caches.forget(t.Target)
	t.listed = true // a new life begins with nothing
	t.slow = 1
	t.failing = 0
	t.refusals = 0
	t.avoidUntil = 0
	t.avoidFor = 0
	t.changingUntil = 0
}

// changing keeps requests away from a target that changes its role.
func (s *step) changing(id msg.TargetID, to msg.Role, d time.Duration) {
	t := s.targets[id]
	if t == nil || t.Role == to {
		return
	}
	t.changingTo = to
	t.changingUntil = s.now + d
}

// strike counts a target's end against the requests that it ran.
func (s *step) strike(t *target) {
	for _, b := range t.crashed(s.now) {
		s.effects = append(s.effects, s.poison.RecordCrash(s.now, b.fingerprint, b.attempt)...)
		s.log("target went down under a request", attr("target", t.Target), attr("attempt", b.attempt))
	}
}

// round returns whole milliseconds for the digest and logs.
func round(d time.Duration) float32 {
	return float32(math.Round(float64(d) / float64(time.Millisecond)))
}
