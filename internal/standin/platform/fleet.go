package platform

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Host is one line of the host list.
type Host struct {
	Host          string `json:"host"`
	Addr          string `json:"addr"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Kind is "entry" or "target".
	Kind string `json:"kind"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

type hostList struct {
	Hosts []Host `json:"hosts"`
}

// hosts keeps the present list and earlier ones that a lag may still show.
type hosts struct{ past []hostsAt }

type hostsAt struct {
	since time.Time
	list  []Host
}

func (h *hosts) at(t time.Time) []Host {
	for i := len(h.past) - 1; i >= 0; i-- {
		if !h.past[i].since.After(t) {
			return h.past[i].list
		}
	}
	if len(h.past) > 0 {
		return h.past[0].list
	}
	return nil
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(list []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.past = append(s.hosts.past, hostsAt{since: time.Now(), list: slices.Clone(list)})
}

func (s *Server) controlHosts(w http.ResponseWriter, r *http.Request) {
	var l hostList
	if !readJSON(w, r, &l) {
		return
	}
	s.SetHosts(l.Hosts)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) listHosts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	lag := time.Duration(s.faults.HostLagMS) * time.Millisecond
	list := hostList{Hosts: slices.Clone(s.hosts.at(time.Now().Add(-lag)))}
	s.mu.Unlock()
	etag := list.etag()
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// etag identifies a host list.
func (l hostList) etag() string {
	h := fnv.New64a()
	for _, host := range l.Hosts {
		_, _ = fmt.Fprintf(h, "%q", host)
	}
	return fmt.Sprintf("\"%x\"", h.Sum64())
}

type targetOrder struct {
	Pool          string `json:"pool"`
	FailureDomain string `json:"failureDomain"`
	Token         string `json:"token"`
	Epoch         uint64 `json:"epoch"`
}

// Target is one line of the target interface's list.
type Target struct {
	Target        string  `json:"target"`
	Host          string  `json:"host"`
	Pool          string  `json:"pool"`
	FailureDomain string  `json:"failureDomain"`
	Token         string  `json:"token"`
	Ready         bool    `json:"ready"`
	Leaving       bool    `json:"leaving"`
	Cost          float64 `json:"cost"`

	orderedAt time.Time
}

type targetList struct {
	Targets []Target `json:"targets"`
}

type targets struct {
	seq     int
	list    []*Target
	tokens  map[string]string // token of an order to the target's name
	highest map[string]uint64 // highest epoch of each pool
}

func newTargets() targets {
	return targets{tokens: make(map[string]string), highest: make(map[string]uint64)}
}

// SetTargets replaces the list of the target interface.
func (s *Server) SetTargets(list []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.list = nil
	for i := range list {
		t := list[i]
		s.targets.list = append(s.targets.list, &t)
	}
}

// fenced refuses an epoch below the highest that was seen for the pool.
func (s *Server) fenced(w http.ResponseWriter, pool string, epoch uint64) bool {
	if s.faults.IgnoreFencing {
		return false
	}
	if epoch < s.targets.highest[pool] {
		writeError(w, http.StatusConflict, "stale-epoch", "a higher epoch was seen")
		return true
	}
	s.targets.highest[pool] = epoch
	return false
}

func (s *Server) orderTarget(w http.ResponseWriter, r *http.Request) {
	var o targetOrder
	if !readJSON(w, r, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced(w, o.Pool, o.Epoch) {
		return
	}
	name, ok := s.targets.tokens[o.Token]
	if !ok {
		s.targets.seq++
		name = fmt.Sprintf("ordered-%d", s.targets.seq)
		s.targets.tokens[o.Token] = name
		s.targets.list = append(s.targets.list, &Target{
			Target: name, Host: "host-" + name, Pool: o.Pool, FailureDomain: o.FailureDomain,
			Token: o.Token, Cost: 1, orderedAt: time.Now(),
		})
	}
	writeJSON(w, http.StatusCreated, Target{Target: name})
}

func (s *Server) listTargets(w http.ResponseWriter, r *http.Request) {
	pool := r.URL.Query().Get("pool")
	s.mu.Lock()
	delay := time.Duration(s.faults.TargetDelayMS) * time.Millisecond
	out := targetList{Targets: []Target{}}
	for _, t := range s.targets.list {
		if t.Pool != pool {
			continue
		}
		line := *t
		line.Ready = t.Ready || (!t.orderedAt.IsZero() && time.Since(t.orderedAt) >= delay)
		out.Targets = append(out.Targets, line)
	}
	s.mu.Unlock()
	slices.SortFunc(out.Targets, func(a, b Target) int { return strings.Compare(a.Target, b.Target) })
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) withdrawTarget(w http.ResponseWriter, r *http.Request) {
	epoch, err := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-epoch", "epoch is not a number")
		return
	}
	name := pathVar(r, "target")
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.targets.list, func(t *Target) bool { return t.Target == name })
	if i >= 0 {
		if s.fenced(w, s.targets.list[i].Pool, epoch) {
			return
		}
		s.targets.list = slices.Delete(s.targets.list, i, i+1)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
