package platform

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// UsageFigures are the figures that are reported for one client account and
// window.
type UsageFigures struct {
	Length              string `json:"length"`
	Requests            int64  `json:"requests"`
	PromptTokens        int64  `json:"promptTokens"`
	CachedTokens        int64  `json:"cachedTokens"`
	GeneratedTokens     int64  `json:"generatedTokens"`
	LatePromptTokens    int64  `json:"latePromptTokens"`
	LateCachedTokens    int64  `json:"lateCachedTokens"`
	LateGeneratedTokens int64  `json:"lateGeneratedTokens"`
}

// UsageReport is the report that was accepted for a client account and window.
type UsageReport struct {
	Account string       `json:"account"`
	Window  string       `json:"window"`
	Figures UsageFigures `json:"figures"`
	// Repeats counts later reports with the same figures, which are accepted.
	Repeats int `json:"repeats"`
	// Refused counts later reports with different figures.
	Refused int `json:"refused"`
}

type usageRequest struct {
	UsageFigures
	Epoch uint64 `json:"epoch"`
}

type usageKey struct{ account, window string }

type usage struct{ reports map[usageKey]*UsageReport }

func newUsage() usage { return usage{reports: make(map[usageKey]*UsageReport)} }

// Usage returns the accepted reports, sorted by account and window.
func (s *Server) Usage() []UsageReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]UsageReport, 0, len(s.usage.reports))
	for _, r := range s.usage.reports {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b UsageReport) int {
		return strings.Compare(a.Account+"\x00"+a.Window, b.Account+"\x00"+b.Window)
	})
	return out
}

func (s *Server) controlUsage(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Usage())
}

// reportUsage accepts the first report for a client account and window. It
// refuses later ones with different figures.
func (s *Server) reportUsage(w http.ResponseWriter, r *http.Request) {
	var body usageRequest
	if !readJSON(w, r, &body) {
		return
	}
	k := usageKey{pathVar(r, "account"), pathVar(r, "window")}
	if _, err := time.Parse(time.RFC3339, k.window); err != nil {
		writeError(w, http.StatusBadRequest, "bad-window", "the window is not an RFC 3339 time")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier, ok := s.usage.reports[k]
	switch {
	case !ok:
		s.usage.reports[k] = &UsageReport{Account: k.account, Window: k.window, Figures: body.UsageFigures}
	case earlier.Figures == body.UsageFigures:
		earlier.Repeats++
	default:
		earlier.Refused++
		writeError(w, http.StatusConflict, "already-reported", "other figures were reported for this window")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// fetchWeights answers a fetch from the weight store, which sends no weights and
// only applies the rate limit.
func (s *Server) fetchWeights(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	ok := s.faults.weights.Allow()
	s.mu.Unlock()
	if !ok {
		w.Header().Set("Retry-After", "1")
		writeError(w, http.StatusTooManyRequests, "rate-limited", "over the weight store's rate")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
