package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/verbenaspur/verbenaspur/internal/standin/control"
)

// Server is a stand-in engine. It is an [http.Handler].
type Server struct {
	cfg    Config
	faults *control.Injector
	http   http.Handler
	client *http.Client

	mu            sync.Mutex
	role          string
	models        []Model
	epoch         uint64
	lastOrder     string // ID of the last executed order
	appliedOrders map[string]bool
	changing      bool // an order is being executed
	seenAttempts  map[string]bool
	running       map[string]*attempt
	kvExports     map[string]int
	slots         *slots
	prefillLock   chan struct{}
	prefillTokens int
	kvUsed        int
	cache         *prefixCache
	loadSamples   []loadSample
	stats         Stats
}

// attempt is a running generation.
type attempt struct {
	cancel context.CancelFunc
}

// Stats is the response body of GET /control/stats.
type Stats struct {
	// Starts counts the starts of each attempt ID. Crashes don't reset it.
	Starts map[string]int `json:"starts"`
	// Orders lists the executed orders.
	Orders []ExecutedOrder `json:"orders"`
	// CancelledByOrder counts the attempts that orders cancelled.
	CancelledByOrder int `json:"cutByOrder"`
	Running          int `json:"running"`
	Crashes          int `json:"crashes"`
	// CredentialSeen reports whether any call contained a caller's credential.
	CredentialSeen bool `json:"credentialSeen"`
}

// ExecutedOrder is an order that was executed.
type ExecutedOrder struct {
	ID    string `json:"id"`
	Kind  string `json:"kind"`
	Epoch uint64 `json:"epoch"`
}

// New returns an engine without running attempts.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, client: &http.Client{Timeout: 5 * time.Second}}
	s.stats.Starts = make(map[string]int)
	s.role = cfg.Role
	s.models = append(s.models, cfg.Models...)
	s.faults = control.NewInjector(s.reset)
	s.reset()
	s.stats.Crashes = 0
	s.http = s.faults.Wrap(s.routes())
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.ServeHTTP(w, r) }

// Faults returns the engine's fault injector, for tests in the same process.
func (s *Server) Faults() *control.Injector { return s.faults }

// Stats returns a copy of the engine's counts and executed orders.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Starts = make(map[string]int, len(s.stats.Starts))
	for id, n := range s.stats.Starts {
		st.Starts[id] = n
	}
	st.Orders = append([]ExecutedOrder{}, s.stats.Orders...)
	st.Running = len(s.running)
	st.CredentialSeen = s.faults.CredentialSeen()
	return st
}

// reset drops the volatile state and counts a crash.
func (s *Server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appliedOrders = make(map[string]bool)
	s.seenAttempts = make(map[string]bool)
	s.running = make(map[string]*attempt)
	s.kvExports = make(map[string]int)
	s.slots = &slots{free: s.cfg.MaxBatch}
	s.prefillLock = make(chan struct{}, 1)
	s.prefillTokens, s.kvUsed = 0, 0
	s.cache = newPrefixCache(s.cfg.CacheTokens, s.cfg.CacheEventLossInterval)
	s.loadSamples = nil
	s.lastOrder, s.epoch = "", 0
	s.changing = false
	s.stats.Crashes++
}

func (s *Server) routes() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/v1/chat/completions", s.generateChat).Methods(http.MethodPost)
	m.HandleFunc("/v1/completions", s.generateText).Methods(http.MethodPost)
	m.HandleFunc("/v1/attempts/{id}/cancel", s.cancelAttempt).Methods(http.MethodPost)
	m.HandleFunc("/v1/kv/{attempt}", s.exportKV).Methods(http.MethodGet)
	m.HandleFunc("/v1/load", s.serveLoad).Methods(http.MethodGet)
	m.HandleFunc("/v1/cache-events", s.serveCacheEvents).Methods(http.MethodGet)
	m.HandleFunc("/v1/orders", s.serveOrder).Methods(http.MethodPost)
	m.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	m.HandleFunc("/control/faults", s.faults.ServeFaults).Methods(http.MethodPost)
	m.HandleFunc("/control/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	}).Methods(http.MethodGet)
	return m
}

// sleep waits for a duration of the cost model, scaled by Config.Speed and the
// current faults. It reports whether the whole time passed.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
	return s.faults.Sleep(ctx, s.scaled(d))
}

func (s *Server) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / s.cfg.Speed)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{errorDetail{code, message}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
