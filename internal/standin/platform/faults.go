package platform

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"

	"golang.org/x/time/rate"
)

// Faults are the faults that the platform injects. The zero value injects none.
type Faults struct {
	// Down answers every call with status 503 and does not execute it.
	Down bool `json:"down"`
	// SlowMS delays every call by this many milliseconds.
	SlowMS int `json:"slowMs"`
	// LoseNextWrites is the number of following writes that take effect but
	// whose responses are lost.
	LoseNextWrites int `json:"loseNextWrites"`
	// LoseProbability is the probability that the response to a write is lost.
	LoseProbability float64 `json:"loseProbability"`
	// HostLagMS is the age in milliseconds of the host list that is returned.
	HostLagMS int `json:"hostLagMs"`
	// WritesPerSecond and ReadsPerSecond limit the call rates; zero means no
	// limit.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	// WeightsPerSecond limits the rate of fetches from the weight store; zero
	// means no limit.
	WeightsPerSecond float64 `json:"weightsPerSecond"`
	// IgnoreFencing makes the target interface accept stale epochs.
	IgnoreFencing bool `json:"ignoreFencing"`
	// TargetDelayMS is the time in milliseconds from the order of a target
	// until the target is ready.
	TargetDelayMS int `json:"targetDelayMs"`
	// Seed seeds the random choice of lost responses.
	Seed uint64 `json:"seed"`
}

// Counts are numbers of calls that the platform received since its start.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	// Limited counts the calls that a rate limit refused.
	Limited int `json:"limited"`
	// Lost counts the writes whose response was lost.
	Lost int `json:"lost"`
}

// faultState is the current faults with the limiters and the random source
// that apply them.
type faultState struct {
	Faults
	rand    *rand.Rand
	reads   *rate.Limiter
	writes  *rate.Limiter
	weights *rate.Limiter
}

func newFaultState() faultState {
	var f faultState
	f.set(Faults{})
	return f
}

func (f *faultState) set(v Faults) {
	f.Faults = v
	f.rand = rand.New(rand.NewPCG(v.Seed, 0))
	f.reads = newLimiter(v.ReadsPerSecond)
	f.writes = newLimiter(v.WritesPerSecond)
	f.weights = newLimiter(v.WeightsPerSecond)
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.set(f)
}

// Counts returns the numbers of calls since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) controlFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) controlCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

// callFaults are the faults that apply to one call.
type callFaults struct {
	down, limited, lose bool
	delay               time.Duration
}

// callFaultsFor counts a call and selects the faults that apply to it.
func (s *Server) callFaultsFor(r *http.Request) callFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	v := callFaults{down: f.Down, delay: time.Duration(f.SlowMS) * time.Millisecond}
	write := r.Method != http.MethodGet
	if write {
		s.counts.Writes++
		v.limited = !f.writes.Allow()
	} else {
		s.countRead(r)
		v.limited = !f.reads.Allow()
	}
	if v.limited {
		s.counts.Limited++
	}
	if write && !v.down && !v.limited {
		v.lose = s.losesAnswer()
	}
	return v
}

// countRead counts a read. A read with the parameter "wait" is a watch.
func (s *Server) countRead(r *http.Request) {
	if r.URL.Query().Has("wait") {
		s.counts.Watches++
		return
	}
	s.counts.Reads++
}

// losesAnswer reports whether the response to a write is to be lost.
func (s *Server) losesAnswer() bool {
	f := &s.faults
	lose := f.LoseNextWrites > 0
	if lose {
		f.LoseNextWrites--
	} else {
		lose = f.LoseProbability > 0 && f.rand.Float64() < f.LoseProbability
	}
	if lose {
		s.counts.Lost++
	}
	return lose
}

// injectFaults is the middleware that applies the faults to each call of the
// platform API. A lost response is a call that is executed and whose
// connection is then aborted.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := s.callFaultsFor(r)
		if v.delay > 0 {
			time.Sleep(v.delay)
		}
		switch {
		case v.down:
			writeError(w, http.StatusServiceUnavailable, "down", "the platform is down")
		case v.limited:
			writeError(w, http.StatusTooManyRequests, "rate-limited", "over the platform's rate")
		case v.lose:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}
