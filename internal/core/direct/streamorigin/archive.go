package streamorigin

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	// minArchivedAge is the age from which a stream is archived. Most streams end sooner.
	minArchivedAge = 200 * time.Millisecond
	// minArchiveInterval is the least time between two writes of a daemon, and
	// archiveWritesPerSecond limits the writes of all daemons together.
	minArchiveInterval     = 300 * time.Millisecond
	archiveWritesPerSecond = 40
	// maxArchived is the largest number of streams in the object of a daemon.
	maxArchived = 2000
	// inheritedTime is how long what an earlier process of the host has written is kept.
	inheritedTime = 30 * time.Second
)

// Tags of the calls of an [Archive].
const (
	tagArchiveList uint64 = iota
	tagArchiveReadOwn
	tagArchiveWrite
)

// Archive keeps the origins of streams at the platform's store, so that callers can take
// them up after all entry daemons have gone down at once.
//
// Each daemon has an object of its own, which it writes only while streams of a service
// may have begun at several versions, and then in batches: what has just begun is not in
// it. The objects of all daemons are read when the origin of a stream is not known
// otherwise. The origin of a stream never changes, so that old content is never wrong.
type Archive struct {
	self msg.HostID
	// entries is the number of live entry daemons.
	entries int
	client  *store.Client
	// own holds the streams that began at this daemon or, before it started, on its host,
	// and loaded the versions of the streams in the objects of all daemons.
	own    map[uint64]*archived
	loaded map[uint64]string

	// ownRead reports whether version is that of this daemon's object, calling whether a
	// call for the object is in flight, and saving holds the streams that it writes.
	ownRead bool
	version msg.Version
	calling bool
	saving  []uint64
	// No call for the object is made before nextCallAt. The backoff is the delay after the
	// last failure.
	nextCallAt msg.Time
	backoff    time.Duration

	// listing reports whether the objects of all daemons are being read since listSentAt.
	// The last successful read was sent at listedAt, if hasListed is set, and the next one
	// is not sent before nextListAt.
	listing, hasListed   bool
	listSentAt, listedAt msg.Time
	nextListAt           msg.Time
}

// archived is a stream that may have to be archived.
type archived struct {
	service msg.ServiceID
	version string
	beganAt msg.Time
	// until is when a stream that has broken off can no longer be resumed; 0 while it is
	// open.
	until msg.Time
	saved bool
	// inherited reports whether an earlier process of the host has written the stream.
	inherited bool
}

// NewArchive returns an archive that has read nothing.
func NewArchive() *Archive {
	return &Archive{own: make(map[uint64]*archived), loaded: make(map[uint64]string)}
}

// Begin records that a stream of a service has begun at a version.
func (a *Archive) Begin(now msg.Time, stream uint64, service msg.ServiceID, version string) {
	if a.own[stream] == nil && len(a.own) < maxArchived {
		a.own[stream] = &archived{service: service, version: version, beganAt: now}
	}
}

// End records that a stream has ended. One that is not complete can be resumed up to the
// given instant.
func (a *Archive) End(stream uint64, complete bool, until msg.Time) {
	s := a.own[stream]
	if s == nil {
		return
	}
	if complete {
		delete(a.own, stream)
		return
	}
	s.until = until
}

// Find returns the version at which a stream began that a caller takes up at the instant
// asked. It is Pending while the archive is being read.
func (a *Archive) Find(now, asked msg.Time, stream uint64) (string, State, []msg.Effect) {
	if v, ok := a.loaded[stream]; ok {
		return v, Known, nil
	}
	if a.hasListed && a.listedAt >= asked || now-asked >= historyTimeout || a.client == nil {
		return "", Unknown, nil
	}
	if a.listing || now < a.nextListAt {
		return "", Pending, nil
	}
	a.listing, a.listSentAt = true, now
	return "", Pending, []msg.Effect{a.client.List(tagArchiveList, msg.KindStreamOrigins, "")}
}

// Step handles one event. The parameter several reports whether streams of a service may
// have begun at several versions.
func (a *Archive) Step(now msg.Time, ev msg.Event, several func(msg.ServiceID) bool) []msg.Effect {
	var effects []msg.Effect
	switch ev := ev.(type) {
	case msg.Started:
		a.self = ev.Self.Host
		a.client = store.New(store.ComponentStreamOrigins, string(ev.Self.Host)+"/"+string(ev.Incarnation))
	case msg.MembersChanged:
		a.entries = len(ev.Entries)
	case msg.StoreEraChanged:
		a.onEraChanged(ev)
	case msg.Tick:
		effects = a.onTick(now, several)
	}
	if a.client == nil {
		return effects
	}
	results, more := a.client.Step(now, ev)
	effects = append(effects, more...)
	for _, r := range results {
		effects = append(effects, a.onResult(now, r)...)
	}
	return effects
}

