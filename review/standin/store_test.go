package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store and its usage interface, as
// PROTOCOL.md describes them. Each daemon reaches it at an address of its own, so that it
// can turn some daemons away and serve the others.
type Store struct {
	rec *Record

	mu       sync.Mutex
	era      int
	revision uint64
	objects  map[string]map[string]*object
	away     map[string]bool // listen addresses at which calls are answered 503
	down     bool
	reports  []UsageReport
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// UsageReport is a call of the metering duty.
type UsageReport struct {
	At     time.Time
	Holder string
	Fence  int64
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

func newStore(rec *Record) *Store {
	return &Store{rec: rec, era: 1, revision: 1, objects: map[string]map[string]*object{}, away: map[string]bool{}}
}

// Listen serves the store at one more address.
func (s *Store) Listen() string {
	l := listen("127.0.0.1")
	addr := l.Addr().String()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(addr, w, r) }))
	}()
	return addr
}

// SetAway sets whether the store turns away those that call it at an address.
func (s *Store) SetAway(addr string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away[addr] = away
}

// Put writes an object as the operator or a runner would, and returns when the write was
// acknowledged.
func (s *Store) Put(kind, name string, spec any) time.Time {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(kind, name, b)
	return time.Now()
}

// RunnerPut writes the entry of a runner, unless the store is down.
func (s *Store) RunnerPut(id string, spec any) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if !down {
		s.Put("servers", id, spec)
	}
}

// Outage sets whether the store is down for all. Its usage interface stays up.
func (s *Store) Outage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.rec.Logf("store down=%v", down)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects[kind], name)
}

func (s *Store) set(kind, name string, spec json.RawMessage) *object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	created := s.revision
	if old := s.objects[kind][name]; old != nil {
		created = old.Metadata.Created
		if string(old.Spec) == string(spec) {
			s.revision--
			return old
		}
	}
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec}
	s.objects[kind][name] = o
	return o
}

func (s *Store) serve(addr string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.away[addr] || s.down && r.URL.Path != "/usage" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodPost && r.URL.Path == "/usage" {
		rep := UsageReport{At: time.Now(), Holder: r.Header.Get("X-Lease-Holder")}
		rep.Fence, _ = strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
		if json.NewDecoder(r.Body).Decode(&rep) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.reports = append(s.reports, rep)
		s.rec.Logf("usage window=%d holder=%s fence=%d counts=%v", rep.Window, rep.Holder, rep.Fence, rep.Counts)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	status, body := s.call(r, kind, name)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) call(r *http.Request, kind, name string) (int, any) {
	if r.Method == http.MethodGet {
		if name == "" {
			return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
		}
		if o := s.objects[kind][name]; o != nil {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	}
	var in object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		if old := s.objects[kind][in.Metadata.Name]; old != nil {
			return http.StatusConflict, old
		}
		return http.StatusOK, s.set(kind, in.Metadata.Name, in.Spec)
	}
	old := s.objects[kind][name]
	if old == nil {
		return http.StatusNotFound, nil
	}
	revision := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		_, _ = fmt.Sscan(q, &revision)
	}
	if revision != 0 && revision != old.Metadata.Revision {
		return http.StatusConflict, old
	}
	if r.Method == http.MethodDelete {
		s.revision++
		delete(s.objects[kind], name)
		return http.StatusOK, nil
	}
	return http.StatusOK, s.set(kind, name, in.Spec)
}

func (s *Store) list(kind, after string) any {
	page := struct {
		Items   []*object `json:"items"`
		HasMore bool      `json:"has_more"`
		AsOf    uint64    `json:"as_of"`
	}{Items: []*object{}, AsOf: s.revision}
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	page.HasMore = len(names) > 500
	for _, n := range names[:min(len(names), 500)] {
		page.Items = append(page.Items, s.objects[kind][n])
	}
	return page
}

// listen listens on a free port of a loopback address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen: %v", err)
	}
	return l
}
