package streamorigin

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

const (
	historyName = "services"
	// historyTimeout is how long a request waits for a read of the record.
	historyTimeout = time.Second
	// eraGrace is how long after a loss of writes streams may still begin at the versions
	// that had been recorded before.
	eraGrace = 2 * time.Second
	// writeStagger is the time by which a daemon lets the one that ranks before it for the
	// record go first, and maxWriteRank limits its rank.
	writeStagger = 400 * time.Millisecond
	maxWriteRank = 8
	// firstWriteDelay is the age of a process at which it first writes the record. It has
	// read the record and the list of the daemons by then.
	firstWriteDelay = 500 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff limit the delay after a failed call.
	minStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff = 2 * time.Second
)

// Tags of the calls of a [History].
const (
	tagHistoryRead uint64 = iota
	tagHistoryWrite
)

// History keeps which software versions of its targets each service has had lately, in a
// record at the platform's store that outlives the entry daemons.
//
// A daemon begins a stream at a version only once that version is in the record. Whoever
// reads the record after the stream has broken off therefore finds the version that began
// it. A version leaves the record when no target has had it for the longest time for which
// a stream can be resumed. The record of a service is complete once it has existed for
// that time: until then, streams may have begun without it.
//
// The record is written on change only, by the daemon that ranks first, and read once by
// each process and when the origin of a stream is not known otherwise. A store that has
// lost writes begins a new record, which is not complete.
type History struct {
	self    msg.HostID
	entries []msg.Host
	client  *store.Client
	era     msg.StoreEra
	// lifetimes holds, for each service with resumable streams, the longest time from the
	// begin of a stream to its last resumption.
	lifetimes map[msg.ServiceID]time.Duration
	// listedNow holds the versions that the targets of each service have now, and listed
	// when they last had each version.
	listedNow map[msg.ServiceID][]string
	listed    map[msg.ServiceID]map[string]msg.Time

	// record is the newest record of this era that the daemon knows, or nil, and version
	// the version of its object. earlier holds the record of the era before up to
	// earlierUntil.
	record       record
	version      msg.Version
	earlier      record
	earlierUntil msg.Time
	// knownSince holds since when this daemon has known that the record holds a version, and
	// incompleteSince that the record of a service is not complete.
	knownSince      map[serviceVersion]msg.Time
	incompleteSince map[msg.ServiceID]msg.Time
	// confirmed holds the versions at which streams may begin: those that the record has
	// held since their targets were listed last. Another daemon may remove a version whose
	// targets are gone, so that it has to be read again when they come back.
	confirmed map[serviceVersion]bool

	// reading and writing report whether a call is in flight, and next is the record that
	// is being written.
	reading, writing bool
	next             record
	// readName is the name that the read in flight asks for, sentAt when it was sent, and
	// readSentAt when the last successful read was.
	readName           string
	readSentAt, sentAt msg.Time
	// hasRead reports whether the record has been read in this era, and readPending whether
	// it has to be read once more.
	hasRead, readPending bool
	// dueSince is since when the record has to be changed; 0 if it has not.
	dueSince msg.Time
	// No call is made before nextCallAt. The backoff is the delay after the last failure.
	nextCallAt msg.Time
	backoff    time.Duration
}

// NewHistory returns a history that knows no record.
func NewHistory() *History {
	return &History{
		lifetimes: make(map[msg.ServiceID]time.Duration), listed: make(map[msg.ServiceID]map[string]msg.Time),
		listedNow: make(map[msg.ServiceID][]string), knownSince: make(map[serviceVersion]msg.Time),
		incompleteSince: make(map[msg.ServiceID]msg.Time), confirmed: make(map[serviceVersion]bool),
	}
}

// Configure sets the services with resumable streams, each with the longest time from the
// begin of a stream to its last resumption.
func (h *History) Configure(lifetimes map[msg.ServiceID]time.Duration) { h.lifetimes = lifetimes }

// SetListed records the versions that the targets of the services have now.
func (h *History) SetListed(now msg.Time, versions map[msg.ServiceID][]string) {
	h.markListed(now) // They were listed up to now.
	h.listedNow = versions
	h.markListed(now)
}

func (h *History) markListed(now msg.Time) {
	for id, list := range h.listedNow {
		if h.listed[id] == nil {
			h.listed[id] = make(map[string]msg.Time)
		}
		for _, v := range list {
			h.listed[id][v] = now
		}
	}
}

