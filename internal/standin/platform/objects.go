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
	maxValueBytes = 1 << 20
	// maxTombstones limits the number of deleted objects that watches still
	// report.
	maxTombstones = 10_000
	maxWatchWait  = time.Minute
)

type object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type objectKey struct{ kind, name string }

// objects is the versioned object store. Each write increments revision, and
// the version of an object is the revision of its last write.
type objects struct {
	revision uint64
	// oldestRevision is the earliest revision from which a watch may start.
	oldestRevision uint64
	byKey          map[objectKey]*object
	tombstones     []*object
	// changed is closed and replaced at each write, which wakes the watches.
	changed chan struct{}
}

type objectList struct {
	Revision uint64    `json:"revision"`
	Objects  []*object `json:"objects"`
}

type versionResponse struct {
	Version uint64 `json:"version"`
}

type putRequest struct {
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

// changedSince returns the objects of a kind that were written or deleted after
// a revision, in the order of their versions.
func (o *objects) changedSince(kind string, revision uint64) []*object {
	out := []*object{}
	for k, ob := range o.byKey {
		if k.kind == kind && ob.Version > revision {
			out = append(out, ob)
		}
	}
	for _, ob := range o.tombstones {
		if ob.Kind == kind && ob.Version > revision {
			out = append(out, ob)
		}
	}
	slices.SortFunc(out, func(a, b *object) int { return int(a.Version) - int(b.Version) })
	return out
}

// put replaces an object and returns its new version. It never changes an
// object in place, because handlers encode objects without the lock.
func (o *objects) put(k objectKey, value []byte) uint64 {
	o.nextRevision()
	o.byKey[k] = &object{Kind: k.kind, Name: k.name, Version: o.revision, Value: value}
	return o.revision
}

// remove deletes an object and keeps a tombstone for watches.
func (o *objects) remove(k objectKey) {
	o.nextRevision()
	delete(o.byKey, k)
	o.tombstones = append(o.tombstones, &object{Kind: k.kind, Name: k.name, Version: o.revision, Deleted: true})
	if len(o.tombstones) > maxTombstones {
		o.oldestRevision = o.tombstones[0].Version
		o.tombstones = o.tombstones[1:]
	}
}

// nextRevision increments the revision and wakes the watches.
func (o *objects) nextRevision() {
	o.revision++
	close(o.changed)
	o.changed = make(chan struct{})
}

// version returns the version of an object, or 0 if it does not exist.
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
	var body putRequest
	if !readJSON(w, r, &body) {
		return
	}
	if len(body.Value) > maxValueBytes {
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
	writeJSON(w, http.StatusOK, versionResponse{s.objects.put(k, body.Value)})
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

// watchObjects answers with the changes after the revision "since". If there
// are none it waits for one for up to "wait" milliseconds.
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
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
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

// changes returns the changes of a kind after a revision, and a channel that
// the next write closes. The last result reports that the revision is older
// than the kept tombstones or newer than the store.
func (s *Server) changes(kind string, since uint64) (objectList, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since < s.objects.oldestRevision || since > s.objects.revision {
		return objectList{}, nil, true
	}
	list := objectList{Revision: s.objects.revision, Objects: s.objects.changedSince(kind, since)}
	return list, s.objects.changed, false
}

// ifMatch returns the version in the If-Match header. If the header is invalid
// it answers 400 and reports false.
func ifMatch(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	v, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad-condition", "If-Match is not a version")
		return 0, false
	}
	return v, true
}
