package lease

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// lease is what this daemon knows of one lease.
type lease struct {
	name       msg.LeaseName
	tag        uint64
	wanted     bool
	rank       int
	candidates []msg.HostID

	// record and version are as last seen, seenAt is when this version was
	// first seen and stillAt when it was last seen. Known is false before the
	// first answer.
	known   bool
	record  msg.LeaseRecord
	version msg.Version
	seenAt  msg.Time
	stillAt msg.Time

	// busy is set while a call is open.
	busy      bool
	observeAt msg.Time
	// releaseDue is set while the answer to a renewal is awaited before the
	// release, and releasing while the release is written.
	releaseDue bool
	releasing  bool
	retryWait  time.Duration

	held  bool
	epoch msg.Epoch
	until msg.Time
	// sent is when the present write was first sent, and writing its record.
	sent    msg.Time
	writing msg.LeaseRecord
	renewAt msg.Time
}

// advance takes the next step that is due for a lease.
func (p *Component) advance(now msg.Time, l *lease) []msg.Effect {
	var effs []msg.Effect
	if l.held && now >= l.until {
		effs = l.lose("it was not renewed in time")
	}
	switch {
	case l.busy:
	case l.held && now >= l.renewAt:
		effs = append(effs, p.write(now, l, l.epoch, l.until))
	case l.held || !l.wanted || p.stopping:
	case l.known && p.mayAcquire(now, l):
		effs = append(effs, p.write(now, l, l.record.Epoch+1, now+p.term()))
	case l.rank < candidates && now >= l.observeAt:
		l.busy = true
		effs = append(effs, p.store.Get(l.tag, msg.KindLease, string(l.name)))
	}
	return effs
}

// term is how long a write gives authority.
func (p *Component) term() time.Duration { return p.cfg.Length - p.cfg.Margin }

// mayAcquire reports whether nobody else can act under the lease any more. A
// daemon that is no candidate must have seen so itself.
func (p *Component) mayAcquire(now msg.Time, l *lease) bool {
	if l.retryWait > 0 && now < l.observeAt {
		return false
	}
	free := l.seenAt + p.exclusion(l) + time.Duration(l.rank)*rankDelay
	if l.rank >= candidates && l.stillAt < free {
		return false
	}
	return now >= free
}

// exclusion is how long after its first sight a lease is closed to others
// than its holder.
func (p *Component) exclusion(l *lease) time.Duration {
	switch {
	case l.record.Epoch == 0, p.isOwn(l.record):
		return 0
	case l.record.Released:
		return p.cfg.CallDeadline
	}
	length := time.Duration(l.record.DurationMS) * time.Millisecond
	return max(p.cfg.Length, length) + p.cfg.CallDeadline
}

// isOwn reports whether this process wrote the record. What it did under the
// old epoch it knows itself.
func (p *Component) isOwn(rec msg.LeaseRecord) bool {
	return rec.Holder == p.cfg.Self && rec.Incarnation == p.cfg.Incarnation
}

// write sends an acquisition or a renewal.
func (p *Component) write(now msg.Time, l *lease, epoch msg.Epoch, notAfter msg.Time) msg.Effect {
	l.busy = true
	l.sent = now
	l.writing = msg.LeaseRecord{
		Holder:      p.cfg.Self,
		Incarnation: p.cfg.Incarnation,
		Epoch:       epoch,
		DurationMS:  p.cfg.Length.Milliseconds(),
	}
	return p.store.Put(now, l.tag, msg.KindLease, string(l.name), l.writing, l.version, notAfter)
}

func (p *Component) onWrite(now msg.Time, l *lease, r store.Result) []msg.Effect {
	l.busy = false
	l.releaseDue = false
	if l.releasing {
		return p.onReleased(l, r)
	}
	switch {
	case r.Status == msg.CallOK && !r.Superseded:
		return p.onWritten(now, l, r.Object.Version)
	case r.Status == msg.CallUnavailable, r.Status == msg.CallRejected:
		l.retryWait = min(max(2*l.retryWait, retryMin), p.cfg.Renew)
		l.renewAt = now + p.backoff(l)
		l.observeAt = l.renewAt
		return nil
	}
	// Somebody else wrote, or it is not known: look before the next step.
	l.known = false
	l.observeAt = now
	if l.held && r.Status != msg.CallUnknown {
		return l.lose("another daemon has taken it")
	}
	return nil
}

