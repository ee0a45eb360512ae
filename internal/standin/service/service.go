// Package service is a small stand-in for a plain service, for tests and the
// demo. It counts the runs of each call and keeps a register of load orders.
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

// Config sets up a stand-in service.
type Config struct {
	// CallTime is the time that a call takes.
	CallTime time.Duration
	// MaxBatch is the largest number of calls at once, as reported.
	MaxBatch int
	// Register keeps the load orders; instances of one service share it. Nil
	// for one of its own.
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
	faults *control.State
	http   http.Handler

	mu      sync.Mutex
	running int
	runs    map[string]int
	starts  map[string]int
}

// Stats is the body of GET /control/stats.
type Stats struct {
	// Runs counts the runs per path and body: "path sha256".
	Runs map[string]int `json:"runs"`
	// Starts counts the starts per attempt id.
	Starts         map[string]int `json:"starts"`
	Running        int            `json:"running"`
	CredentialSeen bool           `json:"credentialSeen"`
}

// New returns an idle service.
func New(cfg Config) *Server {
	if cfg.Register == nil {
		cfg.Register = NewRegister()
	}
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = 64
	}
	s := &Server{cfg: cfg, runs: make(map[string]int), starts: make(map[string]int)}
	s.faults = control.NewState(func() {})
	s.http = s.faults.Wrap(s.routes())
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.ServeHTTP(w, r) }

// Faults returns the service's misbehaviour, for tests in the same process.
func (s *Server) Faults() *control.State { return s.faults }

// RunKey names the runs of a call in [Stats].
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
	m.HandleFunc("/orders", s.counted(s.createOrder)).Methods(http.MethodPost)
	m.HandleFunc("/stock/{item}", s.counted(s.lookUpStock)).Methods(http.MethodGet)
	m.PathPrefix("/").HandlerFunc(s.counted(s.echo))
	return m
}

// counted counts a run and takes the call's time before the handler answers.
func (s *Server) counted(next func(http.ResponseWriter, *http.Request, []byte)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		frozen := s.faults.Frozen()
		s.enter(r, body)
		defer s.leave()
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

func (s *Server) enter(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs[RunKey(r.URL.Path, body)]++
	if id := r.Header.Get("X-Attempt-Id"); id != "" {
		s.starts[id]++
	}
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// loadOrder is the part of a load order that the register reads.
type loadOrder struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

type orderCreated struct {
	Order string `json:"order"`
}

func (s *Server) createOrder(w http.ResponseWriter, _ *http.Request, body []byte) {
	var o loadOrder
	if err := json.Unmarshal(body, &o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusCreated, orderCreated{s.cfg.Register.add(o, body)})
}

func (g *Register) add(o loadOrder, body []byte) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders = append(g.orders, body)
	g.stock[o.Item] += o.Quantity
	return fmt.Sprintf("order-%d", len(g.orders))
}

// Stock returns the ordered quantity of an item.
func (g *Register) Stock(item string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stock[item]
}

type stockLine struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

func (s *Server) lookUpStock(w http.ResponseWriter, r *http.Request, _ []byte) {
	item := mux.Vars(r)["item"]
	writeJSON(w, http.StatusOK, stockLine{item, s.cfg.Register.Stock(item)})
}

// echoed describes a call of any other path.
type echoed struct {
	Method  string `json:"method"`
	Path    string `json:"path"`
	Query   string `json:"query,omitempty"`
	Account string `json:"account,omitempty"`
	Body    string `json:"body,omitempty"`
}

func (s *Server) echo(w http.ResponseWriter, r *http.Request, body []byte) {
	writeJSON(w, http.StatusOK, echoed{
		Method:  r.Method,
		Path:    r.URL.Path,
		Query:   r.URL.RawQuery,
		Account: r.Header.Get("X-Client-Account"),
		Body:    string(body),
	})
}

// load is the body of GET /v1/load.
type load struct {
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	MaxBatch int `json:"maxBatch"`
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, load{Running: s.Stats().Running, MaxBatch: s.cfg.MaxBatch})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