// onEraChanged has everything written again that the store may have lost.
func (a *Archive) onEraChanged(ev msg.StoreEraChanged) {
	if !ev.LostWrites() {
		return
	}
	a.ownRead = false
	for _, s := range a.own {
		s.saved = false
	}
}

func (a *Archive) onTick(now msg.Time, several func(msg.ServiceID) bool) []msg.Effect {
	maps.DeleteFunc(a.own, func(_ uint64, s *archived) bool { return s.until != 0 && now >= s.until })
	if a.calling || now < a.nextCallAt || !a.due(now, several) {
		return nil
	}
	a.calling = true
	if !a.ownRead {
		return []msg.Effect{a.client.Get(tagArchiveReadOwn, msg.KindStreamOrigins, string(a.self))}
	}
	a.nextCallAt = now + max(minArchiveInterval, time.Duration(a.entries)*time.Second/archiveWritesPerSecond)
	a.saving = nil
	content := make(archiveContent)
	for _, stream := range slices.Sorted(maps.Keys(a.own)) {
		if s := a.own[stream]; s.inherited || several(s.service) {
			a.saving = append(a.saving, stream)
			content[s.version] = append(content[s.version], strconv.FormatUint(stream, 36))
		}
	}
	return []msg.Effect{a.client.Put(now, tagArchiveWrite, msg.KindStreamOrigins, string(a.self), content, a.version, 0)}
}

// due reports whether there is a stream that has to be written.
func (a *Archive) due(now msg.Time, several func(msg.ServiceID) bool) bool {
	for _, s := range a.own {
		if !s.saved && now-s.beganAt >= minArchivedAge && several(s.service) {
			return true
		}
	}
	return false
}

// archiveContent is the stored value: the streams by the version that began them, in
// base 36.
type archiveContent map[string][]string

func (a *Archive) onResult(now msg.Time, r store.Result) []msg.Effect {
	ok := r.Status == msg.CallOK && !r.Superseded
	switch r.Tag {
	case tagArchiveList:
		a.onListed(now, r)
	case tagArchiveReadOwn:
		a.calling = false
		a.ownRead = ok || r.Status == msg.CallNotFound
		a.version = r.Object.Version
		a.afterCall(now, a.ownRead)
		a.inherit(now, r.Object)
	case tagArchiveWrite:
		a.calling = false
		a.ownRead, a.version = ok, r.Object.Version
		a.afterCall(now, ok)
		for _, stream := range a.saving {
			if s := a.own[stream]; s != nil && ok {
				s.saved = true
			}
		}
	}
	return nil
}

func (a *Archive) afterCall(now msg.Time, ok bool) {
	if ok {
		a.backoff = 0
		return
	}
	a.backoff = min(max(2*a.backoff, minStoreBackoff), maxStoreBackoff)
	a.nextCallAt = now + a.backoff
}

func (a *Archive) onListed(now msg.Time, r store.Result) {
	a.listing = false
	if r.Status != msg.CallOK {
		a.nextListAt = now + minStoreBackoff
		return
	}
	a.hasListed, a.listedAt = true, a.listSentAt
	clear(a.loaded)
	for _, o := range r.Objects {
		a.load(o)
	}
}

// load learns the origins in the object of a daemon.
func (a *Archive) load(o msg.Object) {
	decode(o, func(stream uint64, version string) { a.loaded[stream] = version })
}

// inherit keeps what an earlier process of this host has written.
func (a *Archive) inherit(now msg.Time, o msg.Object) {
	decode(o, func(stream uint64, version string) {
		if a.own[stream] == nil && len(a.own) < maxArchived {
			a.own[stream] = &archived{version: version, until: now + inheritedTime, saved: true, inherited: true}
		}
	})
}

// decode calls a function with each stream in the object of a daemon.
func decode(o msg.Object, add func(stream uint64, version string)) {
	var content archiveContent
	if json.Unmarshal(o.Value, &content) != nil {
		return
	}
	for version, streams := range content {
		for _, s := range streams {
			if id, err := strconv.ParseUint(s, 36, 64); err == nil {
				add(id, version)
			}
		}
	}
}
