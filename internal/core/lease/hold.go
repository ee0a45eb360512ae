package lease

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// lease is the state of one lease in this daemon.
type lease struct {
	name       msg.LeaseName
	tag        uint64
	requested  bool
	rank       int
	candidates []msg.HostID
	// told lists the daemons that this one tells of its writes as holder.
	told []msg.Host

	// record and version are those of the last read or write. firstSeenAt is
	// when this version was first seen, and lastSeenAt when it was last seen.
	// observed is false before the first read, and while the object has to be
	// read again.
	observed    bool
	record      msg.LeaseRecord
	version     msg.Version
	firstSeenAt msg.Time
	lastSeenAt  msg.Time

	// callOpen is set while a call to the object API for this lease has no
	// result. observeAt is when the lease is read again at the earliest, and
	// after a failed call when it may be acquired at the earliest.
	callOpen  bool
	observeAt msg.Time
	// releasePending is set while the release waits for the result of an
	// earlier write, and releasing while the release is being written.
	releasePending bool
	releasing      bool
	backoff        time.Duration

	// callVoid is set if the era of the store has changed since the open call began. Its
	// result is then about an object of an earlier era.
	callVoid bool

	held  bool
	epoch msg.Epoch
	until msg.Time
	// sentAt is when the last write was first sent, and writing is its record.
	sentAt  msg.Time
	writing msg.LeaseRecord
	renewAt msg.Time
	// toldAt is when the candidates were last told of the last write.
	toldAt msg.Time
}

// advance performs the next step that is due for a lease.
func (c *Component) advance(now msg.Time, l *lease) []msg.Effect {
	var effs []msg.Effect
	if l.held && now >= l.until {
		effs = l.loseAuthority("it was not renewed in time")
	}
	if l.held && now-l.toldAt >= c.cfg.RenewInterval/2 {
		effs = append(effs, c.tellWritten(now, l)...)
	}
	switch {
	case l.callOpen:
	case l.held && now >= l.renewAt:
		effs = append(effs, c.write(now, l, l.epoch, l.until))
	case l.held || !l.requested || c.stopping:
	case l.observed && c.mayAcquire(now, l):
		effs = append(effs, c.write(now, l, c.nextEpoch(l), now+c.authorityDuration()))
	case (l.rank < candidates || c.isOwn(l.record)) && now >= l.observeAt:
		l.callOpen = true
		effs = append(effs, c.store.Get(l.tag, msg.KindLease, c.objectName(l)))
	}
	return effs
}

// authorityDuration returns how long a write allows its sender to act.
func (c *Component) authorityDuration() time.Duration { return c.cfg.Duration - c.cfg.Margin }

// mayAcquire reports whether no other daemon can act under the lease any more.
// A daemon that is no candidate reads the lease rarely. It must also have seen
// the version unchanged at the end of the waiting time or later.
func (c *Component) mayAcquire(now msg.Time, l *lease) bool {
	if l.backoff > 0 && now < l.observeAt {
		return false
	}
	if c.isOwn(l.record) && !c.newInEra(l) {
		// This holds for a holder that is no candidate any more too. Calls under the
		// old epoch may be in flight, and must not arrive after those under the next.
		return l.epoch == 0 || now >= l.until+c.cfg.CallDeadline
	}
	free := l.firstSeenAt + c.exclusionTime(l) + time.Duration(l.rank)*rankDelay
	if l.rank >= candidates && l.lastSeenAt < free {
		return false
	}
	return now >= free
}

// exclusionTime returns the time during which only the holder may write the
// lease, counted from when this daemon first saw its version.
func (c *Component) exclusionTime(l *lease) time.Duration {
	length := time.Duration(l.record.DurationMS) * time.Millisecond
	switch {
	case c.newInEra(l):
		return c.fullExclusionTime(length)
	case l.record.Epoch == 0, c.isOwn(l.record):
		return 0
	case l.record.Released:
		return c.cfg.CallDeadline
	}
	return c.fullExclusionTime(length)
}

