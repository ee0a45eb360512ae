package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/targetagent"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// stage is the progress of this daemon in taking over a pool.
type stage uint8

const (
	// stageIdle means that this daemon does not hold the lease.
	stageIdle stage = iota
	// stageReading means that the pool's record must be read.
	stageReading
	// stageFencing means that the record is being written with the new epoch, so
	// that later writes of the former holder fail.
	stageFencing
	// stageActive means that the record is known and this daemon acts on the
	// pool.
	stageActive
)

// sendMargin is the time before the end of the lease at which this daemon stops
// sending calls.
const sendMargin = 500 * time.Millisecond

// authority is this daemon's right to act on a pool: the state of the lease,
// the pool's record, and the orders that were sent under the lease.
type authority struct {
	stage stage
	epoch msg.Epoch
	// until is the time until which the lease is valid.
	until msg.Time
	// activeSince is when this daemon entered stageActive.
	activeSince msg.Time

	record  *Record
	version msg.Version
	// pending is the record that is being written, or nil.
	pending *Record
	// readPending means that a read of the record is outstanding.
	readPending bool
	// dirty means that the record was changed after it was last written.
	dirty bool
	// deliveries holds the state of the orders that were sent under the lease.
	deliveries map[msg.OrderID]*delivery
}

// maySend reports whether calls may still be sent under the lease.
func (a *authority) maySend(now msg.Time) bool {
	return a.stage != stageIdle && now < a.until-sendMargin
}

func (c *Controller) onLeaseChanged(now msg.Time, ev msg.LeaseChanged) []msg.Effect {
	for _, name := range c.poolNames() {
		if targetagent.LeaseName(name) == ev.Name {
			return c.updateAuthority(now, c.pools[name], ev)
		}
	}
	return nil
}

func (c *Controller) updateAuthority(now msg.Time, p *pool, ev msg.LeaseChanged) []msg.Effect {
	a := &p.authority
	if !ev.Held {
		if a.stage == stageIdle {
			return nil
		}
		p.authority = authority{}
		return []msg.Effect{logLine(msg.LogInfo, "Pool lease lost", attr("pool", string(p.name)))}
	}
	a.until = ev.Until
	if a.stage != stageIdle && a.epoch == ev.Epoch {
		return nil
	}
	p.authority = authority{stage: stageReading, epoch: ev.Epoch, until: ev.Until}
	effs := []msg.Effect{logLine(msg.LogInfo, "Pool lease acquired",
		attr("pool", string(p.name)), attr("epoch", fmt.Sprint(uint64(ev.Epoch))))}
	return append(effs, c.readRecord(now, p)...)
}

func (c *Controller) readRecord(now msg.Time, p *pool) []msg.Effect {
	a := &p.authority
	if a.readPending || !a.maySend(now) {
		return nil
	}
	a.readPending = true
	tag := c.registerCall(storeCall{kind: callReadRecord, pool: p.name})
	return []msg.Effect{c.objects.Get(tag, msg.KindFleet, string(p.name))}
}

func (c *Controller) onRecordRead(now msg.Time, p *pool, r store.Result) []msg.Effect {
	a := &p.authority
	if a.stage != stageReading || !a.readPending {
		return nil
	}
	a.readPending = false
	if !a.maySend(now) {
		return nil // the record is read again once the lease has been renewed
	}
	rec := &Record{}
	switch {
	case r.Status == msg.CallOK:
		if err := json.Unmarshal(r.Object.Value, rec); err != nil {
			return []msg.Effect{logLine(msg.LogError, "Pool record can't be decoded", attr("pool", string(p.name)))}
		}
	case r.Status != msg.CallNotFound:
		return nil // the record is read again at the next decision
	}
	if rec.Epoch > a.epoch {
		return []msg.Effect{logLine(msg.LogWarn, "Pool record was written with a newer epoch", attr("pool", string(p.name)))}
	}
	a.version = r.Object.Version
	a.record = rec
	a.stage = stageFencing
	next := rec.clone()
	next.setEpoch(a.epoch)
	return c.writeRecord(now, p, next)
}

// writeRecord writes the record under the condition that no other daemon has
// written it since this daemon read it.
func (c *Controller) writeRecord(now msg.Time, p *pool, next *Record) []msg.Effect {
	a := &p.authority
	if a.pending != nil || !a.maySend(now) {
		return nil
	}
	a.pending = next
	a.dirty = false
	tag := c.registerCall(storeCall{kind: callWriteRecord, pool: p.name})
	return []msg.Effect{c.objects.Put(now, tag, msg.KindFleet, string(p.name), next, a.version, a.until-sendMargin)}
}

func (c *Controller) onRecordWritten(now msg.Time, p *pool, r store.Result) []msg.Effect {
	a := &p.authority
	next := a.pending
	if next == nil || a.stage == stageIdle {
		return nil
	}
	a.pending = nil
	if r.Status != msg.CallOK {
		// Another daemon may have written the record, so it is read again before
		// anything else is done.
		a.stage = stageReading
		return c.readRecord(now, p)
	}
	a.record, a.version = next, r.Object.Version
	if a.stage == stageFencing {
		a.stage = stageActive
		a.activeSince = now
		a.deliveries = make(map[msg.OrderID]*delivery)
	}
	maps.DeleteFunc(a.deliveries, func(id msg.OrderID, _ *delivery) bool { return next.order(id) == nil })
	return append(c.sendOrders(now, p), c.sendProvisionRequests(now, p)...)
}

// updateRecord applies a change to the current record and to the one that is
// being written. The change is stored with the next decision.
func (a *authority) updateRecord(change func(*Record)) {
	change(a.record)
	a.dirty = true
	if a.pending != nil {
		change(a.pending)
	}
}

// saveRecord writes the record if it differs from the stored one.
func (c *Controller) saveRecord(now msg.Time, p *pool, next *Record) []msg.Effect {
	if reflect.DeepEqual(next, p.authority.record) && !p.authority.dirty {
		return nil
	}
	return c.writeRecord(now, p, next)
}
