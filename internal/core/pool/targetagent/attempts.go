package targetagent

import (
	"sort"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxEndedAttempts bounds the ids of ended attempts that are kept to detect
// duplicates.
const maxEndedAttempts = 1 << 16

// Codes of refused attempts, as sent to entry daemons.
const (
	CodeDraining        = "draining"
	CodeChanging        = "changing"
	CodeDown            = "target-down"
	CodeStarting        = "starting"
	CodeCapacity        = "at-capacity"
	CodeStaleGeneration = "stale-generation"
	CodeDuplicate       = "duplicate-attempt"
	CodeSuspect         = "suspect"
)

// Times after which an entry daemon may offer another attempt of a refused
// request to this target.
const (
	retryAfterCapacity = 200 * time.Millisecond
	retryAfterChange   = 2 * time.Second
	retryAfterSuspect  = time.Second
)

// attempts holds the attempts that run on the target and the ids of those that
// ended.
type attempts struct {
	running map[msg.AttemptID]*runningAttempt
	ended   map[msg.AttemptID]struct{}
	// endedOrder holds the ids of the ended attempts, oldest first. disconnected
	// holds the time at which each disconnected entry daemon disconnected.
	endedOrder   []msg.AttemptID
	disconnected map[msg.HostID]msg.Time
}

// runningAttempt is an attempt that runs on the target.
type runningAttempt struct {
	entry      msg.HostID
	idempotent bool
	// stopping is set once StopAttempt was emitted for the attempt.
	stopping bool
	suspect  bool
}

func newAttempts() attempts {
	return attempts{
		running:      make(map[msg.AttemptID]*runningAttempt),
		ended:        make(map[msg.AttemptID]struct{}),
		disconnected: make(map[msg.HostID]msg.Time),
	}
}

func (a *attempts) count() int  { return len(a.running) }
func (a *attempts) empty() bool { return len(a.running) == 0 }

// suspects returns the number of suspect attempts on the target.
func (a *attempts) suspects() int {
	n := 0
	for _, r := range a.running {
		if r.suspect {
			n++
		}
	}
	return n
}

// seen reports whether an attempt runs here or ended here.
func (a *attempts) seen(id msg.AttemptID) bool {
	_, ended := a.ended[id]
	_, running := a.running[id]
	return ended || running
}

// close records that a running attempt has ended.
func (a *attempts) close(id msg.AttemptID) {
	if _, ok := a.running[id]; !ok {
		return
	}
	delete(a.running, id)
	a.ended[id] = struct{}{}
	a.endedOrder = append(a.endedOrder, id)
	if len(a.endedOrder) > maxEndedAttempts {
		delete(a.ended, a.endedOrder[0])
		a.endedOrder = a.endedOrder[1:]
	}
}

func (a *attempts) entryDisconnected(now msg.Time, host msg.HostID) {
	if _, ok := a.disconnected[host]; !ok {
		a.disconnected[host] = now
	}
}

func (a *attempts) entryConnected(host msg.HostID) { delete(a.disconnected, host) }

// matching returns the ids of the attempts that match and are not yet being
// stopped, in ascending order.
func (a *attempts) matching(match func(*runningAttempt) bool) []msg.AttemptID {
	var out []msg.AttemptID
	for id, r := range a.running {
		if !r.stopping && match(r) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// observeGeneration records a generation of the configuration, and the time, if it
// is the highest so far.
func (a *Agent) observeGeneration(now msg.Time, gen msg.Generation) {
	if gen > a.generation.highest {
		a.generation = generationSeen{gen, now}
	}
}

// stale reports whether a generation was replaced by a higher one more than
// staleGenerationGrace ago.
func (g generationSeen) stale(now msg.Time, gen msg.Generation) bool {
	return gen < g.highest && now-g.since > staleGenerationGrace
}

func (a *Agent) onOffered(now msg.Time, ev msg.AttemptOffered) []msg.Effect {
	a.observeGeneration(now, ev.Spec.Generation)
	a.attempts.entryConnected(ev.From)
	if refusal, ok := a.checkOffer(now, ev.Spec); ok {
		return []msg.Effect{refusal}
	}
	a.attempts.running[ev.Spec.Attempt] = &runningAttempt{entry: ev.From, idempotent: ev.Spec.Idempotent, suspect: ev.Spec.Suspect}
	return []msg.Effect{msg.RunAttempt{Spec: ev.Spec}, msg.Raise{Event: msg.AttemptStarting{Spec: ev.Spec}}}
}

// checkOffer returns the refusal of an offered attempt and whether it is
// refused.
func (a *Agent) checkOffer(now msg.Time, spec msg.AttemptSpec) (msg.RefuseAttempt, bool) {
	refuse := func(code, reason string, after time.Duration) (msg.RefuseAttempt, bool) {
		return msg.RefuseAttempt{Attempt: spec.Attempt, Code: code, Reason: reason, RetryAfter: after}, true
	}
	switch {
	case a.attempts.seen(spec.Attempt):
		r, refused := refuse(CodeDuplicate, "the attempt was offered before", 0)
		r.MayHaveRun = true
		return r, refused
	case a.generation.stale(now, spec.Generation):
		return refuse(CodeStaleGeneration, "the entry's configuration is out of date", 0)
	}
	switch a.phase() {
	case msg.PhaseDown:
		return refuse(CodeDown, "the target does not answer", retryAfterChange)
	case msg.PhaseStarting:
		return refuse(CodeStarting, "the target was not read yet", retryAfterChange)
	case msg.PhaseChanging:
		return refuse(CodeChanging, "the target executes an order", retryAfterChange)
	case msg.PhaseDraining:
		return refuse(CodeDraining, "the target is draining", retryAfterChange)
	}
	if spec.Suspect && a.attempts.suspects() > 0 {
		return refuse(CodeSuspect, "another suspect request runs here", retryAfterSuspect)
	}
	if limit := queueFactor * a.reads.report.MaxBatch; limit > 0 && a.attempts.count() >= limit {
		return refuse(CodeCapacity, "the target's queue is full", retryAfterCapacity)
	}
	return msg.RefuseAttempt{}, false
}

// moveIdempotent stops the idempotent attempts of a drain that lasts longer than
// MoveAfter, so that their entry daemons continue them on other targets.
func (a *Agent) moveIdempotent(now msg.Time) []msg.Effect {
	if !a.draining() || now-a.drainSince < a.cfg.MoveAfter {
		return nil
	}
	return a.stopMatching(true, "the target is draining", func(r *runningAttempt) bool { return r.idempotent })
}

// stopOrphans stops the idempotent attempts whose entry daemon has been
// disconnected for longer than EntryGrace.
func (a *Agent) stopOrphans(now msg.Time) []msg.Effect {
	return a.stopMatching(false, "the entry is gone", func(r *runningAttempt) bool {
		since, gone := a.attempts.disconnected[r.entry]
		return gone && r.idempotent && now-since > a.cfg.EntryGrace
	})
}

// stopMatching stops the running attempts that match, except those that are
// already being stopped. move is the value of Move in [msg.StopAttempt].
func (a *Agent) stopMatching(move bool, reason string, match func(*runningAttempt) bool) []msg.Effect {
	var effs []msg.Effect
	for _, id := range a.attempts.matching(match) {
		a.attempts.running[id].stopping = true
		effs = append(effs, msg.StopAttempt{Attempt: id, Move: move, Reason: reason})
	}
	return effs
}
