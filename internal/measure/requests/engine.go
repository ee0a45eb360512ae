package requests

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The cost model of one engine: a runner of eight accelerators, sized by the
// target of the letter, about 7 requests and 2,700 generated tokens a second
// for each of 600 runners.
const (
	stepBase        = 12 * time.Millisecond
	stepPerSequence = 150 * time.Microsecond
	// prefillRate is in tokens a second.
	prefillRate = 40_000
	// chunkTokens is the prompt work of one iteration.
	chunkTokens = 1024
	maxBatch    = 192
	kvTokens    = 2_000_000
	cachePieces = 120
	pieceTokens = 2000
	// observedWeight is the weight of one iteration in the reported step time
	// and prefill rate.
	observedWeight = 0.05
)

// sequence is one attempt on an engine.
type sequence struct {
	spec    msg.AttemptSpec
	entry   *entry
	prefix  []msg.BlockHash
	prompt  int
	output  int
	cached  int
	prefill int
	done    int
	// from is the number of tokens that the caller had before.
	from int
}

// engine is a model engine with its side daemon.
type engine struct {
	*server
	waiting  []*sequence
	decoding []*sequence
	pieces   map[msg.BlockHash]uint64
	uses     uint64
	step     time.Duration
	rate     float64
	busy     bool
	events   []msg.CacheEvent
	eventSeq uint64
}

func newEngine(s *server) *engine {
	return &engine{server: s, pieces: make(map[msg.BlockHash]uint64), rate: prefillRate}
}

func (e *engine) begin(q *sequence) {
	for i, p := range q.prefix {
		if _, ok := e.pieces[p]; ok {
			q.cached = (i + 1) * pieceTokens
		}
	}
	q.cached = min(q.cached, q.prompt-1)
	q.prefill = q.prompt + q.from - q.cached
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].spec.Priority > q.spec.Priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, q)
	e.iterate()
}

// iterate begins an iteration unless one is under way.
func (e *engine) iterate() {
	if e.busy || e.down || len(e.waiting)+len(e.decoding) == 0 {
		return
	}
	e.busy = true
	chunk := e.chunk()
	took := stepBase + time.Duration(len(e.decoding))*stepPerSequence
	took += time.Duration(float64(chunk) / prefillRate * float64(time.Second))
	if len(e.decoding) > 0 {
		e.step += time.Duration(observedWeight * float64(took-e.step))
	}
	if chunk > 0 {
		e.rate += observedWeight * (float64(chunk)/took.Seconds() - e.rate)
	}
	life := e.life
	e.world.after(took, func() {
		if e.life != life {
			return
		}
		e.busy = false
		e.finish(chunk)
		e.iterate()
	})
}

// chunk is the prompt work of the next iteration in tokens, as far as there
// are free places in the batch.
func (e *engine) chunk() int {
	sum := 0
	for _, q := range e.waiting[:min(len(e.waiting), max(maxBatch-len(e.decoding), 0))] {
		sum += q.prefill
	}
	return min(sum, chunkTokens)
}

// finish books the work of an iteration.
func (e *engine) finish(chunk int) {
	e.decoding = slices.DeleteFunc(e.decoding, func(q *sequence) bool { return e.token(q) })
	for chunk > 0 && len(e.waiting) > 0 && len(e.decoding) < maxBatch {
		head := e.waiting[0]
		work := min(head.prefill, chunk)
		head.prefill -= work
		chunk -= work
		if head.prefill > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		e.use(head.prefix)
		if !e.token(head) {
			e.decoding = append(e.decoding, head)
		}
	}
}

// token generates one token and reports whether the sequence is complete.
func (e *engine) token(q *sequence) bool {
	q.done++
	e.world.token(e.server, q)
	if q.done < q.output {
		return false
	}
	usage := msg.TokenUsage{Prompt: int64(q.prompt), Cached: int64(q.cached), Generated: int64(q.done)}
	e.world.ended(e.server, q, msg.AttemptDone, usage)
	return true
}

// use marks pieces as used and evicts the least recently used ones.
func (e *engine) use(prefix []msg.BlockHash) {
	e.uses++
	for _, p := range prefix {
		if _, ok := e.pieces[p]; !ok {
			e.note(p, false)
		}
		e.pieces[p] = e.uses
	}
	for len(e.pieces) > cachePieces {
		e.evict()
	}
}

func (e *engine) evict() {
	var oldest msg.BlockHash
	found := false
	for p, used := range e.pieces {
		if !found || used < e.pieces[oldest] || (used == e.pieces[oldest] && p < oldest) {
			oldest, found = p, true
		}
	}
	delete(e.pieces, oldest)
	e.note(oldest, true)
}

func (e *engine) note(p msg.BlockHash, removed bool) {
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

// crashed drops all work and the cache.
func (e *engine) crashed() []*sequence {
	lost := slices.Concat(e.waiting, e.decoding)
	e.waiting, e.decoding, e.events = nil, nil, nil
	e.pieces = make(map[msg.BlockHash]uint64)
	e.eventSeq = 0
	e.step = 0
	e.busy = false
	return lost
}

func (e *engine) load() msg.LoadReport {
	r := msg.LoadReport{
		Models:  []msg.LoadedModel{{Model: modelName}},
		Running: len(e.decoding), Queued: len(e.waiting),
		KVTotal: kvTokens, PrefillRate: float32(e.rate), StepTime: e.step, MaxBatch: maxBatch,
	}
	for _, q := range e.waiting {
		r.PrefillTokens += q.prefill
		r.KVUsed += q.prompt
	}
	for _, q := range e.decoding {
		r.KVUsed += q.prompt + q.done
	}
	return r
}

func (e *engine) takeEvents() []msg.CacheEvent {
	out := e.events
	e.events = nil
	return out
}
