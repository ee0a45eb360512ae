package directrequest

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// minBackoff and avoidMax bound the time for which a target that could
	// not be reached gets no request.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// maxRefusals is the number of streams in a row that a target refuses to
	// go on with before it is left alone: a handle may be gone.
	maxRefusals = 3
	// crashWindow is the time within which a broken answer and the target's
	// end belong together.
	crashWindow = 1500 * time.Millisecond
	// outcomeWeight is the weight of one outcome in a target's failure share.
	outcomeWeight = 0.12
	// riskDecay is the time in which a failure loses most of its weight.
	riskDecay = 5 * time.Second
	// speedWeight is the weight of one observation in a target's speed.
	speedWeight = 0.2
	maxSlowdown = 8.0
	// loadMaxAge is the age at which a load that a target told no longer counts.
	loadMaxAge  = 150 * time.Millisecond
	minSlowdown = 0.6
)

// target is what is known of one target.
type target struct {
	msg.Instance
	open map[msg.AttemptID]*attempt
	// backlogUntil is when the prefill work that this daemon sent is expected
	// to be done.
	backlogUntil msg.Time
	// startedSentAt is when the newest attempt of each rank that began was sent.
	startedSentAt [maxPriority + 1]msg.Time
	// lastSentAt is when the last attempt was sent, and probeAfter how long after
	// that a suspect target is probed.
	lastSentAt    msg.Time
	probeInterval time.Duration
	// slowdown is the factor by which its first tokens come later than expected.
	slowdown float64
	// failureRate is the weighted share of attempts that it failed, as of failedAt.
	failureRate   float64
	lastFailureAt msg.Time
	backoffUntil  msg.Time
	backoff       time.Duration
	// changingTo is the role that it was ordered to take, and changingUntil
	// when that is over at the latest.
	changingTo    msg.Role
	changingUntil msg.Time
	// refusals counts the streams in a row that it refused to go on with.
	refusals int
	// cacheRequested says that what it holds was asked for.
	cacheRequested bool
	// latency is the weighted time of an answer of a plain service.
	latency time.Duration
	// load is what the target last told, at loadAt.
	load   *msg.TargetLoad
	loadAt msg.Time
	// interrupted holds the attempts whose answers broke off lately.
	interrupted []interruptedAttempt
}

type interruptedAttempt struct {
	at          msg.Time
	attempt     msg.AttemptID
	fingerprint uint64
}

func newTarget(in msg.Instance) *target {
	return &target{Instance: in, open: make(map[msg.AttemptID]*attempt), slowdown: 1, probeInterval: minProbeInterval}
}

// usable reports whether the target takes new attempts.
func (t *target) usable(now msg.Time) bool {
	return !t.Draining && now >= t.backoffUntil && now >= t.changingUntil
}

// pendingPrefill returns the prefill work that was sent and has given no token yet.
func (t *target) pendingPrefill(now msg.Time) time.Duration {
	var sum time.Duration
	for _, a := range t.open {
		if !a.started && !t.overtaken(now, a) {
			sum += a.prefill
		}
	}
	return sum
}

