package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
	"github.com/verbenaspur/verbenaspur/internal/core/targetagent"
)

// stage is how far this daemon has come in taking a pool over.
type stage uint8

const (
	// stageIdle: the lease is not held.
	stageIdle stage = iota
	// stageReading: the pool's record is to be read.
	stageReading
	// stageClaiming: the record is being put under the new epoch, which makes
	// writes of the former holder fail.
	stageClaiming
	// stageActive: the record is known and this daemon acts.
	stageActive
)

// sendMargin is how long before the end of the authority the last call is
// sent.
const sendMargin = 500 * time.Millisecond

// authority is the lease, the record, and the orders sent under them.
type authority struct {
	stage stage
	epoch msg.Epoch
	until msg.Time
	// since is when this daemon became active.
	since msg.Time

	record  *Record
	version msg.Version
	// pending is the record that is being written, or nil.
	pending *Record
	calling bool
	// dirty says that the record was revised since it was last written.
	dirty bool
	sent  map[msg.OrderID]*sending
}

// valid reports whether calls may still be sent under the lease.
func (a *authority) valid(now msg.Time) bool {
	return a.stage != stageIdle && now < a.until-sendMargin
}

func (c *Controller) onLease(now msg.Time, ev msg.LeaseChanged) []msg.Effect {
	for _, name := range c.names() {
		if targetagent.LeaseName(name) == ev.Name {
			return c.setAuthority(now, c.pools[name], ev)
		}
	}
	return nil
}

func (c *Controller) setAuthority(now msg.Time, p *pool, ev msg.LeaseChanged) []msg.Effect {
	a := &p.authority
	if !ev.Held {
		if a.stage == stageIdle {
			return nil
		}
		p.authority = authority{}
		return []msg.Effect{logLine(msg.LogInfo, "Authority over pool lost", attr("pool", string(p.name)))}
	}
	a.until = ev.Until
	if a.stage != stageIdle && a.epoch == ev.Epoch {
		return nil
	}
	p.authority = authority{stage: stageReading, epoch: ev.Epoch, until: ev.Until}
	effs := []msg.Effect{logLine(msg.LogInfo, "Authority over pool gained",
		attr("pool", string(p.name)), attr("epoch", fmt.Sprint(uint64(ev.Epoch))))}
	return append(effs, c.readRecord(now, p)...)
}

func (c *Controller) readRecord(now msg.Time, p *pool) []msg.Effect {
	a := &p.authority
	if a.calling || !a.valid(now) {
		return nil
	}
	a.calling = true
	tag := c.call(storeCall{kind: callReadRecord, pool: p.name})
	return []msg.Effect{c.objects.Get(tag, msg.KindFleet, string(p.name))}
}

func (c *Controller) onRecordRead(now msg.Time, p *pool, r store.Result) []msg.Effect {
	a := &p.authority
	if a.stage != stageReading || !a.calling {
		return nil
	}
	a.calling = false
	rec := &Record{}
	switch {
	case r.Status == msg.CallOK:
		if err := json.Unmarshal(r.Object.Value, rec); err != nil {
			return []msg.Effect{logLine(msg.LogError, "Pool record can't be decoded", attr("pool", string(p.name)))}
		}
	case r.Status != msg.CallNotFound:
		return nil // read again at the next decision
	}
	if rec.Epoch > a.epoch {
		return []msg.Effect{logLine(msg.LogWarn, "Pool record is under a newer epoch", attr("pool", string(p.name)))}
	}
	a.version = r.Object.Version
	a.record = rec
	a.stage = stageClaiming
	next := rec.clone()
	next.adopt(a.epoch)
	return c.writeRecord(now, p, next)
}

// writeRecord writes the record if nobody else wrote it meanwhile.
func (c *Controller) writeRecord(now msg.Time, p *pool, next *Record) []msg.Effect {
	a := &p.authority
	if a.pending != nil || !a.valid(now) {
		return nil
	}
	a.pending = next
	a.dirty = false
	tag := c.call(storeCall{kind: callWriteRecord, pool: p.name})
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
		// Whoever wrote it, the record is read again before anything else.
		a.stage = stageReading
		return c.readRecord(now, p)
	}
	a.record, a.version = next, r.Object.Version
	if a.stage == stageClaiming {
		a.stage = stageActive
		a.since = now
		a.sent = make(map[msg.OrderID]*sending)
	}
	maps.DeleteFunc(a.sent, func(id msg.OrderID, _ *sending) bool { return next.order(id) == nil })
	return append(c.sendOrders(now, p), c.sendPurchases(now, p)...)
}

// revise applies a change to the record and to the one being written. The
// change itself is written with the next decision.
func (a *authority) revise(change func(*Record)) {
	change(a.record)
	a.dirty = true
	if a.pending != nil {
		change(a.pending)
	}
}

// save writes the record when it differs from the one in force.
func (c *Controller) save(now msg.Time, p *pool, next *Record) []msg.Effect {
	if reflect.DeepEqual(next, p.authority.record) && !p.authority.dirty {
		return nil
	}
	return c.writeRecord(now, p, next)
}