// MayBegin reports whether a stream of a service may begin at a version.
func (h *History) MayBegin(now msg.Time, id msg.ServiceID, version string) bool {
	if h.lifetimes[id] == 0 || h.confirmed[serviceVersion{id, version}] {
		return true
	}
	return now < h.earlierUntil && slices.Contains(h.earlier[id].Versions, version)
}

// Several reports whether streams of a service that can still be resumed may have begun
// at different versions.
func (h *History) Several(now msg.Time, id msg.ServiceID) bool { return len(h.versions(now, id)) > 1 }

// versions returns the versions at which streams of a service may have begun, as far as
// this daemon knows.
func (h *History) versions(now msg.Time, id msg.ServiceID) []string {
	out := append(h.recent(now, id), h.record[id].Versions...)
	slices.Sort(out)
	return slices.Compact(out)
}

// recent returns the versions that this daemon has seen listed within the lifetime of
// streams, in order.
func (h *History) recent(now msg.Time, id msg.ServiceID) []string {
	for _, v := range h.listedNow[id] {
		h.listed[id][v] = now
	}
	maps.DeleteFunc(h.listed[id], func(_ string, at msg.Time) bool { return now-at >= h.lifetimes[id] })
	return slices.Sorted(maps.Keys(h.listed[id]))
}

// Only returns the version at which each stream of a service must have begun that a caller
// takes up at the instant asked. It is Pending while the record is being read, and Unknown
// if there may be several versions or the store does not say.
func (h *History) Only(now, asked msg.Time, id msg.ServiceID) (string, State, []msg.Effect) {
	if !h.hasRead || h.readSentAt < asked {
		if h.client == nil || now-asked >= historyTimeout {
			return "", Unknown, nil
		}
		h.readPending = true
		return "", Pending, h.read(now)
	}
	versions := h.versions(now, id)
	if !h.record[id].Complete || len(versions) != 1 {
		return "", Unknown, nil
	}
	return versions[0], Known, nil
}

// Step handles one event.
func (h *History) Step(now msg.Time, ev msg.Event) []msg.Effect {
	var effects []msg.Effect
	switch ev := ev.(type) {
	case msg.Started:
		h.self = ev.Self.Host
		h.client = store.New(store.ComponentStreamVersions, string(ev.Self.Host)+"/"+string(ev.Incarnation))
	case msg.MembersChanged:
		h.entries = ev.Entries
	case msg.PeerReceived:
		effects = h.onPeerMessage(now, ev)
	case msg.StoreEraChanged:
		h.onEraChanged(now, ev)
	case msg.Tick:
		effects = h.onTick(now)
	}
	if h.client == nil {
		return effects
	}
	results, more := h.client.Step(now, ev)
	effects = append(effects, more...)
	for _, r := range results {
		effects = append(effects, h.onResult(now, r)...)
	}
	return effects
}

// onEraChanged begins a new record. What is in flight belongs to the record of the era
// before.
func (h *History) onEraChanged(now msg.Time, ev msg.StoreEraChanged) {
	h.era = ev.Era
	if ev.LostWrites() {
		h.earlier, h.earlierUntil = h.record, now+eraGrace
	}
	h.record, h.version, h.hasRead = nil, 0, false
	clear(h.knownSince)
	clear(h.incompleteSince)
	clear(h.confirmed)
	h.nextCallAt = now
}

func (h *History) name() string { return h.era.Name(historyName) }

// read reads the record, unless a read is in flight or the last one has just failed.
func (h *History) read(now msg.Time) []msg.Effect {
	if h.reading || now < h.nextCallAt {
		return nil
	}
	h.reading, h.readPending, h.sentAt, h.readName = true, false, now, h.name()
	return []msg.Effect{h.client.Get(tagHistoryRead, msg.KindStreamVersions, h.readName)}
}

