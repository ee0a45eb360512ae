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

// Host is one element of the host list.
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

// hostHistory keeps the current host list and all earlier ones, which are
// still returned while Faults.HostLagMS is set.
type hostHistory struct{ versions []hostListVersion }

// hostListVersion is a host list and the time at which it was set.
type hostListVersion struct {
	since time.Time
	hosts []Host
}

// at returns the host list that was current at t, or the first list if t is
// earlier than all.
func (h *hostHistory) at(t time.Time) []Host {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if !h.versions[i].since.After(t) {
			return h.versions[i].hosts
		}
	}
	if len(h.versions) > 0 {
		return h.versions[0].hosts
	}
	return nil
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(list []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.versions = append(s.hosts.versions, hostListVersion{since: time.Now(), hosts: slices.Clone(list)})
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

// etag returns the entity tag of the list, a hash of its content.
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

// Target is one element of the target list.
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
	seq          int
	list         []*Target
	nameByToken  map[string]string // names of targets by the tokens of their orders
	highestEpoch map[string]uint64 // highest epoch received for each pool
}

func newTargets() targets {
	return targets{nameByToken: make(map[string]string), highestEpoch: make(map[string]uint64)}
}

// contains reports whether a target is in the list.
func (t *targets) contains(name string) bool {
	return slices.ContainsFunc(t.list, func(other *Target) bool { return other.Target == name })
}

// SetTargets replaces the target list.
func (s *Server) SetTargets(list []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.list = nil
	for i := range list {
		t := list[i]
		s.targets.list = append(s.targets.list, &t)
	}
}

// rejectStaleEpoch answers 409 and reports true if epoch is below the highest
// epoch received for the pool. Otherwise it records epoch.
func (s *Server) rejectStaleEpoch(w http.ResponseWriter, pool string, epoch uint64) bool {
	if s.faults.IgnoreFencing {
		return false
	}
	if epoch < s.targets.highestEpoch[pool] {
		writeError(w, http.StatusConflict, "stale-epoch", "a higher epoch was seen")
		return true
	}
	s.targets.highestEpoch[pool] = epoch
	return false
}

// orderTarget adds a target to a pool. An order whose token was received
// before adds nothing. It returns the name of the existing target, or fails if that
// target was withdrawn.
func (s *Server) orderTarget(w http.ResponseWriter, r *http.Request) {
	var o targetOrder
	if !readJSON(w, r, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectStaleEpoch(w, o.Pool, o.Epoch) {
		return
	}
	name, ok := s.targets.nameByToken[o.Token]
	if ok && !s.targets.contains(name) {
		writeError(w, http.StatusGone, "withdrawn", "the target of this token was withdrawn")
		return
	}
	if !ok {
		s.targets.seq++
		name = fmt.Sprintf("ordered-%d", s.targets.seq)
		s.targets.nameByToken[o.Token] = name
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
		listed := *t
		listed.Ready = t.Ready || (!t.orderedAt.IsZero() && time.Since(t.orderedAt) >= delay)
		out.Targets = append(out.Targets, listed)
	}
	s.mu.Unlock()
	slices.SortFunc(out.Targets, func(a, b Target) int { return strings.Compare(a.Target, b.Target) })
	writeJSON(w, http.StatusOK, out)
}

// withdrawTarget removes a target. It succeeds if the target does not exist.
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
		if s.rejectStaleEpoch(w, s.targets.list[i].Pool, epoch) {
			return
		}
		s.targets.list = slices.Delete(s.targets.list, i, i+1)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