// isOwn reports whether this process wrote the record. If so, it needs no
// exclusion time. That time is for the actions of another process, and this
// process keeps track of its own actions under the old epoch.
func (c *Component) isOwn(rec msg.LeaseRecord) bool {
	return rec.Holder == c.cfg.Self && rec.Incarnation == c.cfg.Incarnation
}

// write sends an acquisition or a renewal.
func (c *Component) write(now msg.Time, l *lease, epoch msg.Epoch, notAfter msg.Time) msg.Effect {
	l.callOpen = true
	l.sentAt = now
	l.writing = msg.LeaseRecord{
		Holder:      c.cfg.Self,
		Incarnation: c.cfg.Incarnation,
		Epoch:       epoch,
		DurationMS:  c.cfg.Duration.Milliseconds(),
	}
	return c.store.Put(now, l.tag, msg.KindLease, c.objectName(l), l.writing, l.version, notAfter)
}

func (c *Component) onWriteDone(now msg.Time, l *lease, r store.Result) []msg.Effect {
	l.callOpen = false
	l.releasePending = false
	if l.releasing {
		return c.onReleased(l, r)
	}
	if l.callVoid {
		return l.dropResult(now)
	}
	switch {
	case r.Status == msg.CallOK && !r.Superseded:
		return c.onWritten(now, l, r.Object.Version)
	case r.Status == msg.CallUnavailable, r.Status == msg.CallRejected:
		l.backoff = min(max(2*l.backoff, minBackoff), c.cfg.RenewInterval)
		l.renewAt = now + c.backoffDelay(l)
		l.observeAt = l.renewAt
		return nil
	}
	// Another daemon wrote the object, or the outcome is uncertain. The object
	// is read before the next step.
	l.observed = false
	l.observeAt = now
	if l.held && r.Status != msg.CallUnknown {
		return l.loseAuthority("another daemon has taken it")
	}
	return nil
}

func (c *Component) onWritten(now msg.Time, l *lease, v msg.Version) []msg.Effect {
	l.backoff = 0
	l.record = l.writing
	l.version = v
	l.firstSeenAt = now
	l.lastSeenAt = now
	until := l.sentAt + c.authorityDuration()
	renewal := l.writing.Epoch == l.epoch
	if now >= until || !l.requested || c.stopping || (renewal && !l.held) {
		// The write completed too late to act on it. The object belongs to this
		// daemon, which acquires it again with a new epoch or releases it.
		return c.onUnusableWrite(now, l)
	}
	acquired := !l.held
	l.held = true
	l.epoch = l.record.Epoch
	l.until = until
	l.renewAt = l.sentAt + c.cfg.RenewInterval
	var effs []msg.Effect
	if acquired {
		effs = append(effs, l.logLine("lease acquired"))
	}
	effs = append(effs, l.changeEvent())
	return append(effs, c.tellWritten(now, l)...)
}

// onUnusableWrite handles a write that took effect but gives this daemon no
// authority.
func (c *Component) onUnusableWrite(now msg.Time, l *lease) []msg.Effect {
	var effs []msg.Effect
	if l.held {
		effs = l.loseAuthority("its renewal came too late")
	}
	if !l.requested || c.stopping {
		effs = append(effs, c.release(now, l))
	}
	return effs
}

// endAndRelease ends the authority and then releases the lease.
func (c *Component) endAndRelease(now msg.Time, l *lease) []msg.Effect {
	effs := l.loseAuthority("it is handed over")
	if l.callOpen {
		l.releasePending = true
		return effs
	}
	return append(effs, c.release(now, l))
}

func (c *Component) release(now msg.Time, l *lease) msg.Effect {
	l.callOpen = true
	l.releasing = true
	l.writing = l.record
	l.writing.Released = true
	return c.store.Put(now, l.tag, msg.KindLease, c.objectName(l), l.writing, l.version, now+c.cfg.Duration)
}

func (c *Component) onReleased(l *lease, r store.Result) []msg.Effect {
	l.releasing = false
	l.observed = false
	l.observeAt = 0
	if r.Status != msg.CallOK {
		return nil
	}
	effs := []msg.Effect{l.logLine("lease released")}
	for _, h := range l.candidates {
		if h != c.cfg.Self {
			effs = append(effs, msg.SendPeer{To: h, Message: msg.LeaseReleased{Name: l.name, Epoch: l.writing.Epoch}})
		}
	}
	return effs
}

