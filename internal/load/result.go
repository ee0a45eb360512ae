package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits within which an answer counts as good.
const (
	GoodFirstToken    = 320 * time.Millisecond
	GoodBetweenTokens = 49 * time.Millisecond
)

// Bounds of the histograms, which count microseconds.
const (
	minLatency  = 1
	maxLatency  = int64(time.Hour / time.Microsecond)
	significant = 3
)

// Result is the outcome of one run.
type Result struct {
	Workload string        `json:"workload"`
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"durationNs"`
	Total    Group         `json:"total"`
	Streams  []Group       `json:"streams"`
	Accounts []Group       `json:"accounts"`
	// Series holds the requests by the second at which they were due.
	Series []Second `json:"series"`
}

// Group is the result of a part of the requests.
type Group struct {
	Name string `json:"name"`
	Summary
	Outcomes map[Outcome]int `json:"outcomes"`
	Codes    map[string]int  `json:"codes,omitempty"`
	Tokens   int             `json:"tokens"`
	First    Latency         `json:"firstToken"`
	Between  Latency         `json:"betweenTokens"`
	Whole    Latency         `json:"wholeAnswer"`
}

// Summary counts requests.
type Summary struct {
	Requests int `json:"requests"`
	Done     int `json:"done"`
	// Good counts whole answers of their own request within the limits of the
	// first token and, on average, between tokens.
	Good int `json:"good"`
}

// Second is one second of a run.
type Second struct {
	At int `json:"at"`
	Summary
}

// Latency describes a distribution of durations in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
	// HDR is the histogram in HdrHistogram's compressed form, in base64.
	HDR string `json:"hdr,omitempty"`
}

// recorder gathers answers. It is safe for concurrent use.
type recorder struct {
	workload *Workload

	mu       sync.Mutex
	total    *gatherer
	streams  map[string]*gatherer
	accounts map[string]*gatherer
	seconds  map[int]*Summary
}

type gatherer struct {
	group                 Group
	first, between, whole *hdrhistogram.Histogram
}

func newGatherer(name string) *gatherer {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(minLatency, maxLatency, significant) }
	return &gatherer{
		group: Group{Name: name, Outcomes: make(map[Outcome]int), Codes: make(map[string]int)},
		first: h(), between: h(), whole: h(),
	}
}

func newRecorder(w *Workload) *recorder {
	return &recorder{
		workload: w, total: newGatherer("total"), seconds: make(map[int]*Summary),
		streams: make(map[string]*gatherer), accounts: make(map[string]*gatherer),
	}
}

// add records an answer to a request that was due at a time.
func (r *recorder) add(req *Request, due time.Time, a answer, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	good := isGood(req, due, &a)
	for _, g := range []*gatherer{r.total, part(r.streams, req.Stream.Name), part(r.accounts, req.Stream.Account)} {
		g.add(due, &a, end, good)
	}
	at := int(req.At / time.Second)
	if r.seconds[at] == nil {
		r.seconds[at] = &Summary{}
	}
	r.seconds[at].count(&a, good)
}

func part(m map[string]*gatherer, name string) *gatherer {
	if m[name] == nil {
		m[name] = newGatherer(name)
	}
	return m[name]
}

func isGood(req *Request, due time.Time, a *answer) bool {
	if a.outcome != OutcomeDone {
		return false
	}
	if req.Stream.Call != nil {
		return true
	}
	if a.tokens == 0 || a.first.Sub(due) > GoodFirstToken {
		return false
	}
	return a.tokens < 2 || a.last.Sub(a.first)/time.Duration(a.tokens-1) <= GoodBetweenTokens
}

func (s *Summary) count(a *answer, good bool) {
	s.Requests++
	if a.outcome == OutcomeDone {
		s.Done++
	}
	if good {
		s.Good++
	}
}

func (g *gatherer) add(due time.Time, a *answer, end time.Time, good bool) {
	g.group.count(a, good)
	g.group.Outcomes[a.outcome]++
	if a.code != "" {
		g.group.Codes[a.code]++
	}
	g.group.Tokens += a.tokens
	if a.tokens > 0 {
		record(g.first, a.first.Sub(due))
	}
	for _, gap := range a.gaps {
		record(g.between, gap)
	}
	if a.outcome == OutcomeDone {
		record(g.whole, end.Sub(due))
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	v := min(max(d.Microseconds(), minLatency), maxLatency)
	if err := h.RecordValue(v); err != nil {
		panic("load: latency out of bounds: " + err.Error())
	}
}

func (r *recorder) summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total.group.Summary
}

func (r *recorder) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Result{
		Workload: r.workload.Name, Seed: r.workload.Seed, Duration: r.workload.Duration.D(),
		Total: r.total.finish(), Streams: finishAll(r.streams), Accounts: finishAll(r.accounts),
	}
	for at, s := range r.seconds {
		out.Series = append(out.Series, Second{At: at, Summary: *s})
	}
	slices.SortFunc(out.Series, func(a, b Second) int { return cmp.Compare(a.At, b.At) })
	return out
}

func finishAll(m map[string]*gatherer) []Group {
	out := make([]Group, 0, len(m))
	for _, g := range m {
		out = append(out, g.finish())
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (g *gatherer) finish() Group {
	out := g.group
	out.First, out.Between, out.Whole = latency(g.first), latency(g.between), latency(g.whole)
	return out
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return milliseconds(h.ValueAtQuantile(q)) }
	l := Latency{
		Count: h.TotalCount(), Mean: h.Mean() / 1000,
		P50: at(50), P95: at(95), P99: at(99), P999: at(99.9), Max: milliseconds(h.Max()),
	}
	if b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
		l.HDR = string(b)
	}
	return l
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
