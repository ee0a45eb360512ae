package platform

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// UsageFigures are the reported figures of one client account and window.
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

// UsageReport is one report that the usage interface took.
type UsageReport struct {
	Account string       `json:"account"`
	Window  string       `json:"window"`
	Figures UsageFigures `json:"figures"`
	// Repeats counts the later reports with the same figures.
	Repeats int `json:"repeats"`
	// Refused counts the later reports with other figures.
	Refused int `json:"refused"`
}

type usageBody struct {
	UsageFigures
	Epoch uint64 `json:"epoch"`
}

type usageKey struct{ account, window string }

type usage struct{ reports map[usageKey]*UsageReport }

func newUsage() usage { return usage{reports: make(map[usageKey]*UsageReport)} }

// Usage returns the reports so far in order of account and window.
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

func (s *Server) reportUsage(w http.ResponseWriter, r *http.Request) {
	var body usageBody
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
	known, ok := s.usage.reports[k]
	switch {
	case !ok:
		s.usage.reports[k] = &UsageReport{Account: k.account, Window: k.window, Figures: body.UsageFigures}
	case known.Figures == body.UsageFigures:
		known.Repeats++
	default:
		known.Refused++
		writeError(w, http.StatusConflict, "already-reported", "other figures were reported for this window")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

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