// tellWritten tells those that may take over of the last write. It is repeated, as
// messages may be lost: while the store is away, nobody can read the lease.
func (c *Component) tellWritten(now msg.Time, l *lease) []msg.Effect {
	l.toldAt = now
	var effs []msg.Effect
	for _, h := range l.told {
		if h.Host != c.cfg.Self {
			effs = append(effs, msg.SendPeer{To: h.Host, Message: msg.LeaseWritten{Name: l.name, Record: l.record, Version: l.version, Era: c.era}})
		}
	}
	return effs
}

func (c *Component) onReadDone(now msg.Time, l *lease, r store.Result) []msg.Effect {
	l.callOpen = false
	if l.callVoid {
		return l.dropResult(now)
	}
	switch r.Status {
	case msg.CallOK, msg.CallNotFound:
		l.backoff = 0
		l.observeAt = now + c.cfg.ObserveInterval/2 + c.jitter(c.cfg.ObserveInterval)
		return l.observe(now, r.Object)
	}
	l.backoff = min(max(2*l.backoff, minBackoff), c.cfg.ObserveInterval)
	l.observeAt = now + c.backoffDelay(l)
	return nil
}

func (c *Component) backoffDelay(l *lease) time.Duration { return l.backoff/2 + c.jitter(l.backoff) }

// observe records the object as it was read. A missing object has version 0.
// The recorded epoch never falls below one that was seen before. A version that was seen
// before a write of unknown outcome, and still stands, has been unchanged since.
func (l *lease) observe(now msg.Time, o msg.Object) []msg.Effect {
	switch {
	case (l.observed || o.Version != 0) && o.Version == l.version:
		l.observed = true
		l.lastSeenAt = now
		return nil
	case l.observed && o.Version != 0 && o.Version < l.version:
		return nil
	}
	var rec msg.LeaseRecord
	if o.Version != 0 {
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			return []msg.Effect{msg.LogLine{
				Component: componentName, Level: msg.LogError, Text: "lease object can't be decoded",
				Attrs: []msg.Attr{{Key: "lease", Value: string(l.name)}},
			}}
		}
	}
	return l.observeRecord(now, rec, o.Version)
}

// observeRecord records a version of the object that was not seen before.
func (l *lease) observeRecord(now msg.Time, rec msg.LeaseRecord, version msg.Version) []msg.Effect {
	rec.Epoch = max(rec.Epoch, l.record.Epoch, l.epoch)
	changed := rec.Holder != l.record.Holder || rec.Epoch != l.record.Epoch
	l.observed = true
	l.record = rec
	l.version = version
	l.firstSeenAt = now
	l.lastSeenAt = now
	if !changed || rec.Holder == "" {
		return nil
	}
	return []msg.Effect{msg.Raise{Event: msg.LeaseHolderObserved{Name: l.name, Holder: rec.Holder, Epoch: rec.Epoch}}}
}

// dropResult ignores the result of a call that began in an earlier era.
func (l *lease) dropResult(now msg.Time) []msg.Effect {
	l.callVoid = false
	l.observeAt = now
	return nil
}

func (l *lease) loseAuthority(reason string) []msg.Effect {
	l.held = false
	return []msg.Effect{l.logLine("lease lost", msg.Attr{Key: "reason", Value: reason}), l.changeEvent()}
}

func (l *lease) changeEvent() msg.Effect {
	return msg.Raise{Event: msg.LeaseChanged{Name: l.name, Held: l.held, Epoch: l.epoch, Until: l.until}}
}

func (l *lease) logLine(text string, attrs ...msg.Attr) msg.Effect {
	all := []msg.Attr{
		{Key: "lease", Value: string(l.name)},
		{Key: "epoch", Value: strconv.FormatUint(uint64(l.epoch), 10)},
	}
	return msg.LogLine{Component: componentName, Text: text, Attrs: append(all, attrs...)}
}
