package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Runner is a stand-in for a runner. It answers as PROTOCOL.md says; serve is what it does
// with a request that it runs.
type Runner struct {
	ID, Addr, Service, Zone string
	Slots                   int
	Stage, Version          string
	born                    int64
	rec                     *Record
	store                   *Store
	serve                   func(r *Runner, w http.ResponseWriter, req *http.Request)
	// extra serves a request before serve and reports whether it did.
	extra func(w http.ResponseWriter, req *http.Request) bool

	mu      sync.Mutex
	seq     int
	running int
	conns   map[net.Conn]bool
	l       net.Listener
	srv     *http.Server
	stop    chan struct{}
}

func newRunner(rec *Record, store *Store, id, service, zone string, slots int, serve func(*Runner, http.ResponseWriter, *http.Request)) *Runner {
	return &Runner{ID: id, Service: service, Zone: zone, Slots: slots, Version: "v1", rec: rec, store: store, serve: serve, Addr: freeTCP()}
}

// Start starts the runner and registers it at the store.
func (r *Runner) Start() {
	l, err := net.Listen("tcp", r.Addr)
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", r.Addr)
	}
	if err != nil {
		cannotRun("runner: %v", err)
	}
	r.mu.Lock()
	r.born = time.Now().UnixMilli()
	r.l = l
	r.stop = make(chan struct{})
	r.srv = &http.Server{Handler: r}
	srv, stop := r.srv, r.stop
	r.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	r.beat()
	go func() {
		for {
			select {
			case <-time.After(1200 * time.Millisecond):
				r.beat()
			case <-stop:
				return
			}
		}
	}()
}

func (r *Runner) beat() {
	r.mu.Lock()
	r.seq++
	e := map[string]any{
		"service": r.Service, "addr": r.Addr, "zone": r.Zone, "version": r.Version, "slots": r.Slots,
		"state": "ready", "cold_left_ms": 0, "seq": r.seq, "born": r.born,
	}
	if r.Stage != "" {
		e["stage"] = r.Stage
	}
	r.mu.Unlock()
	r.store.RunnerPut(r.ID, e)
}

// Crash ends the runner's process: its connections break off and it sends nothing more.
func (r *Runner) Crash() {
	r.mu.Lock()
	srv, stop := r.srv, r.stop
	r.mu.Unlock()
	close(stop)
	_ = srv.Close()
}

func (r *Runner) bornAt() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.born
}

func (r *Runner) setStage(stage string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Stage = stage
}

func (r *Runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", r.running, r.Slots)
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("X-Load-Report", r.load())
	id := req.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if want := req.Header.Get("X-Target-Instance"); want != "" && want != r.ID {
		h.Set("X-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.extra != nil && r.extra(w, req) {
		return
	}
	switch {
	case req.URL.Path == "/healthz":
		h.Set("X-Instance-Id", r.ID)
		return
	case req.URL.Path == "/v1/report":
		_, _ = fmt.Fprintf(w, `{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":%d,"kv_used":0,"kv_total":502284,"kv_handles":0,"born":%d}`, r.Stage, r.running, r.born)
		return
	case req.URL.Path == "/v1/kv-list":
		_, _ = fmt.Fprintf(w, `{"epoch":1,"next":1,"held":[],"born":%d}`, r.born)
		return
	case strings.HasPrefix(req.URL.Path, "/v1/"):
		return
	case id == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.mu.Lock()
	full := r.running >= r.Slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.rec.Logf("run runner=%s version=%s id=%s %s %s last_event=%s", r.ID, r.Version, id, req.Method, req.RequestURI, req.Header.Get("Last-Event-Id"))
	h.Set("X-Response-Signature", "sig."+r.ID+"."+id)
	r.serve(r, w, req)
}

// reset closes the connection of a request with a reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

func atoi(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}
