// Package lab2 holds the stand-ins and the process control of the review's scripts.
package lab2

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store and its API for duties.
type Store struct {
	Addr string

	mu       sync.Mutex
	era      int
	revision uint64
	objects  map[string]map[string]*object
	copied   map[string]map[string]*object
	copiedAt uint64
	away     bool
	reports  []Report
	reads    []Read
}

// Report is a usage report.
type Report struct {
	At     time.Time
	Holder string
	Fence  int64
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Read is a read of the operator's configuration, and the version that it returned.
type Read struct {
	At      time.Time
	From    string
	Version float64
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
	beatAt   time.Time
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// NewStore starts a store on a free loopback port.
func NewStore() *Store {
	s := &Store{era: 1, revision: 1, objects: map[string]map[string]*object{}}
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", FreePort()))
	if err != nil {
		Fail("store: %v", err)
	}
	s.Addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// SetAway lets the store close connections without an answer, or serve again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// Copy makes the copy from which Rewind continues.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copiedAt = map[string]map[string]*object{}, s.revision
	for k, list := range s.objects {
		s.copied[k] = maps.Clone(list)
	}
}

// Rewind continues from the copy in a new era.
func (s *Store) Rewind() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision = s.copied, s.copiedAt
	s.era++
	now := time.Now()
	for _, o := range s.objects["servers"] {
		o.beatAt = now
	}
}

// Put writes an object as the operator or a runner would. It reports whether the store has
// acknowledged it.
func (s *Store) Put(kind, name string, spec any) bool {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if o := s.objects[kind][name]; o != nil && string(o.Spec) == string(b) {
		o.beatAt = time.Now()
		return true
	}
	s.set(kind, name, b).beatAt = time.Now()
	return true
}

// Expire removes the entries of runners that have been silent for a time.
func (s *Store) Expire(silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, o := range s.objects["servers"] {
		if !s.away && time.Since(o.beatAt) > silence {
			s.revision++
			delete(s.objects["servers"], name)
		}
	}
}

// Reports returns the usage reports so far, and Reads the reads of the configuration.
func (s *Store) Reports() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reports)
}

// Reads returns the reads of the configuration so far.
func (s *Store) Reads() []Read {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reads)
}

func (s *Store) set(kind, name string, spec json.RawMessage) *object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	created := s.revision
	if old := s.objects[kind][name]; old != nil {
		created = old.Metadata.Created
	}
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: created, Finalizers: []string{}}, Spec: spec}
	s.objects[kind][name] = o
	return o
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Path == "/usage" {
		rep := Report{At: time.Now(), Holder: r.Header.Get("X-Lease-Holder")}
		rep.Fence, _ = strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
		_ = json.Unmarshal(body, &rep)
		s.reports = append(s.reports, rep)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/objects/"), "/")
	name, _ = url.PathUnescape(name)
	status, out := s.call(r, kind, name, body)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}

func (s *Store) call(r *http.Request, kind, name string, body []byte) (int, any) {
	if r.Method == http.MethodGet {
		return s.read(r, kind, name)
	}
	var in object
	if r.Method != http.MethodDelete && json.Unmarshal(body, &in) != nil {
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
	rev := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		rev, _ = strconv.ParseUint(q, 10, 64)
	}
	if rev != 0 && rev != old.Metadata.Revision {
		return http.StatusConflict, old
	}
	if r.Method == http.MethodDelete {
		s.revision++
		delete(s.objects[kind], name)
		return http.StatusOK, old
	}
	if string(in.Spec) == string(old.Spec) {
		return http.StatusOK, old
	}
	return http.StatusOK, s.set(kind, name, in.Spec)
}

func (s *Store) read(r *http.Request, kind, name string) (int, any) {
	if name != "" {
		o := s.objects[kind][name]
		if o == nil {
			return http.StatusNotFound, nil
		}
		if kind == "config" {
			var v struct {
				Version float64 `json:"version"`
			}
			_ = json.Unmarshal(o.Spec, &v)
			s.reads = append(s.reads, Read{time.Now(), r.RemoteAddr, v.Version})
		}
		return http.StatusOK, o
	}
	after := r.URL.Query().Get("after")
	items := []*object{}
	for _, n := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if n > after {
			items = append(items, s.objects[kind][n])
		}
	}
	return http.StatusOK, map[string]any{"items": items[:min(len(items), 500)], "has_more": len(items) > 500, "as_of": s.revision}
}

// Describe returns what the store holds of the operator's configuration.
func (s *Store) Describe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects["config"]["main"]
	if o == nil {
		return "no configuration"
	}
	return fmt.Sprintf("era %d, configuration at revision %d", s.era, o.Metadata.Revision)
}