func (p *Component) onWritten(now msg.Time, l *lease, v msg.Version) []msg.Effect {
	l.retryWait = 0
	l.record = l.writing
	l.version = v
	l.seenAt = now
	l.stillAt = now
	until := l.sent + p.term()
	renewal := l.writing.Epoch == l.epoch
	if now >= until || !l.wanted || p.stopping || (renewal && !l.held) {
		// Too late to act on. The object is this daemon's own, to be taken
		// again with a new epoch or to be released.
		return p.unusable(now, l)
	}
	acquired := !l.held
	l.held = true
	l.epoch = l.record.Epoch
	l.until = until
	l.renewAt = l.sent + p.cfg.Renew
	var effs []msg.Effect
	if acquired {
		effs = append(effs, l.log("lease acquired"))
	}
	return append(effs, l.changed())
}

func (p *Component) unusable(now msg.Time, l *lease) []msg.Effect {
	var effs []msg.Effect
	if l.held {
		effs = l.lose("its renewal came too late")
	}
	if !l.wanted || p.stopping {
		effs = append(effs, p.release(now, l))
	}
	return effs
}

// giveUp ends the authority first and then tells the others.
func (p *Component) giveUp(now msg.Time, l *lease) []msg.Effect {
	effs := l.lose("it is handed over")
	if l.busy {
		l.releaseDue = true
		return effs
	}
	return append(effs, p.release(now, l))
}

func (p *Component) release(now msg.Time, l *lease) msg.Effect {
	l.busy = true
	l.releasing = true
	l.writing = l.record
	l.writing.Released = true
	return p.store.Put(now, l.tag, msg.KindLease, string(l.name), l.writing, l.version, now+p.cfg.Length)
}

func (p *Component) onReleased(l *lease, r store.Result) []msg.Effect {
	l.releasing = false
	l.known = false
	l.observeAt = 0
	if r.Status != msg.CallOK {
		return nil
	}
	effs := []msg.Effect{l.log("lease released")}
	for _, h := range l.candidates {
		if h != p.cfg.Self {
			effs = append(effs, msg.SendPeer{To: h, Message: msg.LeaseReleased{Name: l.name, Epoch: l.writing.Epoch}})
		}
	}
	return effs
}

func (p *Component) onRead(now msg.Time, l *lease, r store.Result) []msg.Effect {
	l.busy = false
	switch r.Status {
	case msg.CallOK, msg.CallNotFound:
		l.retryWait = 0
		l.observeAt = now + p.cfg.Observe/2 + p.jitter(p.cfg.Observe)
		return l.saw(now, r.Object)
	}
	l.retryWait = min(max(2*l.retryWait, retryMin), p.cfg.Observe)
	l.observeAt = now + p.backoff(l)
	return nil
}

func (p *Component) backoff(l *lease) time.Duration { return l.retryWait/2 + p.jitter(l.retryWait) }

// saw takes note of the object as it was read. A missing object is version 0;
// its epoch is never below one that was seen.
func (l *lease) saw(now msg.Time, o msg.Object) []msg.Effect {
	switch {
	case l.known && o.Version == l.version:
		l.stillAt = now
		return nil
	case l.known && o.Version != 0 && o.Version < l.version:
		return nil
	}
	var rec msg.LeaseRecord
	if o.Version != 0 {
		if err := json.Unmarshal(o.Value, &rec); err != nil {
			return []msg.Effect{msg.LogLine{
				Component: partName, Level: msg.LogError, Text: "lease object can't be decoded",
				Attrs: []msg.Attr{{Key: "lease", Value: string(l.name)}},
			}}
		}
	}
	rec.Epoch = max(rec.Epoch, l.record.Epoch, l.epoch)
	changed := rec.Holder != l.record.Holder || rec.Epoch != l.record.Epoch
	l.known = true
	l.record = rec
	l.version = o.Version
	l.seenAt = now
	l.stillAt = now
	if !changed || rec.Holder == "" {
		return nil
	}
	return []msg.Effect{msg.Raise{Event: msg.LeaseHolderObserved{Name: l.name, Holder: rec.Holder, Epoch: rec.Epoch}}}
}

func (l *lease) lose(reason string) []msg.Effect {
	l.held = false
	return []msg.Effect{l.log("lease lost", msg.Attr{Key: "reason", Value: reason}), l.changed()}
}

func (l *lease) changed() msg.Effect {
	return msg.Raise{Event: msg.LeaseChanged{Name: l.name, Held: l.held, Epoch: l.epoch, Until: l.until}}
}

func (l *lease) log(text string, attrs ...msg.Attr) msg.Effect {
	all := []msg.Attr{
		{Key: "lease", Value: string(l.name)},
		{Key: "epoch", Value: strconv.FormatUint(uint64(l.epoch), 10)},
	}
	return msg.LogLine{Component: partName, Text: text, Attrs: append(all, attrs...)}
}
