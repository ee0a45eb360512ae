package requests

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Cost model of an engine. It models a runner with eight accelerators. Its size
// follows from the design target of 600 runners with about 7 requests and 2,700
// generated tokens per second each.
const (
	// stepBase is the fixed time of an iteration, and stepPerSequence the
	// additional time for each sequence in the batch.
	stepBase        = 12 * time.Millisecond
	stepPerSequence = 150 * time.Microsecond
	// prefillRate is in tokens per second.
	prefillRate = 40_000
	// maxChunkTokens is the largest number of prompt tokens that an iteration
	// prefills.
	maxChunkTokens = 1024
	// maxBatch is the largest number of sequences in the batch.
	maxBatch    = 192
	kvTokens    = 2_000_000
	cacheBlocks = 120
	blockTokens = 2000
	// observedWeight is the weight of an iteration in the reported step time and
	// prefill rate, which are exponential moving averages.
	observedWeight = 0.05
)

// sequence is an attempt on a target.
type sequence struct {
	spec             msg.AttemptSpec
	entry            *entry
	prefix           []msg.BlockHash
	prompt           int
	output           int
	cachedTokens     int
	remainingPrefill int
	generated        int
	// received is the number of tokens that the caller received from earlier
	// attempts. The engine prefills them like the prompt.
	received int
}

// engine is a model engine with its side daemon.
type engine struct {
	*server
	waiting             []*sequence
	decoding            []*sequence
	cachedBlocks        map[msg.BlockHash]uint64
	useCount            uint64
	stepTime            time.Duration
	observedPrefillRate float64
	busy                bool
	events              []msg.CacheEvent
	eventSeq            uint64
}

func newEngine(s *server) *engine {
	return &engine{server: s, cachedBlocks: make(map[msg.BlockHash]uint64), observedPrefillRate: prefillRate}
}

func (e *engine) start(q *sequence) {
	for i, p := range q.prefix {
		if _, ok := e.cachedBlocks[p]; ok {
			q.cachedTokens = (i + 1) * blockTokens
		}
	}
	q.cachedTokens = min(q.cachedTokens, q.prompt-1)
	q.remainingPrefill = q.prompt + q.received - q.cachedTokens
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].spec.Priority > q.spec.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, q)
	e.iterate()
}

// iterate starts an iteration unless one is in progress or there is no work.
func (e *engine) iterate() {
	if e.busy || e.down || len(e.waiting)+len(e.decoding) == 0 {
		return
	}
	e.busy = true
	chunk := e.nextChunk()
	took := stepBase + time.Duration(len(e.decoding))*stepPerSequence
	took += time.Duration(float64(chunk) / prefillRate * float64(time.Second))
	if len(e.decoding) > 0 {
		e.stepTime += time.Duration(observedWeight * float64(took-e.stepTime))
	}
	if chunk > 0 {
		e.observedPrefillRate += observedWeight * (float64(chunk)/took.Seconds() - e.observedPrefillRate)
	}
	crashesBefore := e.crashes
	e.sim.after(took, func() {
		if e.crashes != crashesBefore {
			return
		}
		e.busy = false
		e.finishIteration(chunk)
		e.iterate()
	})
}

// nextChunk returns the number of prompt tokens that the next iteration prefills.
// Only prompts for which the batch has free places count.
func (e *engine) nextChunk() int {
	sum := 0
	for _, q := range e.waiting[:min(len(e.waiting), max(maxBatch-len(e.decoding), 0))] {
		sum += q.remainingPrefill
	}
	return min(sum, maxChunkTokens)
}

// finishIteration applies the work of an iteration, with chunk prompt tokens.
func (e *engine) finishIteration(chunk int) {
	e.decoding = slices.DeleteFunc(e.decoding, func(q *sequence) bool { return e.generateToken(q) })
	for chunk > 0 && len(e.waiting) > 0 && len(e.decoding) < maxBatch {
		head := e.waiting[0]
		work := min(head.remainingPrefill, chunk)
		head.remainingPrefill -= work
		chunk -= work
		if head.remainingPrefill > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.touch(head.prefix)
		if !e.generateToken(head) {
			e.decoding = append(e.decoding, head)
		}
	}
}

// generateToken generates a token of a sequence and reports whether the sequence is
// complete.
func (e *engine) generateToken(q *sequence) bool {
	q.generated++
	e.sim.deliverToken(e.server, q)
	if q.generated < q.output {
		return false
	}
	usage := msg.TokenUsage{Prompt: int64(q.prompt), Cached: int64(q.cachedTokens), Generated: int64(q.generated)}
	e.sim.endAttempt(e.server, q, msg.AttemptDone, usage)
	return true
}

// touch marks blocks as used, and evicts the least recently used ones if there are
// more than cacheBlocks.
func (e *engine) touch(prefix []msg.BlockHash) {
	e.useCount++
	for _, p := range prefix {
		if _, ok := e.cachedBlocks[p]; !ok {
			e.recordEvent(p, false)
		}
		e.cachedBlocks[p] = e.useCount
	}
	for len(e.cachedBlocks) > cacheBlocks {
		e.evict()
	}
}

// evict evicts the least recently used block.
func (e *engine) evict() {
	var oldest msg.BlockHash
	found := false
	for p, used := range e.cachedBlocks {
		if !found || used < e.cachedBlocks[oldest] || (used == e.cachedBlocks[oldest] && p < oldest) {
			oldest, found = p, true
		}
	}
	delete(e.cachedBlocks, oldest)
	e.recordEvent(oldest, true)
}

// recordEvent records a cache event for a block.
func (e *engine) recordEvent(p msg.BlockHash, removed bool) {
	e.eventSeq++
	e.events = append(e.events, msg.CacheEvent{Seq: e.eventSeq, Removed: removed, Blocks: []msg.BlockHash{p}})
}

func (e *engine) cancel(id msg.AttemptID) *sequence {
	for _, list := range []*[]*sequence{&e.waiting, &e.decoding} {
		i := slices.IndexFunc(*list, func(q *sequence) bool { return q.spec.Attempt == id })
		if i >= 0 {
			q := (*list)[i]
			*list = slices.Delete(*list, i, i+1)
			return q
		}
	}
	return nil
}

// dropAll drops all attempts and clears the cache.
func (e *engine) dropAll() []*sequence {
	lost := slices.Concat(e.waiting, e.decoding)
	e.waiting, e.decoding, e.events = nil, nil, nil
	e.cachedBlocks = make(map[msg.BlockHash]uint64)
	e.eventSeq = 0
	e.stepTime = 0
	e.busy = false
	return lost
}

func (e *engine) load() msg.LoadReport {
	r := msg.LoadReport{
		Models:  []msg.LoadedModel{{Model: modelName}},
		Running: len(e.decoding), Queued: len(e.waiting),
		KVTotal: kvTokens, PrefillRate: float32(e.observedPrefillRate), StepTime: e.stepTime, MaxBatch: maxBatch,
	}
	for _, q := range e.waiting {
		r.PrefillTokens += q.remainingPrefill
		r.KVUsed += q.prompt
	}
	for _, q := range e.decoding {
		r.KVUsed += q.prompt + q.generated
	}
	return r
}

func (e *engine) takeEvents() []msg.CacheEvent {
	out := e.events
	e.events = nil
	return out
}
