package quota

import (
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// giveUp decides a reservation that the holders have not granted. What some have granted
// of it is returned.
func (a *Asker) giveUp(now msg.Time, r *Reservation) []Send {
	if r.partial && len(r.parts) > 0 {
		wait := min(time.Duration(r.rest/r.quota.PerSecond*float64(time.Second)), maxWait)
		a.refusals[refusalKey{allHolders, r.Account}] = refusal{cost: r.Cost, at: now, until: now + min(wait, maxRefusalAge), comeBack: now + wait}
		r.noteDenial(r.parts[0].holder, r.Level, 0, wait)
	}
	r.State = Unanswered
	if r.Wait > 0 {
		r.State = Denied
	}
	return a.returnParts(now, r)
}

// returnParts returns what was granted of a reservation.
func (a *Asker) returnParts(now msg.Time, r *Reservation) []Send {
	var sends []Send
	for _, p := range r.parts {
		m := msg.QuotaReturn{Seq: p.seq, Account: r.Account}
		if p.holder == a.self {
			a.holder.Return(now, a.self, m)
			continue
		}
		sends = append(sends, a.sendReturn(p.holder, m))
	}
	r.parts = nil
	return sends
}

// sendReturn returns a grant. It is sent again by the next Advance, since what a lost
// return held would be lost, too.
func (a *Asker) sendReturn(holder msg.HostID, m msg.QuotaReturn) Send {
	send := Send{holder, m}
	a.repeat = append(a.repeat, send)
	return send
}

// dropAsks gives up the asks that no reply has come to for long.
func (a *Asker) dropAsks(now msg.Time) []Send {
	var old []uint64
	for seq, k := range a.asks {
		if now-k.at >= askMemory {
			old = append(old, seq)
		}
	}
	slices.Sort(old)
	var sends []Send
	for _, seq := range old {
		k := a.asks[seq]
		delete(a.asks, seq)
		sends = append(sends, a.sendReturn(k.holder, msg.QuotaReturn{Seq: seq, Account: k.account}))
	}
	return sends
}

// Release gives a reservation up, because its request has not run and will not run. What
// was granted, or is granted late, is returned.
func (a *Asker) Release(now msg.Time, r *Reservation) []Send {
	r.State = Unanswered
	a.settle(r)
	return a.returnParts(now, r)
}

// Charge takes the cost of a granted reservation once more, for a second run.
func (a *Asker) Charge(now msg.Time, r *Reservation) []Send {
	if r.State != Granted {
		return nil
	}
	a.seq++
	m := msg.QuotaAsk{Seq: a.seq, Account: r.Account, Cost: r.Cost, Charge: true}
	if r.Holder == a.self {
		a.holder.Ask(now, a.self, m)
		return nil
	}
	return []Send{{r.Holder, m}}
}
