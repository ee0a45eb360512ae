// Package service is a small stand-in for a plain service, for tests and the
// demo. It counts how often each call runs and keeps a register of load orders:
// orders for quantities of an item to be loaded.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/verbenaspur/verbenaspur/internal/standin/control"
)

// Config configures a stand-in service.
type Config struct {
	// CallTime is the processing time of a call.
	CallTime time.Duration
	// MaxBatch is the reported maximum number of concurrent calls; zero means
	// 64. It is not enforced.
	MaxBatch int
	// Register keeps the load orders. Instances of one service share it; nil
	// means a register for this instance alone.
	Register *Register
}

// Register holds the load orders of one service. It is safe for concurrent
// use.
type Register struct {
	mu     sync.Mutex
	orders []json.RawMessage
	stock  map[string]int
}

// NewRegister returns an empty register.
func NewRegister() *Register { return &Register{stock: make(map[string]int)} }

// Server is a stand-in service. It is an [http.Handler].
type Server struct {
	cfg    Config
	faults *control.Injector
	http   http.Handler

	mu      sync.Mutex
	running int
	runs    map[string]int
	starts  map[string]int
}

// Stats is the response body of GET /control/stats.
type Stats struct {
	// Runs counts the calls for each path and body, with keys as [RunKey]
	// returns them: "path sha256".
	Runs map[string]int `json:"runs"`
	// Starts counts the calls for each attempt ID.
	Starts         map[string]int `json:"starts"`
	Running        int            `json:"running"`
	CredentialSeen bool           `json:"credentialSeen"`
}

// New returns a service without running calls.
func New(cfg Config) *Server {
	if cfg.Register == nil {
		cfg.Register = NewRegister()
	}
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = 64
	}
	s := &Server{cfg: cfg, runs: make(map[string]int), starts: make(map[string]int)}
	s.faults = control.NewInjector(func() {})
	s.http = s.faults.Wrap(s.routes())
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.ServeHTTP(w, r) }

// Faults returns the service's fault injector, for tests in the same process.
func (s *Server) Faults() *control.Injector { return s.faults }

// RunKey returns the key of a call in Stats.Runs.
func RunKey(path string, body []byte) string {
	sum := sha256.Sum256(body)
	return path + " " + hex.EncodeToString(sum[:])
}

// Stats returns a copy of the service's counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{
		Runs:           copyCounts(s.runs),
		Starts:         copyCounts(s.starts),
		Running:        s.running,
		CredentialSeen: s.faults.CredentialSeen(),
	}
}

func copyCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, n := range m {
		out[k] = n
	}
	return out
}

func (s *Server) routes() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	m.HandleFunc("/v1/load", s.serveLoad).Methods(http.MethodGet)
	m.HandleFunc("/control/faults", s.faults.ServeFaults).Methods(http.MethodPost)
	m.HandleFunc("/control/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Stats())
	}).Methods(http.MethodGet)
	m.HandleFunc("/orders", s.countRun(s.createOrder)).Methods(http.MethodPost)
	m.HandleFunc("/stock/{item}", s.countRun(s.lookUpStock)).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(s.countRun(s.echo))
	return m
}

// countRun returns a handler that counts a call, waits for the processing time
// and then calls next.
func (s *Server) countRun(next func(http.ResponseWriter, *http.Request, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		frozen := s.faults.Frozen()
		s.recordStart(r, body)
		defer s.recordEnd()
		if !s.faults.Sleep(r.Context(), s.cfg.CallTime) {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-frozen:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
		}
		next(w, r, body)
	}
}

func (s *Server) recordStart(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs[RunKey(r.URL.Path, body)]++
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		s.starts[id]++
	}
}

func (s *Server) recordEnd() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// loadOrder holds the fields of a load order that the register uses.
type loadOrder struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

type orderResponse struct {
	Order string `json:"order"`
}

func (s *Server) createOrder(w http.ResponseWriter, _ *http.Request, body []byte) {
	var o loadOrder
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusCreated, orderResponse{s.cfg.Register.add(o, body)})
}

// add records an order and returns its ID.
func (r *Register) add(o loadOrder, body []byte) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, body)
	r.stock[o.Item] += o.Quantity
	return fmt.Sprintf("order-%d", len(r.orders))
}

// Stock returns the total ordered quantity of an item.
func (r *Register) Stock(item string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stock[item]
}

type stockResponse struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

func (s *Server) lookUpStock(w http.ResponseWriter, r *http.Request, _ []byte) {
	item := mux.Vars(r)["item"]
	writeJSON(w, http.StatusOK, stockResponse{item, s.cfg.Register.Stock(item)})
}

// echoResponse is the response to a call of any other path: a description of
// the call.
type echoResponse struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	Account string `json:"account,omitempty"`
	Body    string `json:"body,omitempty"`
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request, body []byte) {
	writeJSON(w, http.StatusOK, echoResponse{
		Method:  r.Method,
		Path:    r.URL.Path,
		Query:   r.URL.RawQuery,
		Account: r.Header.Get("X-Client-Account"),
		Body:    string(body),
	})
}

// loadReport is the response body of GET /v1/load.
type loadReport struct {
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	MaxBatch int `json:"maxBatch"`
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, loadReport{Running: s.Stats().Running, MaxBatch: s.cfg.MaxBatch})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
