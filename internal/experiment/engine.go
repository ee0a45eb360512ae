package experiment

import (
	"cmp"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// transferSetup is the fixed part of a transfer of KV cache, and farTransfer
// how much longer one between failure domains takes.
const (
	transferSetup = 2500 * time.Microsecond
	farTransfer   = 2
)

// job is one attempt at an engine.
type job struct {
	attempt  msg.AttemptID
	step     msg.DirectStep
	priority int
	seq      int
	parts    []msg.PromptSegment
	// prompt is its size in tokens, done how many of them are read.
	prompt, done int
	// private is what it holds beside cached parts, in tokens.
	private int
	// outputs are the tokens still to make.
	outputs int
	began   bool
	// lost says that nothing of its answer arrives.
	lost bool
	// told takes the engine's news of the job.
	told func(msg.Event)
}

// engine is one engine: requests wait for a slot and memory, and run in steps.
type engine struct {
	w      *world
	spec   *EngineSpec
	in     msg.Instance
	slow   float64
	loseBy float64
	down   bool

	waiting, running []*job
	stepping         bool
	// life counts the engine's starts: steps of a former life are void.
	life  int
	cache *lru
	// linkFree is when the link has nothing more to carry.
	linkFree time.Duration
	handles  map[string]*job
	changing bool
	role     msg.Role
}

func newEngine(w *world, in msg.Instance) *engine {
	return &engine{
		w: w, spec: &w.spec.Engines, in: in, slow: 1,
		cache: newLRU(w.spec.Engines.CacheTokens), handles: make(map[string]*job),
	}
}

// arrive takes an attempt that goes on at once.
func (e *engine) arrive(j *job) {
	if e.changing {
		j.told(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 503})
		return
	}
	if (j.step == msg.StepPrefill) != (e.in.Role == msg.RolePrefill) {
		j.told(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 421, Misdirected: true})
		return
	}
	j.lost = e.w.rand.Float64() < e.loseBy
	j.seq = e.w.nextSeq()
	e.waiting = append(e.waiting, j)
	slices.SortStableFunc(e.waiting, byUrgency)
	e.next()
}

func byUrgency(a, b *job) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
}

// fetch carries tokens over the engine's link and calls then.
func (e *engine) fetch(tokens int, far bool, then func()) {
	bits := float64(tokens) * e.spec.TokenBytes * 8
	d := time.Duration(bits / (e.spec.LinkMbps * 1e6) * float64(time.Second))
	if far {
		d *= farTransfer
	}
	e.linkFree = max(e.linkFree, e.w.now) + transferSetup + d
	e.w.at(e.linkFree, then)
}

// next begins a step where there is work and none under way.
func (e *engine) next() {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		e.settleChange()
		return
	}
	e.stepping = true
	life := e.life
	e.w.after(e.runStep(), func() {
		if life != e.life {
			return
		}
		e.stepping = false
		e.finishStep()
		e.next()
	})
}

// admit moves waiting jobs to the batch while there are slots and memory.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.spec.Slots {
		j := e.waiting[0]
		if e.memory()+j.prompt > e.spec.CacheTokens && len(e.running) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		j.done = max(j.done, min(e.cache.held(j.parts), j.prompt-1))
		e.w.result.read(e.w.now, j)
		j.private = j.prompt - e.cache.held(j.parts)
		e.running = append(e.running, j)
		e.limitCache()
	}
}

// memory is what running requests hold, in tokens.
func (e *engine) memory() int {
	sum := 0
	for _, j := range e.running {
		sum += j.prompt
	}
	return sum
}

// limitCache leaves cached parts what running requests don't hold beside them.
func (e *engine) limitCache() {
	sum := 0
	for _, j := range e.running {
		sum += j.private
	}
	e.cache.limit(e.spec.CacheTokens - sum)
}

// runStep reads a chunk of prompts, the most urgent first, and returns the
// time of the step.
func (e *engine) runStep() time.Duration {
	left := e.spec.Chunk
	slowdown := 1.0
	if e.in.Role == msg.RoleDecode {
		left /= e.spec.DecodeChunks
		slowdown = e.spec.DecodeSlowdown
	}
	ms := e.spec.StepMS + e.spec.StreamMS*float64(len(e.running))
	slices.SortStableFunc(e.running, byUrgency)
	for _, j := range e.running {
		n := min(j.prompt-j.done, left)
		if n <= 0 {
			continue
		}
		pairs := float64(n) * (float64(j.done) + float64(n)/2) / 1e6
		ms += slowdown * (float64(n)/e.spec.PrefillPerMS + pairs*e.spec.PairsMS)
		j.done += n
		left -= n
	}
	return time.Duration(ms * e.slow * float64(time.Millisecond))
}

// finishStep makes a token for each request whose prompt is read.
func (e *engine) finishStep() {
	var going []*job
	for _, j := range e.running {
		if j.done < j.prompt || !e.token(j) {
			going = append(going, j)
		}
	}
	e.running = going
}

// token makes a token of a job and reports whether that was the last.
func (e *engine) token(j *job) bool {
	if !j.began {
		j.began = true
		j.private = 0
		e.limitCache()
		e.cache.add(j.parts)
		if j.step == msg.StepPrefill {
			handle := string(j.attempt)
			e.handles[handle] = j
			e.tell(j, msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectPrefilled, Status: 200, Handle: handle})
			return true
		}
		e.w.after(time.Duration(e.spec.FirstMS*float64(time.Millisecond)), func() { e.tell(j, msg.DirectAttemptStarted{Attempt: j.attempt}) })
	}
	j.outputs--
	if j.outputs > 0 {
		return false
	}
	e.w.after(time.Duration(e.spec.FirstMS*float64(time.Millisecond)), func() {
		e.tell(j, msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectDone, Status: 200, Streaming: true})
	})
	return true
}

func (e *engine) tell(j *job, ev msg.Event) {
	if !j.lost {
		j.told(ev)
	}
}

// cancel ends an attempt.
func (e *engine) cancel(id msg.AttemptID) {
	is := func(j *job) bool { return j.attempt == id }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.running = slices.DeleteFunc(e.running, is)
}

// change makes the engine take another role once its requests are over.
func (e *engine) change(role msg.Role) {
	e.changing = true
	e.role = role
	for _, j := range e.waiting {
		j.told(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectNotRun, Status: 503})
	}
	e.waiting = nil
	e.next()
}

func (e *engine) settleChange() {
	if !e.changing || e.role == e.in.Role {
		return
	}
	e.in.Role = e.role
	life := e.life
	e.w.after(e.spec.Change, func() {
		if life == e.life {
			e.changing = false
		}
	})
}

// crash ends the engine and all that it does for a while.
func (e *engine) crash(d time.Duration) {
	e.life++
	e.down = true
	e.stepping = false
	e.changing = false
	for _, j := range append(e.running, e.waiting...) {
		j.told(msg.DirectAttemptEnded{Attempt: j.attempt, Result: msg.DirectInterrupted, Streaming: j.began})
	}
	e.running, e.waiting = nil, nil
	e.cache = newLRU(e.spec.CacheTokens)
	e.handles = make(map[string]*job)
	e.w.after(d, func() {
		e.down = false
		e.in.StartedMS++
		e.in.Role = msg.RoleDecode
	})
}
