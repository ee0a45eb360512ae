package request

import (
	"math"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// minBackoff and maxBackoff limit the time for which a target that could
	// not be reached is sent no requests.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 3 * time.Second
	// maxRefusedDecodes is the number of decode steps that a target must refuse
	// in a row before it is sent no requests for a while. A single refusal may
	// be due to a handle that no longer exists.
	maxRefusedDecodes = 3
	// failureRateWeight is the weight of one attempt's result in a target's
	// failure rate, which is an exponentially weighted average.
	failureRateWeight = 0.12
	// riskDecay is the time constant with which the weight of a failure decays.
	riskDecay = 5 * time.Second
	// loadMemory is the time constant with which a load that a target reported loses
	// its influence.
	loadMemory = 150 * time.Millisecond
)

// target is the state that the manager keeps of one target.
type target struct {
	msg.Instance
	open map[msg.AttemptID]*attempt
	// startedSentAt holds send times by priority: when the newest started attempt
	// of the priority was sent. The newest is the one that was sent last.
	startedSentAt [maxPriority + 1]msg.Time
	// lastSentAt is when the last attempt was sent. A suspect target is probed
	// probeInterval later.
	lastSentAt    msg.Time
	probeInterval time.Duration
	// failureRate is the weighted fraction of failed attempts. lastFailureAt is
	// the time of the last failure.
	failureRate   float64
	lastFailureAt msg.Time
	backoffUntil  msg.Time
	backoff       time.Duration
	// changingTo is the role that the target was ordered to take. Until
	// changingUntil at the latest it is sent no requests.
	changingTo    msg.Role
	changingUntil msg.Time
	// refusedDecodes counts the decode steps that the target has refused in a
	// row.
	refusedDecodes int
	// skipCacheRead is set if this daemon need not read the contents of the
	// engine's cache any more: it has requested them, the read is the task of
	// another daemon, or the engine was restarted.
	skipCacheRead bool
	// congestion is the average of the factor by which prefills took longer than was
	// expected, as of congestionAt; see congestionFactor.
	congestion   float64
	congestionAt msg.Time
	// load is the last load that the target reported, at loadAt.
	load   *msg.TargetLoad
	loadAt msg.Time
	// interrupted holds the attempts whose responses were cut short and that have no
	// explanation yet, in order of time. probe is the state of the probes that look
	// for one.
	interrupted []endedAttempt
	crashed     targetCrash
	probe       crashProbe
	paceProbe   paceProbe
	// unconfirmed holds the attempts whose unframed responses ended, in order of time,
	// as long as the process may have gone down under them.
	unconfirmed []endedAttempt
	// unreachable is set while the target accepts no connections of this daemon.
	unreachable bool
	// foundProcess is the start time of a process that was found at the target's address
	// in place of the listed one, or zero.
	foundProcess int64
	notices      targetNotices
	limit        requestLimit
	// peers is the prefill work that the other daemons have at the target.
	peers *peerWork
}

func newTarget(now msg.Time, in msg.Instance) *target {
	return &target{Instance: in, open: make(map[msg.AttemptID]*attempt), probeInterval: minProbeInterval, congestion: 1, peers: newPeerWork(now)}
}

// usable reports whether the target takes new attempts.
func (t *target) usable(now msg.Time) bool {
	return !t.Draining && !t.notices.leaving && now >= t.notices.refusedUntil && now >= t.backoffUntil && now >= t.changingUntil
}

// pendingPrefill returns the whole expected duration of the prefills that this
// daemon sent in a class and that have not produced a token yet, without deducting the
// time since they were sent. It excludes attempts that were overtaken.
func (t *target) pendingPrefill(now msg.Time, c class) time.Duration {
	var sum time.Duration
	for _, a := range t.open {
		if a.class == c && !a.started && !t.overtaken(now, a) {
			sum += a.prefill
		}
	}
	return sum
}

// openTokens returns the total size in tokens of the prompts that this daemon
// has open at the target.
func (t *target) openTokens() int {
	sum := 0
	for _, a := range t.open {
		sum += a.tokens
	}
	return sum
}

// running returns the number of attempts that the target is decoding and the KV
// cache in tokens that they occupy.
func (t *target) running() (n, tokens int) {
	for _, a := range t.open {
		if a.started {
			n++
			tokens += a.tokens
		}
	}
	return n, tokens
}

// backlog returns the expected duration of the prefills that this daemon sent in a class
// and that have not produced a token yet. It falls with their first tokens and not with
// time, because the target may be at work for other daemons. Overdue attempts are left
// out: they count by the lateness of the target.
func (t *target) backlog(now msg.Time, c class) time.Duration {
	var sum time.Duration
	for _, a := range t.open {
		if a.class == c && !a.started && a.overdue(now) == 0 {
			sum += a.prefill
		}
	}
	return sum
}

// addAttempt records that an attempt is sent to the target.
func (t *target) addAttempt(now msg.Time, a *attempt) {
	t.recordSend(now)
	if t.limit.limited(now) {
		t.limit.bucket.Take(now)
	}
	t.open[a.id] = a
}

// recordFirstToken records that an attempt's first token, or its response, has
// arrived. It clears a suspicion of the target, and resets its backoff and its count of
// refused decode steps.
func (t *target) recordFirstToken(a *attempt) {
	if a.started {
		return
	}
	a.started = true
	t.clearSuspicion(a)
	t.backoff = 0
	t.refusedDecodes = 0
}

// removeAttempt removes an attempt that has ended.
func (t *target) removeAttempt(a *attempt) {
	delete(t.open, a.id)
	a.started = true
}

// updateFailureRate updates the failure rate from the result of an attempt.
func (t *target) updateFailureRate(now msg.Time, ok bool) {
	v := 1.0
	if ok {
		v = 0
	} else {
		t.lastFailureAt = now
	}
	t.failureRate += failureRateWeight * (v - t.failureRate)
}

// failureRisk returns the fraction of attempts that are likely to fail. It is
// the failure rate, decayed by the time since the last failure, because a target
// that is sent no requests can't show that it has recovered.
func (t *target) failureRisk(now msg.Time) float64 {
	return t.failureRate * math.Exp(-float64(now-t.lastFailureAt)/float64(riskDecay))
}

// recordRefusal records that the target refused an attempt. A misdirected
// attempt starts a backoff at once. A decode step may have been refused because
// of its handle, so that only maxRefusedDecodes of them in a row start one.
// Other refusals have no effect, because the request may have caused them.
func (t *target) recordRefusal(now msg.Time, a *attempt, misdirected bool) {
	if a.step == msg.StepDecode {
		t.refusedDecodes++
	}
	if misdirected || t.refusedDecodes >= maxRefusedDecodes {
		t.backOff(now)
	}
}

// backOff starts a backoff, during which the target is sent no requests. Each
// further call doubles its length, up to maxBackoff. A first token, a restart or
// a change of role resets the length.
func (t *target) backOff(now msg.Time) {
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.backoffUntil = now + t.backoff
}

// roundMS rounds a duration to whole milliseconds.
func roundMS(d time.Duration) float32 {
	return float32(math.Round(float64(d) / float64(time.Millisecond)))
}
