package platform

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
)

const (
	maxValue = 1 << 20
	// maxTombstones bounds the removed objects that watches still report.
	maxTombstones = 10_000
	maxWait       = time.Minute
)

type object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type objectKey struct{ kind, name string }

type objects struct {
	revision uint64
	// oldest is the earliest position that a watch may start from.
	oldest  uint64
	byKey   map[objectKey]*object
	removed []*object
	// changed is closed and replaced on each write.
	changed chan struct{}
}

type objectList struct {
	Revision uint64    `json:"revision"`
	Objects  []*object `json:"objects"`
}

type versionAnswer struct {
	Version uint64 `json:"version"`
}

type putBody struct {
	Value []byte `json:"value"`
}

func newObjects() objects {
	return objects{byKey: make(map[objectKey]*object), changed: make(chan struct{})}
}

func (o *objects) list(kind, prefix string) []*object {
	out := []*object{}
	for k, ob := range o.byKey {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			out = append(out, ob)
		}
	}
	slices.SortFunc(out, func(a, b *object) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (o *objects) since(kind string, revision uint64) []*object {
	out := []*object{}
	for k, ob := range o.byKey {
		if k.kind == kind && ob.Version > revision {
			out = append(out, ob)
		}
	}
	for _, ob := range o.removed {
		if ob.Kind == kind && ob.Version > revision {
			out = append(out, ob)
		}
	}
	slices.SortFunc(out, func(a, b *object) int { return int(a.Version) - int(b.Version) })
	return out
}

// put replaces an object. Objects are never changed in place.
func (o *objects) put(k objectKey, value []byte) uint64 {
	o.advance()
	o.byKey[k] = &object{Kind: k.kind, Name: k.name, Version: o.revision, Value: value}
	return o.revision
}

func (o *objects) remove(k objectKey) {
	o.advance()
	delete(o.byKey, k)
	o.removed = append(o.removed, &object{Kind: k.kind, Name: k.name, Version: o.revision, Deleted: true})
	if len(o.removed) > maxTombstones {
		o.oldest = o.removed[0].Version
		o.removed = o.removed[1:]
	}
}

func (o *objects) advance() {
	o.revision++
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *objects) version(k objectKey) uint64 {
	if ob, ok := o.byKey[k]; ok {
		return ob.Version
	}
	return 0
}

func pathKey(r *http.Request) objectKey {
	return objectKey{kind: pathVar(r, "kind"), name: pathVar(r, "name")}
}

func pathVar(r *http.Request, name string) string {
	raw := mux.Vars(r)[name]
	v, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return v
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	ob := s.objects.byKey[pathKey(r)]
	s.mu.Unlock()
	if ob == nil {
		writeError(w, http.StatusNotFound, "not-found", "no such object")
		return
	}
	writeJSON(w, http.StatusOK, ob)
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := objectList{Revision: s.objects.revision, Objects: s.objects.list(pathVar(r, "kind"), r.URL.Query().Get("prefix"))}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	var body putBody
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Value) > maxValue {
		writeError(w, http.StatusRequestEntityTooLarge, "too-large", "the value is over 1 MiB")
		return
	}
	want, ok := ifMatch(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := pathKey(r)
	if s.objects.version(k) != want {
		writeError(w, http.StatusPreconditionFailed, "conflict", "the version has changed")
		return
	}
	writeJSON(w, http.StatusOK, versionAnswer{s.objects.put(k, body.Value)})
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	want, ok := ifMatch(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := pathKey(r)
	switch s.objects.version(k) {
	case 0:
		writeError(w, http.StatusNotFound, "not-found", "no such object")
	case want:
		s.objects.remove(k)
		writeJSON(w, http.StatusOK, struct{}{})
	default:
		writeError(w, http.StatusPreconditionFailed, "conflict", "the version has changed")
	}
}

func (s *Server) watchObjects(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-since", "since is not a revision")
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait"))
	if err != nil || wait < 0 {
		writeError(w, http.StatusBadRequest, "bad-wait", "wait is not a number of milliseconds")
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	kind := pathVar(r, "kind")
	for {
		list, changed, tooOld := s.changes(kind, since)
		if tooOld {
			writeError(w, http.StatusGone, "too-old", "the revision is too old, list again")
			return
		}
		if len(list.Objects) > 0 {
			writeJSON(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) changes(kind string, since uint64) (objectList, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < s.objects.oldest || since > s.objects.revision {
		return objectList{}, nil, true
	}
	list := objectList{Revision: s.objects.revision, Objects: s.objects.since(kind, since)}
	return list, s.objects.changed, false
}

func ifMatch(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	v, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-condition", "If-Match is not a version")
		return 0, false
	}
	return v, true
}
