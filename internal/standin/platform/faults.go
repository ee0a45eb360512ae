package platform

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"time"

	"golang.org/x/time/rate"
)

// Faults says how the platform misbehaves. The zero value is well.
type Faults struct {
	// Down answers every call with 503, without effect.
	Down bool `json:"down"`
	// SlowMS delays every call by this many milliseconds.
	SlowMS int `json:"slowMs"`
	// LoseNextWrites is the number of writes that take effect and whose
	// answers are lost.
	LoseNextWrites int `json:"loseNextWrites"`
	// LoseProbability is the chance that a write's answer is lost.
	LoseProbability float64 `json:"loseProbability"`
	// HostLagMS is how many milliseconds the host list is behind.
	HostLagMS int `json:"hostLagMs"`
	// WritesPerSecond and ReadsPerSecond limit the rates; zero for no limit.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	// WeightsPerSecond limits fetches from the weight store; zero for no limit.
	WeightsPerSecond float64 `json:"weightsPerSecond"`
	// IgnoreFencing makes the target interface take every epoch.
	IgnoreFencing bool `json:"ignoreFencing"`
	// TargetDelayMS is the time in milliseconds until an ordered target is ready.
	TargetDelayMS int `json:"targetDelayMs"`
	// Seed seeds the choice of lost answers.
	Seed uint64 `json:"seed"`
}

// Counts are the calls that the platform got since its start.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	// Limited counts the calls refused by a rate limit.
	Limited int `json:"limited"`
	// Lost counts the writes whose answer was lost.
	Lost int `json:"lost"`
}

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
	f.reads = limiter(v.ReadsPerSecond)
	f.writes = limiter(v.WritesPerSecond)
	f.weights = limiter(v.WeightsPerSecond)
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetFaults replaces the present faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.set(f)
}

// Counts returns the calls so far.
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

// verdict is what the faults do to one call.
type verdict struct {
	down, limited, lose bool
	delay               time.Duration
}

func (s *Server) judge(r *http.Request) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	v := verdict{down: f.Down, delay: time.Duration(f.SlowMS) * time.Millisecond}
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
		v.lose = s.loses()
	}
	return v
}

func (s *Server) countRead(r *http.Request) {
	if r.URL.Query().Has("wait") {
		s.counts.Watches++
		return
	}
	s.counts.Reads++
}

func (s *Server) loses() bool {
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

// misbehave applies the faults to each call of the platform.
func (s *Server) misbehave(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		v := s.judge(r)
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
