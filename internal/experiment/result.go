package experiment

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// windowLength is the length of the windows of which the worst are told,
	// and worstWindows their number.
	windowLength = 2 * time.Second
	worstWindows = 2
	// stillUsed is how long after its last use a shared part is expected to
	// be held.
	stillUsed = 10 * time.Second
	longestMS = 60_000
)

// Result is what callers got.
type Result struct {
	spec    *Spec
	windows []worth
	used    map[uint64]time.Duration

	// Whole is the share of the worth of all requests, Windows that of the
	// two worst windows and Kind that of the worst kind.
	Whole   float64 `json:"whole"`
	Windows float64 `json:"windows"`
	Kind    float64 `json:"kind"`
	// Read counts the prompt tokens that engines read, ReadAgain those of
	// shared parts that were used shortly before, and Cached those that the
	// engines held.
	Read      int          `json:"read"`
	ReadAgain int          `json:"readAgain"`
	Cached    int          `json:"cached"`
	Kinds     []KindResult `json:"kinds"`
}

// KindResult is what callers of one kind got.
type KindResult struct {
	Name    string  `json:"name"`
	Requests   int     `json:"asked"`
	InTime  int     `json:"inTime"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
	// P50 and P99 are the times to the first token in milliseconds.
	P50 int64 `json:"p50Ms"`
	P99 int64 `json:"p99Ms"`

	sum   worth
	times *hdrhistogram.Histogram
}

// worth is what was earned of what could be.
type worth struct{ earned, owed float64 }

func (w worth) share() float64 {
	if w.owed == 0 {
		return 1
	}
	return w.earned / w.owed
}

func newResult(s *Spec) *Result {
	r := &Result{spec: s, used: make(map[uint64]time.Duration), windows: make([]worth, s.Duration/windowLength+1)}
	for _, k := range s.Kinds {
		r.Kinds = append(r.Kinds, KindResult{Name: k.Name, times: hdrhistogram.New(1, longestMS, 3)})
	}
	return r
}

// read counts what an engine has to read of a prompt.
func (r *Result) read(now time.Duration, j *job) {
	if j.step == msg.StepDecode {
		return
	}
	r.Cached += j.done
	r.Read += j.prompt - j.done
	shared := j.parts[0]
	if last, ok := r.used[shared.ID]; ok && now-last <= stillUsed {
		r.ReadAgain += max(shared.Tokens-j.done, 0)
	}
	r.used[shared.ID] = now
}

func (r *Result) count(c *caller, f func(*KindResult)) {
	k := &r.Kinds[c.kind]
	f(k)
	r.earn(c, 0)
}

func (r *Result) earn(c *caller, v float64) {
	k := &r.Kinds[c.kind]
	owed := r.spec.Kinds[c.kind].Worth
	k.Requests++
	k.sum.earned += v
	k.sum.owed += owed
	w := &r.windows[(c.since-settle)/windowLength]
	w.earned += v
	w.owed += owed
}

func (r *Result) answered(c *caller, first time.Duration) {
	k := &r.Kinds[c.kind]
	spec := &r.spec.Kinds[c.kind]
	_ = k.times.RecordValue(min(first.Milliseconds(), longestMS))
	if first <= spec.Objective {
		k.InTime++
		r.earn(c, spec.Worth)
		return
	}
	k.Late++
	r.earn(c, spec.LateWorth)
}

func (r *Result) finish() {
	var all worth
	r.Kind = 1
	for i := range r.Kinds {
		k := &r.Kinds[i]
		k.Worth = k.sum.share()
		k.P50 = k.times.ValueAtQuantile(50)
		k.P99 = k.times.ValueAtQuantile(99)
		r.Kind = min(r.Kind, k.Worth)
		all.earned += k.sum.earned
		all.owed += k.sum.owed
	}
	r.Whole = all.share()
	shares := make([]float64, len(r.windows))
	for i, w := range r.windows {
		shares[i] = w.share()
	}
	slices.Sort(shares)
	worst := shares[:min(worstWindows, len(shares))]
	for _, s := range worst {
		r.Windows += s / float64(len(worst))
	}
}

// WriteTable writes the result for people.
func (r *Result) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintln(w, "KIND\tASKED\tIN TIME\tLATE\tREFUSED\tFAILED\tWORTH\tP50 MS\tP99 MS")
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\n", k.Name, k.Requests, k.InTime, k.Late, k.Refused, k.Failed, k.Worth, k.P50, k.P99)
	}
	_, _ = fmt.Fprintf(w, "whole %.3f\tworst windows %.3f\tworst kind %.3f\tread %d\tread again %d\tcached %d\n", r.Whole, r.Windows, r.Kind, r.Read, r.ReadAgain, r.Cached)
}
