package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Limits within which a response counts as good.
const (
	// GoodFirstToken is the longest time to the first token.
	GoodFirstToken = 320 * time.Millisecond
	// GoodBetweenTokens is the longest mean time between two tokens.
	GoodBetweenTokens = 49 * time.Millisecond
)

// Range, in microseconds, and precision of the histograms.
const (
	minLatency        = 1
	maxLatency        = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Result is the result of one load run.
type Result struct {
	Workload string        `json:"workload"`
	Seed     uint64        `json:"seed"`
	Duration time.Duration `json:"durationNs"`
	Total    Group         `json:"total"`
	Streams  []Group       `json:"streams"`
	Accounts []Group       `json:"accounts"`
	// Series counts the requests by the second for which they were scheduled.
	Series []Second `json:"series"`
}

// Group is the result of a group of requests: of all, of one stream, or of one
// client account.
type Group struct {
	Name string `json:"name"`
	Summary
	Outcomes      map[Outcome]int `json:"outcomes"`
	Codes         map[string]int  `json:"codes,omitempty"`
	Tokens        int             `json:"tokens"`
	FirstToken    Latency         `json:"firstToken"`
	BetweenTokens Latency         `json:"betweenTokens"`
	WholeAnswer   Latency         `json:"wholeAnswer"`
}

// Summary counts requests.
type Summary struct {
	Requests int `json:"requests"`
	Done     int `json:"done"`
	// Good counts the requests with OutcomeDone whose time to the first token
	// and mean time between tokens are within the limits. Calls of plain services
	// have no limits.
	Good int `json:"good"`
}

// Second counts the requests of one second of a run.
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

// recorder collects the responses of a run. It is safe for concurrent use.
type recorder struct {
	workload *Workload

	mu       sync.Mutex
	total    *groupRecorder
	streams  map[string]*groupRecorder
	accounts map[string]*groupRecorder
	seconds  map[int]*Summary
}

// groupRecorder collects the responses of one group.
type groupRecorder struct {
	group                 Group
	first, between, whole *hdrhistogram.Histogram
}

func newGroupRecorder(name string) *groupRecorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(minLatency, maxLatency, significantDigits) }
	return &groupRecorder{
		group: Group{Name: name, Outcomes: make(map[Outcome]int), Codes: make(map[string]int)},
		first: h(), between: h(), whole: h(),
	}
}

func newRecorder(w *Workload) *recorder {
	return &recorder{
		workload: w, total: newGroupRecorder("total"), seconds: make(map[int]*Summary),
		streams: make(map[string]*groupRecorder), accounts: make(map[string]*groupRecorder),
	}
}

// add records the response to a request. Latencies count from its scheduled time
// rather than from the time at which it was sent. End is the time at which the
// response ended.
func (r *recorder) add(req *Request, scheduled time.Time, res response, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	good := isGood(req, scheduled, &res)
	for _, g := range []*groupRecorder{r.total, groupFor(r.streams, req.Stream.Name), groupFor(r.accounts, req.Stream.Account)} {
		g.add(scheduled, &res, end, good)
	}
	at := int(req.At / time.Second)
	if r.seconds[at] == nil {
		r.seconds[at] = &Summary{}
	}
	r.seconds[at].count(&res, good)
}

// groupFor returns the recorder with the given name, and creates it if needed.
func groupFor(m map[string]*groupRecorder, name string) *groupRecorder {
	if m[name] == nil {
		m[name] = newGroupRecorder(name)
	}
	return m[name]
}

// isGood reports whether a response counts as good. See [Summary].
func isGood(req *Request, scheduled time.Time, res *response) bool {
	if res.outcome != OutcomeDone {
		return false
	}
	if req.Stream.Call != nil {
		return true
	}
	if res.tokens == 0 || res.first.Sub(scheduled) > GoodFirstToken {
		return false
	}
	return res.tokens < 2 || res.last.Sub(res.first)/time.Duration(res.tokens-1) <= GoodBetweenTokens
}

func (s *Summary) count(res *response, good bool) {
	s.Requests++
	if res.outcome == OutcomeDone {
		s.Done++
	}
	if good {
		s.Good++
	}
}

func (g *groupRecorder) add(scheduled time.Time, res *response, end time.Time, good bool) {
	g.group.count(res, good)
	g.group.Outcomes[res.outcome]++
	if res.code != "" {
		g.group.Codes[res.code]++
	}
	g.group.Tokens += res.tokens
	if res.tokens > 0 {
		record(g.first, res.first.Sub(scheduled))
	}
	for _, gap := range res.gaps {
		record(g.between, gap)
	}
	if res.outcome == OutcomeDone {
		record(g.whole, end.Sub(scheduled))
	}
}

// record adds a duration to a histogram. Durations outside of its range count as
// the nearest bound.
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

func finishAll(m map[string]*groupRecorder) []Group {
	out := make([]Group, 0, len(m))
	for _, g := range m {
		out = append(out, g.finish())
	}
	slices.SortFunc(out, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func (g *groupRecorder) finish() Group {
	out := g.group
	out.FirstToken, out.BetweenTokens, out.WholeAnswer = latency(g.first), latency(g.between), latency(g.whole)
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
