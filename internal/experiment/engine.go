package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// crashingSegment is the ID of the segment of FaultCrashSegment, and crashDowntime
	// how long an engine is down after it has begun to answer a prompt with it.
	crashingSegment = 1<<63 + 1
	crashDowntime   = 3 * time.Second
	// replacementTime is how long the place of an engine that has left stays empty.
	replacementTime = time.Second
)

// Parameters of transfers of KV cache.
const (
	// transferSetup is the fixed duration of a transfer of KV cache, and
	// crossDomainFactor the factor by which a transfer between failure domains takes
	// longer.
	transferSetup     = 2500 * time.Microsecond
	crossDomainFactor = 2
)

// job is an attempt at an engine.
type job struct {
	attempt  msg.AttemptID
	step     msg.DirectStep
	priority int
	seq      int
	segments []msg.PromptSegment
	// promptTokens is the length of the prompt, and prefilledTokens how many of
	// its tokens need no more prefill.
	promptTokens, prefilledTokens int
	// privateTokens is the memory that the job uses beside cached segments, in
	// tokens.
	privateTokens int
	// outputTokens is the number of tokens still to generate.
	outputTokens int
	// started reports whether the first token has been generated.
	started bool
	// answerLost reports whether the first token and the end of the answer are
	// not reported.
	answerLost bool
	// report receives the events of the job.
	report func(msg.Event)
}

// crashesEngine reports whether the engine crashes as it begins to answer the job.
func (j *job) crashesEngine() bool {
	isCrashing := func(s msg.PromptSegment) bool { return s.ID == crashingSegment }
	return j.step != msg.StepPrefill && slices.ContainsFunc(j.segments, isCrashing)
}

// engine is a simulated engine. Jobs wait for a slot and memory, and run in steps.
type engine struct {
	sim        *simulation
	spec       *EngineSpec
	instance   msg.Instance
	slowFactor float64
	// lastingFactor and pace are the factors by which steps take longer on the engine's
	// host always, and at this moment.
	lastingFactor, pace float64
	lossProbability     float64
	down                bool
	// notice is what the engine states about itself in its responses.
	notice msg.TargetNotice

	waiting, running []*job
	stepping         bool
	// incarnation counts the crashes. Steps and role changes that an earlier
	// incarnation began are void.
	incarnation int
	cache       *lru
	// linkFreeAt is the time at which the last transfer over the link ends.
	linkFreeAt time.Duration
	handles    map[string]*job
	// changingRole is set while an order to take nextRole is pending.
	changingRole bool
	nextRole     msg.Role
}

func newEngine(sim *simulation, in msg.Instance) *engine {
	return &engine{
		sim: sim, spec: &sim.spec.Engines, instance: in, slowFactor: 1, lastingFactor: 1, pace: 1,
		cache: newLRU(sim.spec.Engines.CacheTokens), handles: make(map[string]*job),
	}
}

// submit adds a job to the queue. The engine refuses it during a role change, and
// if the job's step doesn't match the engine's role.
func (e *engine) submit(j *job) {
	if e.notice.RetryAfter > 0 {
		n := e.notice
		j.report(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 503, Notice: &n})
		return
	}
	if e.changingRole {
		j.report(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 503})
		return
	}
	if (j.step == msg.StepPrefill) != (e.instance.Role == msg.RolePrefill) {
		j.report(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 421, Misdirected: true})
		return
	}
	j.answerLost = e.sim.rand.Float64() < e.lossProbability
	j.seq = e.sim.nextSeq()
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, byPriority)
	e.startStep()
}

// byPriority orders jobs by priority and then by order of arrival.
func byPriority(a, b *job) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
}

// transfer moves tokens over the engine's link, after earlier transfers, and then
// calls then. far means that the source is in another failure domain.
func (e *engine) transfer(tokens int, far bool, then func()) {
	bits := float64(tokens) * e.spec.TokenBytes * 8
	d := time.Duration(bits / (e.spec.LinkMbps * 1e6) * float64(time.Second))
	if far {
		d *= crossDomainFactor
	}
	e.linkFreeAt = max(e.linkFreeAt, e.sim.now) + transferSetup + d
	e.sim.at(e.linkFreeAt, then)
}

// startStep starts a step if there are jobs to run and no step is running. An idle
// engine applies a pending role change.
func (e *engine) startStep() {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		e.applyRoleChange()
		return
	}
	e.stepping = true
	incarnation := e.incarnation
	e.sim.after(e.runStep(), func() {
		if incarnation != e.incarnation {
			return
		}
		e.stepping = false
		e.finishStep()
		e.startStep()
	})
}

// admit moves waiting jobs to the batch while there are slots and memory. If the
// batch is empty it admits a job without enough memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 {
		j := e.waiting[0]
		if len(e.running) >= e.spec.Slots && !e.preemptFor(j) {
			return
		}
		if e.runningTokens()+j.promptTokens > e.spec.CacheTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		j.prefilledTokens = max(j.prefilledTokens, min(e.cache.lookup(j.segments), j.promptTokens-1))
		e.sim.result.countPrompt(e.sim.now, j)
		j.privateTokens = j.promptTokens - e.cache.lookup(j.segments)
		e.running = append(e.running, j)
		e.limitCache()
	}
}