// openTokens is the size in tokens of the prompts that this daemon has open there.
func (t *target) openTokens() int {
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
		if a.started {
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

// addAttempt counts an attempt.
func (t *target) addAttempt(now msg.Time, a *attempt) {
	t.recordSend(now)
	t.open[a.id] = a
	t.backlogUntil = max(t.backlogUntil, now) + a.prefill
}

// recordFirstToken takes an attempt's work off the backlog and learns from the time
// that it took.
func (t *target) recordFirstToken(now msg.Time, a *attempt) {
	if a.started {
		return
	}
	a.started = true
	t.clearSuspicion(a)
	t.backlogUntil = now + t.pendingPrefill(now)
	t.backoff = 0
	t.refusals = 0
	if a.prefill > 0 {
		ratio := t.slowdown * float64(now-a.sentAt) / float64(a.expected)
		t.slowdown += speedWeight * (min(max(ratio, minSlowdown), maxSlowdown) - t.slowdown)
	}
}

// removeAttempt forgets an attempt.
func (t *target) removeAttempt(now msg.Time, a *attempt) {
	delete(t.open, a.id)
	if !a.started {
		a.started = true
		t.backlogUntil = now + t.pendingPrefill(now)
	}
}

// reportedLoad is the number of requests that the target said it has, if it said so a
// moment ago.
func (t *target) reportedLoad(now msg.Time) int {
	if t.load == nil || now-t.loadAt > loadMaxAge {
		return 0
	}
	return t.load.Running + t.load.Waiting
}

// recordOutcome learns from an attempt's end.
func (t *target) recordOutcome(now msg.Time, ok bool) {
	v := 1.0
	if ok {
		v = 0
	} else {
		t.lastFailureAt = now
	}
	t.failureRate += outcomeWeight * (v - t.failureRate)
}

// failureRisk is the share of attempts that are likely to fail. It falls with time:
// a target that gets no requests can't show that it serves again.
func (t *target) failureRisk(now msg.Time) float64 {
	return t.failureRate * math.Exp(-float64(now-t.lastFailureAt)/float64(riskDecay))
}

// recordRefusal counts a refusal. One that the request itself may have caused counts
// only where several follow each other.
func (t *target) recordRefusal(now msg.Time, a *attempt, misdirected bool) {
	if a.step == msg.StepDecode {
		t.refusals++
	}
	if misdirected || t.refusals >= maxRefusals {
		t.backOff(now)
	}
}

// backOff keeps requests away for a while, longer each time.
func (t *target) backOff(now msg.Time) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = now + t.backoff
}

func (t *target) recordLatency(d time.Duration) {
	if t.latency == 0 {
		t.latency = d
		return
	}
	t.latency += time.Duration(speedWeight * float64(d-t.latency))
}

// takeInterrupted returns the attempts that were lost with the target.
func (t *target) takeInterrupted(now msg.Time) []interruptedAttempt {
	lost := slices.DeleteFunc(t.interrupted, func(b interruptedAttempt) bool { return now-b.at > crashWindow })
	t.interrupted = nil
	return lost
}

// onInstancesChanged takes the list of targets.
func (s *stepContext) onInstancesChanged(ev msg.InstancesChanged) {
	listed := make(map[msg.TargetID]bool, len(ev.Instances))
	for _, in := range ev.Instances {
		listed[in.Target] = true
		t := s.targets[in.Target]
		if t == nil || t.Addr != in.Addr || t.Service != in.Service {
			t = newTarget(in)
			s.targets[in.Target] = t
		}
		if t.StartedMS != in.StartedMS && t.StartedMS != 0 {
			s.onTargetRestarted(t)
		}
		if in.Role == t.changingTo {
			t.changingUntil = 0
		}
		if t.Role != in.Role {
			t.changingUntil = 0
			t.backoffUntil = 0
			t.backoff = 0
			s.caches.removeEngine(in.Target)
		}
		t.Instance = in
	}
	for id, t := range s.targets {
		if !listed[id] {
			s.recordCrash(t)
			s.caches.removeEngine(id)
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

// onTargetRestarted forgets what a target held in a former life.
func (s *stepContext) onTargetRestarted(t *target) {
	s.recordCrash(t)
	s.caches.removeEngine(t.Target)
	t.cacheRequested = true // a new life begins with nothing
	t.slowdown = 1
	t.failureRate = 0
	t.refusals = 0
	t.backoffUntil = 0
	t.backoff = 0
	t.changingUntil = 0
}

// suspendForRoleChange keeps requests away from a target that changes its role.
func (s *stepContext) suspendForRoleChange(id msg.TargetID, to msg.Role, d time.Duration) {
	t := s.targets[id]
	if t == nil || t.Role == to {
		return
	}
	t.changingTo = to
	t.changingUntil = s.now + d
}

// recordCrash counts a target's end against the requests that it ran.
func (s *stepContext) recordCrash(t *target) {
	for _, b := range t.takeInterrupted(s.now) {
		s.effects = append(s.effects, s.poison.Strike(s.now, b.fingerprint, b.attempt)...)
		s.log("target went down under a request", attr("target", t.Target), attr("attempt", b.attempt))
	}
}

// roundMS returns whole milliseconds for the digest and logs.
func roundMS(d time.Duration) float32 {
	return float32(math.Round(float64(d) / float64(time.Millisecond)))
}
