package targetagent

import (
	"sort"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxClosed bounds the ids of finished attempts that are remembered.
const maxClosed = 1 << 16

// Codes of refused attempts, as entries see them.
const (
	CodeDraining   = "draining"
	CodeChanging   = "changing"
	CodeDown       = "target-down"
	CodeStarting   = "starting"
	CodeCapacity   = "at-capacity"
	CodeGeneration = "stale-generation"
	CodeDuplicate  = "duplicate-attempt"
	CodeSuspect    = "suspect"
)

// Times after which an entry may offer a refused attempt here again.
const (
	retryCapacity = 200 * time.Millisecond
	retryChange   = 2 * time.Second
	retrySuspect  = time.Second
)

// attempts holds what runs on the target, and the ids of what ran.
type attempts struct {
	running map[msg.AttemptID]*running
	closed  map[msg.AttemptID]struct{}
	// order holds the closed ids, oldest first.
	order []msg.AttemptID
	lost  map[msg.HostID]msg.Time
}

// running is one attempt on the target.
type running struct {
	from       msg.HostID
	idempotent bool
	stopping   bool
	suspect    bool
}

func newAttempts() attempts {
	return attempts{
		running: make(map[msg.AttemptID]*running),
		closed:  make(map[msg.AttemptID]struct{}),
		lost:    make(map[msg.HostID]msg.Time),
	}
}

func (a *attempts) count() int { return len(a.running) }
func (a *attempts) none() bool { return len(a.running) == 0 }

// suspects is the number of suspect attempts on the target.
func (a *attempts) suspects() int {
	n := 0
	for _, r := range a.running {
		if r.suspect {
			n++
		}
	}
	return n
}

func (a *attempts) seen(id msg.AttemptID) bool {
	_, closed := a.closed[id]
	_, open := a.running[id]
	return closed || open
}

func (a *attempts) close(id msg.AttemptID) {
	if _, ok := a.running[id]; !ok {
		return
	}
	delete(a.running, id)
	a.closed[id] = struct{}{}
	a.order = append(a.order, id)
	if len(a.order) > maxClosed {
		delete(a.closed, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *attempts) entryLost(now msg.Time, host msg.HostID) {
	if _, ok := a.lost[host]; !ok {
		a.lost[host] = now
	}
}

func (a *attempts) entryBack(host msg.HostID) { delete(a.lost, host) }

// ids returns the running attempts that match, in order.
func (a *attempts) ids(match func(*running) bool) []msg.AttemptID {
	var out []msg.AttemptID
	for id, r := range a.running {
		if !r.stopping && match(r) {
			out = append(out, id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func (a *Agent) hearGeneration(now msg.Time, gen msg.Generation) {
	if gen > a.generation.highest {
		a.generation = generationMark{gen, now}
	}
}

// stale reports whether an attempt comes from an entry whose configuration
// has been replaced for longer than the limit.
func (m generationMark) stale(now msg.Time, gen msg.Generation) bool {
	return gen < m.highest && now-m.since > generationLimit
}

func (a *Agent) onOffered(now msg.Time, ev msg.AttemptOffered) []msg.Effect {
	a.hearGeneration(now, ev.Spec.Generation)
	a.attempts.entryBack(ev.From)
	if refusal, ok := a.refusal(now, ev.Spec); ok {
		return []msg.Effect{refusal}
	}
	a.attempts.running[ev.Spec.Attempt] = &running{from: ev.From, idempotent: ev.Spec.Idempotent, suspect: ev.Spec.Suspect}
	return []msg.Effect{msg.RunAttempt{Spec: ev.Spec}, msg.Raise{Event: msg.AttemptStarting{Spec: ev.Spec}}}
}

func (a *Agent) refusal(now msg.Time, spec msg.AttemptSpec) (msg.RefuseAttempt, bool) {
	refuse := func(code, reason string, after time.Duration) (msg.RefuseAttempt, bool) {
		return msg.RefuseAttempt{Attempt: spec.Attempt, Code: code, Reason: reason, RetryAfter: after}, true
	}
	switch {
	case a.attempts.seen(spec.Attempt):
		r, refused := refuse(CodeDuplicate, "the attempt was offered before", 0)
		r.MayHaveRun = true
		return r, refused
	case a.generation.stale(now, spec.Generation):
		return refuse(CodeGeneration, "the entry's configuration is out of date", 0)
	}
	switch a.phase() {
	case msg.PhaseDown:
		return refuse(CodeDown, "the target does not answer", retryChange)
	case msg.PhaseStarting:
		return refuse(CodeStarting, "the target was not read yet", retryChange)
	case msg.PhaseChanging:
		return refuse(CodeChanging, "the target executes an order", retryChange)
	case msg.PhaseDraining:
		return refuse(CodeDraining, "the target is draining", retryChange)
	}
	if spec.Suspect && a.attempts.suspects() > 0 {
		return refuse(CodeSuspect, "another suspect request runs here", retrySuspect)
	}
	if limit := queueFactor * a.reads.report.MaxBatch; limit > 0 && a.attempts.count() >= limit {
		return refuse(CodeCapacity, "the target's queue is full", retryCapacity)
	}
	return msg.RefuseAttempt{}, false
}

// moveAttempts hands the idempotent attempts of a long drain to other
// targets.
func (a *Agent) moveAttempts(now msg.Time) []msg.Effect {
	if !a.draining() || now-a.drainSince < a.cfg.MoveAfter {
		return nil
	}
	return a.stopEach(true, "the target is draining", func(r *running) bool { return r.idempotent })
}

// stopOrphans stops the idempotent attempts whose entry is gone.
func (a *Agent) stopOrphans(now msg.Time) []msg.Effect {
	return a.stopEach(false, "the entry is gone", func(r *running) bool {
		since, lost := a.attempts.lost[r.from]
		return lost && r.idempotent && now-since > a.cfg.EntryGrace
	})
}

func (a *Agent) stopEach(move bool, reason string, match func(*running) bool) []msg.Effect {
	var effs []msg.Effect
	for _, id := range a.attempts.ids(match) {
		a.attempts.running[id].stopping = true
		effs = append(effs, msg.StopAttempt{Attempt: id, Move: move, Reason: reason})
	}
	return effs
}