// preemptFor puts the newest of the least urgent running jobs back into the queue, if it
// is less urgent than a job. It keeps what is cached of its prompt.
func (e *engine) preemptFor(j *job) bool {
	last := slices.MaxFunc(e.running, byPriority)
	if last.priority <= j.priority {
		return false
	}
	e.running = slices.DeleteFunc(e.running, func(o *job) bool { return o == last })
	last.prefilledTokens = 0
	e.waiting = append(e.waiting, last)
	slices.SortStableFunc(e.waiting, byPriority)
	return true
}

// runningTokens returns the memory that the running jobs need, in tokens.
func (e *engine) runningTokens() int {
	sum := 0
	for _, j := range e.running {
		sum += j.promptTokens
	}
	return sum
}

// limitCache limits the cache to the memory that remains after the private tokens of
// the running jobs.
func (e *engine) limitCache() {
	sum := 0
	for _, j := range e.running {
		sum += j.privateTokens
	}
	e.cache.setLimit(e.spec.CacheTokens - sum)
}

// runStep prefills a chunk of prompt tokens, in the order of priority, and returns
// the duration of the step.
func (e *engine) runStep() time.Duration {
	chunk := e.spec.Chunk
	slowdown := 1.0
	if e.instance.Role == msg.RoleDecode {
		chunk /= e.spec.DecodeChunks
		slowdown = e.spec.DecodeSlowdown
	}
	ms := e.spec.StepMS + e.spec.StreamMS*float64(len(e.running))
	slices.SortStableFunc(e.running, byPriority)
	for _, j := range e.running {
		n := min(j.promptTokens-j.prefilledTokens, chunk)
		if n <= 0 {
			continue
		}
		pairs := float64(n) * (float64(j.prefilledTokens) + float64(n)/2) / 1e6
		ms += slowdown * (float64(n)/e.spec.PrefillPerMS + pairs*e.spec.PairsMS)
		j.prefilledTokens += n
		chunk -= n
	}
	return time.Duration(ms * e.slowFactor * e.lastingFactor * e.pace * float64(time.Millisecond))
}

// finishStep generates a token for each job whose prompt is prefilled.
func (e *engine) finishStep() {
	var unfinished []*job
	for _, j := range e.running {
		if j.prefilledTokens >= j.promptTokens && j.crashesEngine() {
			e.sim.result.SegmentCrashes++
			e.crash(crashDowntime)
			return
		}
		if j.prefilledTokens < j.promptTokens || !e.generateToken(j) {
			unfinished = append(unfinished, j)
		}
	}
	e.running = unfinished
}

// generateToken generates a token of a job and reports whether it was the last. The
// first one adds the prompt to the cache and, for a prefill step, ends the job.
func (e *engine) generateToken(j *job) bool {
	notice := e.notice
	load := e.load()
	if !j.started {
		j.started = true
		j.privateTokens = 0
		e.limitCache()
		e.cache.add(j.segments)
		if j.step == msg.StepPrefill {
			handle := string(j.attempt)
			e.handles[handle] = j
			e.report(j, msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectPrefilled, Status: 200, Handle: handle, Notice: &notice, Load: load})
			return true
		}
		e.sim.after(time.Duration(e.spec.FirstMS*float64(time.Millisecond)), func() { e.report(j, msg.DirectAttemptStarted{Attempt: j.attempt, Notice: &notice, Load: load}) })
	}
	j.outputTokens--
	if j.outputTokens > 0 {
		return false
	}
	e.sim.after(time.Duration(e.spec.FirstMS*float64(time.Millisecond)), func() {
		e.report(j, msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectDone, Status: 200, Response: msg.ResponseStream})
	})
	return true
}

// report reports an event of a job, unless the job's answer is lost.
func (e *engine) report(j *job, ev msg.Event) {
	if !j.answerLost {
		j.report(ev)
	}
}

// cancel removes the job of an attempt.
func (e *engine) cancel(id msg.AttemptID) {
	is := func(j *job) bool { return j.attempt == id }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.running = slices.DeleteFunc(e.running, is)
}

// changeRole makes the engine take another role after its running jobs have ended.
// Waiting jobs are refused.
func (e *engine) changeRole(role msg.Role) {
	e.changingRole = true
	e.nextRole = role
	for _, j := range e.waiting {
		j.report(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 503})
	}
	e.waiting = nil
	e.startStep()
}

// responseState returns what the caller of a job has received.
func responseState(started bool) msg.ResponseState {
	if started {
		return msg.ResponseStream
	}
	return msg.ResponseNone
}

// applyRoleChange applies a pending role change. The engine accepts jobs again
// after EngineSpec.Change.
func (e *engine) applyRoleChange() {
	if !e.changingRole || e.nextRole == e.instance.Role {
		return
	}
	e.instance.Role = e.nextRole
	incarnation := e.incarnation
	e.sim.after(e.spec.Change, func() {
		if incarnation == e.incarnation {
			e.changingRole = false
		}
	})
}

// crash interrupts all jobs, drops all state and keeps the engine down for the
// downtime. The engine starts again in the decode role.
func (e *engine) crash(downtime time.Duration) {
	e.incarnation++
	e.down = true
	e.stepping = false
	e.changingRole = false
	for _, j := range append(e.running, e.waiting...) {
		j.report(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectInterrupted, Response: responseState(j.started)})
	}
	e.running, e.waiting = nil, nil
	e.cache = newLRU(e.spec.CacheTokens)
	e.handles = make(map[string]*job)
	e.sim.after(downtime, func() {
		e.down = false
		e.instance.StartedMS++
		e.instance.Role = msg.RoleDecode
	})
}
