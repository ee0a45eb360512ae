package engine

import (
	"net/http"
	"strconv"
	"time"
)

// Load is the response body of GET /v1/load.
type Load struct {
	Role          string  `json:"role"`
	Models        []Model `json:"models"`
	Running       int     `json:"running"`
	Queued        int     `json:"queued"`
	PrefillTokens int     `json:"prefillTokens"`
	KVUsed        int     `json:"kvUsed"`
	KVTotal       int     `json:"kvTotal"`
	PrefillRate   float64 `json:"prefillRate"`
	StepMicros    int64   `json:"stepMicros"`
	MaxBatch      int     `json:"maxBatch"`
	Order         string  `json:"order,omitempty"`
	Epoch         uint64  `json:"epoch,omitempty"`
	Changing      bool    `json:"changing"`
}

// loadSample is the load at one time. Samples are kept so that reports can lag.
type loadSample struct {
	at   time.Time
	load Load
}

// maxLoadSamples limits the number of samples that are kept for the lag.
const maxLoadSamples = 1024

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	step := s.stepTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.loadSamples = append(s.loadSamples, loadSample{now, s.currentLoad(step)})
	if len(s.loadSamples) > maxLoadSamples {
		s.loadSamples = s.loadSamples[1:]
	}
	writeJSON(w, http.StatusOK, s.laggedLoad(now))
}

// laggedLoad returns the newest sample whose age is at least the lag, or the
// oldest sample if there is none. It drops the samples before the one it
// returns.
func (s *Server) laggedLoad(now time.Time) Load {
	lag := s.cfg.LoadLag + s.faults.LoadLag()
	for i := len(s.loadSamples) - 1; i >= 0; i-- {
		if now.Sub(s.loadSamples[i].at) >= lag {
			s.loadSamples = s.loadSamples[i:]
			return s.loadSamples[0].load
		}
	}
	return s.loadSamples[0].load
}

func (s *Server) currentLoad(step time.Duration) Load {
	queued := s.slots.queued()
	return Load{
		Role:          s.role,
		Models:        append([]Model{}, s.models...),
		Running:       len(s.running) - queued,
		Queued:        queued,
		PrefillTokens: s.prefillTokens,
		KVUsed:        s.kvUsed,
		KVTotal:       s.cfg.KVTokens,
		PrefillRate:   s.cfg.PrefillRate * s.cfg.Speed,
		StepMicros:    s.scaled(step).Microseconds(),
		MaxBatch:      s.cfg.MaxBatch,
		Order:         s.lastOrder,
		Epoch:         s.epoch,
		Changing:      s.changing,
	}
}

// cacheEvents is the response body of GET /v1/cache-events.
type cacheEvents struct {
	Events []cacheEvent `json:"events"`
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(orDefault(r.URL.Query().Get("after"), "0"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid-after", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, cacheEvents{s.cache.since(after, time.Now(), s.cfg.CacheEventLag)})
}