func (h *History) onTick(now msg.Time) []msg.Effect {
	if len(h.lifetimes) == 0 || h.client == nil {
		return nil
	}
	h.dropUnlisted(now)
	if !h.hasRead || h.readPending || h.lacksConfirmation() {
		return h.read(now)
	}
	next := h.wanted(now)
	if next == nil {
		h.dueSince = 0
		return nil
	}
	if h.dueSince == 0 {
		h.dueSince = now
	}
	if h.reading || h.writing || now < h.nextCallAt || now < firstWriteDelay || now-h.dueSince < h.writeDelay() {
		return nil
	}
	h.writing, h.next = true, next
	return []msg.Effect{h.client.Put(now, tagHistoryWrite, msg.KindStreamVersions, h.name(), next, h.version, 0)}
}

// writeDelay returns how long this daemon leaves a change to those that rank before it.
func (h *History) writeDelay() time.Duration {
	rank := rendezvous.Rank(historyName, h.self, h.entries)
	return time.Duration(min(max(rank, 0), maxWriteRank)) * writeStagger
}

func (h *History) onResult(now msg.Time, r store.Result) []msg.Effect {
	if r.Tag == tagHistoryWrite {
		h.writing = false
		if r.Object.Name == h.name() {
			return h.onWritten(now, r)
		}
		return nil
	}
	h.reading = false
	if h.readName == h.name() {
		h.onRead(now, r)
	}
	return nil
}

func (h *History) onRead(now msg.Time, r store.Result) {
	switch r.Status {
	case msg.CallOK:
		var rec record
		if json.Unmarshal(r.Object.Value, &rec) != nil {
			rec = nil
		}
		h.setRecord(now, rec, r.Object.Version)
	case msg.CallNotFound:
		h.setRecord(now, nil, 0)
	default:
		h.callFailed(now)
		return
	}
	h.hasRead, h.readSentAt, h.backoff = true, h.sentAt, 0
}

func (h *History) onWritten(now msg.Time, r store.Result) []msg.Effect {
	if r.Status != msg.CallOK || r.Superseded {
		// Another daemon may have written it. It is read before the next write.
		h.hasRead = false
		h.callFailed(now)
		return nil
	}
	h.backoff, h.dueSince = 0, 0
	h.setRecord(now, h.next, r.Object.Version)
	m := h.message()
	effects := []msg.Effect{h.logRecord()}
	for _, e := range h.entries {
		if e.Host != h.self {
			effects = append(effects, msg.SendPeer{To: e.Host, Message: m})
		}
	}
	return effects
}

// message returns the message with the record.
func (h *History) message() msg.StreamVersionsRecorded {
	m := msg.StreamVersionsRecorded{Era: h.era, Version: h.version}
	for _, id := range slices.Sorted(maps.Keys(h.record)) {
		m.Services = append(m.Services, msg.ServiceVersions{Service: id, Versions: h.record[id].Versions, Complete: h.record[id].Complete})
	}
	return m
}

// onPeerMessage learns the record from other daemons, and tells it to those that have just
// started.
func (h *History) onPeerMessage(now msg.Time, ev msg.PeerReceived) []msg.Effect {
	switch m := ev.Message.(type) {
	case msg.StreamVersionsRecorded:
		h.onRecorded(now, m)
	case msg.StateQuery:
		if h.record != nil {
			return []msg.Effect{msg.SendPeer{To: ev.From, Message: h.message()}}
		}
	}
	return nil
}

func (h *History) callFailed(now msg.Time) {
	h.backoff = min(max(2*h.backoff, minStoreBackoff), maxStoreBackoff)
	h.nextCallAt = now + h.backoff
}

// onRecorded applies a record that another daemon has written.
func (h *History) onRecorded(now msg.Time, m msg.StreamVersionsRecorded) {
	if h.era != 0 && m.Era != h.era || m.Version <= h.version {
		return
	}
	rec := make(record)
	for _, s := range m.Services {
		rec[s.Service] = serviceRecord{Versions: s.Versions, Complete: s.Complete}
	}
	h.setRecord(now, rec, m.Version)
}

// logRecord returns the log line of a record that this daemon has written.
func (h *History) logRecord() msg.Effect {
	line := msg.LogLine{Component: "streamorigin", Text: "versions of streams recorded"}
	for _, id := range slices.Sorted(maps.Keys(h.record)) {
		r := h.record[id]
		line.Attrs = append(
			line.Attrs, msg.Attr{Key: "service", Value: string(id)},
			msg.Attr{Key: "versions", Value: strings.Join(r.Versions, " ")}, msg.Attr{Key: "complete", Value: strconv.FormatBool(r.Complete)},
		)
	}
	return line
}
