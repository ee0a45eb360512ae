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
	// windowLength is the length of the windows for which the score is recorded,
	// and worstWindowCount the number of windows with the lowest scores that are
	// reported.
	windowLength     = 2 * time.Second
	worstWindowCount = 2
	// reuseWindow is how long after its last use a shared segment is expected to
	// be cached.
	reuseWindow = 10 * time.Second
	// maxFirstTokenMS is the largest time to the first token that is recorded.
	// Longer times count as it.
	maxFirstTokenMS = 60_000
)

// Result is the outcome of an experiment for the callers.
type Result struct {
	spec    *Spec
	windows []score
	lastUse map[uint64]time.Duration

	// Overall is the score of all requests, WorstWindows the mean score of the two
	// worst windows and WorstKind the score of the worst kind. Each is a share of
	// the achievable worth.
	Overall      float64 `json:"whole"`
	WorstWindows float64 `json:"windows"`
	WorstKind    float64 `json:"kind"`
	// PrefilledTokens is the number of prompt tokens that engines prefilled.
	// RepeatedTokens is the part of them in shared segments that were used within
	// the last 10 s. CachedTokens is the number of prompt tokens that the engines
	// had cached.
	PrefilledTokens int `json:"read"`
	RepeatedTokens  int `json:"readAgain"`
	CachedTokens    int `json:"cached"`
	// SegmentCrashes counts the engines that a prompt of FaultCrashSegment crashed.
	SegmentCrashes int `json:"segmentCrashes"`
	// Limit is an upper bound of the number of requests in time, for any placement.
	Limit int `json:"limit"`
	// Lengths holds the outcome by length of the prompt; see lengthBounds.
	Lengths []LengthResult `json:"lengths"`
	Kinds   []KindResult   `json:"kinds"`
}

// KindResult is the outcome for the requests of one kind.
type KindResult struct {
	Name     string `json:"name"`
	Requests int    `json:"asked"`
	InTime   int    `json:"inTime"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	// RefusedAgain is the part of Refused that had come back after a refusal.
	RefusedAgain int     `json:"refusedAgain"`
	Failed       int     `json:"failed"`
	Worth        float64 `json:"worth"`
	// P50 and P99 are the median and the 99th percentile of the time to the first
	// token, in milliseconds.
	P50 int64 `json:"p50Ms"`
	P99 int64 `json:"p99Ms"`

	score           score
	firstTokenTimes *hdrhistogram.Histogram
}

// lengthBounds divides prompts by their length, as a multiple of the mean of their kind.
var lengthBounds = []float64{0.5, 1, 2}

// LengthResult is the outcome for the prompts of a range of lengths.
type LengthResult struct {
	Requests int `json:"asked"`
	InTime   int `json:"inTime"`
}

// lengthOf returns the outcome to which a request belongs by its length.
func (r *Result) lengthOf(req *request) *LengthResult {
	k := &r.spec.Kinds[req.kind]
	mean := k.SharedTokens + k.OwnTokens
	if k.Common > 0 {
		mean += k.CommonTokens
	}
	i, _ := slices.BinarySearch(lengthBounds, float64(req.promptTokens)/mean)
	return &r.Lengths[i]
}

// score is the achieved and the achievable worth of requests.
type score struct{ earned, possible float64 }

// share returns the achieved share, which is 1 if there were no requests.
func (s score) share() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

func newResult(s *Spec) *Result {
	r := &Result{
		spec: s, lastUse: make(map[uint64]time.Duration), windows: make([]score, s.Duration/windowLength+1),
		Lengths: make([]LengthResult, len(lengthBounds)+1),
	}
	for _, k := range s.Kinds {
		r.Kinds = append(r.Kinds, KindResult{Name: k.Name, firstTokenTimes: hdrhistogram.New(1, maxFirstTokenMS, 3)})
	}
	return r
}

// countPrompt counts the cached tokens of a prompt and those that the engine has
// to prefill.
func (r *Result) countPrompt(now time.Duration, j *job) {
	if j.step == msg.StepDecode {
		return
	}
	r.CachedTokens += j.prefilledTokens
	r.PrefilledTokens += j.promptTokens - j.prefilledTokens
	shared := j.segments[0]
	if last, ok := r.lastUse[shared.ID]; ok && now-last <= reuseWindow {
		r.RepeatedTokens += max(shared.Tokens-j.prefilledTokens, 0)
	}
	r.lastUse[shared.ID] = now
}

// countUnanswered counts a request without an answer, with no worth. f increments
// the counter of its outcome.
func (r *Result) countUnanswered(req *request, f func(*KindResult)) {
	k := &r.Kinds[req.kind]
	f(k)
	r.addScore(req, 0)
}

// addScore adds a request with the worth v to its kind and to the window in which
// it arrived.
func (r *Result) addScore(req *request, v float64) {
	k := &r.Kinds[req.kind]
	r.lengthOf(req).Requests++
	possible := r.spec.Kinds[req.kind].Worth
	k.Requests++
	k.score.earned += v
	k.score.possible += possible
	w := &r.windows[(req.arrivedAt-warmUpTime)/windowLength]
	w.earned += v
	w.possible += possible
}

// countAnswer counts an answer whose first token arrived after the given time.
func (r *Result) countAnswer(req *request, first time.Duration) {
	k := &r.Kinds[req.kind]
	spec := &r.spec.Kinds[req.kind]
	_ = k.firstTokenTimes.RecordValue(min(first.Milliseconds(), maxFirstTokenMS))
	if first <= spec.Objective {
		k.InTime++
		r.lengthOf(req).InTime++
		r.addScore(req, spec.Worth)
		return
	}
	k.Late++
	r.addScore(req, spec.LateWorth)
}

// finish computes the scores and percentiles from the counts.
func (r *Result) finish() {
	var all score
	r.WorstKind = 1
	for i := range r.Kinds {
		k := &r.Kinds[i]
		k.Worth = k.score.share()
		k.P50 = k.firstTokenTimes.ValueAtQuantile(50)
		k.P99 = k.firstTokenTimes.ValueAtQuantile(99)
		r.WorstKind = min(r.WorstKind, k.Worth)
		all.earned += k.score.earned
		all.possible += k.score.possible
	}
	r.Overall = all.share()
	shares := make([]float64, len(r.windows))
	for i, w := range r.windows {
		shares[i] = w.share()
	}
	slices.Sort(shares)
	worst := shares[:min(worstWindowCount, len(shares))]
	for _, s := range worst {
		r.WorstWindows += s / float64(len(worst))
	}
}

// WriteTable writes the result as a table with tab-separated columns.
func (r *Result) WriteTable(w io.Writer) {
	_, _ = fmt.Fprintln(w, "KIND\tASKED\tIN TIME\tLATE\tREFUSED\tFAILED\tWORTH\tP50 MS\tP99 MS")
	for _, k := range r.Kinds {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\n", k.Name, k.Requests, k.InTime, k.Late, k.Refused, k.Failed, k.Worth, k.P50, k.P99)
	}
	_, _ = fmt.Fprintf(w, "whole %.3f\tworst windows %.3f\tworst kind %.3f\tread %d\tread again %d\tcached %d\n", r.Overall, r.WorstWindows, r.WorstKind, r.PrefilledTokens, r.RepeatedTokens, r.CachedTokens)
}
