package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/sharedrate"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// askTimeout is the time after which the next holder is asked.
	askTimeout = 40 * time.Millisecond
	// askMemory is how long the reply to an ask is awaited. What may have been granted to
	// an ask without a reply is then returned.
	askMemory = time.Second
	// silentTime is how long a holder that did not reply is asked only if no other is
	// left.
	silentTime = 500 * time.Millisecond
	// maxRefusalAge limits how long a denial is remembered. Room may also come from what
	// is returned, or from a raised quota.
	maxRefusalAge = 500 * time.Millisecond
)

// Send is a message to another daemon.
type Send struct {
	To      msg.HostID
	Message msg.PeerMessage
}

// ask is an ask to which no reply has come.
type ask struct {
	res     *Reservation
	holder  msg.HostID
	account msg.AccountID
	at      msg.Time
}

// allHolders stands for all holders of a quota together, which have denied a partial ask.
const allHolders msg.HostID = ""

// Asker reserves the costs of one daemon's requests at the holders of quotas.
type Asker struct {
	self    msg.HostID
	members *sharedrate.Members
	holder  *Holder
	limits  msg.DirectLimits
	seq     uint64

	asks     map[uint64]*ask
	waiting  []*Reservation
	silent   map[msg.HostID]msg.Time // until when
	refusals map[refusalKey]refusal
	holders  map[msg.AccountID]holderList
	results  []msg.QuotaResult
	repeat   []Send // returns that are sent once more
}

// holderList lists the holders of a quota, as computed for a version of the members.
type holderList struct {
	version uint64
	n       int
	hosts   []msg.HostID
}

// NewAsker returns an Asker. Its asks have the numbers after firstSeq, which must be
// drawn at random for each process. This daemon's own decisions are made by holder.
func NewAsker(self msg.HostID, members *sharedrate.Members, holder *Holder, firstSeq uint64) *Asker {
	return &Asker{
		self: self, members: members, holder: holder, seq: firstSeq,
		asks: make(map[uint64]*ask), silent: make(map[msg.HostID]msg.Time),
		refusals: make(map[refusalKey]refusal), holders: make(map[msg.AccountID]holderList),
	}
}

// Configure sets the limits. It forgets denials, which may not hold for the new quotas.
func (a *Asker) Configure(limits msg.DirectLimits) {
	a.limits = limits
	clear(a.refusals)
	clear(a.holders)
}

// Reserve begins a reservation. It may be decided at once.
func (a *Asker) Reserve(now msg.Time, req msg.RequestID, account *msg.DirectAccount, cost float64) (*Reservation, []Send) {
	r := &Reservation{Req: req, Account: account.Account, Cost: cost, quota: account.Quota, rest: cost}
	t := termsOf(r.quota, &a.limits)
	r.partial = t.partial(cost)
	if r.partial && a.denies(now, r, allHolders) {
		r.State = Denied
		return r, nil
	}
	r.left = a.order(now, r)
	sends := a.askNext(now, r)
	if r.State == Pending {
		a.waiting = append(a.waiting, r)
	}
	return r, sends
}

// order returns the holders in the order in which they are asked: this daemon itself, then
// the others from one that varies. Those that are silent come last. If all are silent,
// only one is asked, so that the request is refused soon. A single holder is asked twice,
// since a datagram may be lost.
func (a *Asker) order(now msg.Time, r *Reservation) []msg.HostID {
	all := a.holdersOf(r)
	list := make([]msg.HostID, 0, len(all))
	if len(all) > 0 {
		first := int(a.seq % uint64(len(all)))
		list = append(append(list, all[first:]...), all[:first]...)
	}
	class := func(h msg.HostID) int {
		switch {
		case h == a.self:
			return 0
		case a.isSilent(now, h):
			return 2
		}
		return 1
	}
	slices.SortStableFunc(list, func(x, y msg.HostID) int { return cmp.Compare(class(x), class(y)) })
	switch {
	case len(list) > 0 && class(list[0]) == 2:
		return list[:1]
	case len(list) == 1 && list[0] != a.self:
		return append(list, list[0])
	}
	return list
}

func (a *Asker) holdersOf(r *Reservation) []msg.HostID {
	n := termsOf(r.quota, &a.limits).holders
	l := a.holders[r.Account]
	if l.version == a.members.Version && l.n == n {
		return l.hosts
	}
	l = holderList{version: a.members.Version, n: n}
	for _, h := range a.members.Holders(string(r.Account), n) {
		l.hosts = append(l.hosts, h.Host)
	}
	a.holders[r.Account] = l
	return l.hosts
}

func (a *Asker) isSilent(now msg.Time, h msg.HostID) bool { return now < a.silent[h] }

// askNext asks the next holder that may grant the request. Without one, it decides the
// reservation. It is called when no reply to an ask for the reservation is waited for.
func (a *Asker) askNext(now msg.Time, r *Reservation) []Send {
	for r.State == Pending && len(r.left) > 0 {
		holder := r.left[0]
		r.left = r.left[1:]
		if !r.partial && a.denies(now, r, holder) {
			continue
		}
		if holder == a.self {
			a.askSelf(now, r)
			continue
		}
		if a.isSilent(now, holder) && r.Wait > 0 {
			continue // Others have denied.
		}
		return []Send{a.send(now, r, holder)}
	}
	if r.State == Pending {
		return a.giveUp(now, r)
	}
	return nil
}

func (a *Asker) askSelf(now msg.Time, r *Reservation) {
	a.seq++
	reply := a.holder.Ask(now, a.self, a.message(now, r, a.self))
	a.results = append(a.results, reply.Result)
	a.apply(now, r, a.self, reply)
}

func (a *Asker) send(now msg.Time, r *Reservation, holder msg.HostID) Send {
	a.seq++
	a.asks[a.seq] = &ask{res: r, holder: holder, account: r.Account, at: now}
	r.seq, r.next = a.seq, now+askTimeout
	return Send{holder, a.message(now, r, holder)}
}

func (a *Asker) message(now msg.Time, r *Reservation, holder msg.HostID) msg.QuotaAsk {
	return msg.QuotaAsk{Seq: a.seq, Account: r.Account, Cost: r.rest, Last: a.isLast(now, r, holder), Partial: r.partial}
}

// isLast reports whether no holder but holder, which is asked now, is left to be asked.
func (a *Asker) isLast(now msg.Time, r *Reservation, holder msg.HostID) bool {
	return !slices.ContainsFunc(r.left, func(h msg.HostID) bool {
		ref, ok := a.refusals[refusalKey{h, r.Account}]
		return h != holder && !a.isSilent(now, h) && (!ok || !ref.applies(now, r))
	})
}

// apply applies a reply to a reservation that is pending.
func (a *Asker) apply(now msg.Time, r *Reservation, holder msg.HostID, reply msg.QuotaReply) {
	key := refusalKey{holder, r.Account}
	switch reply.Result {
	case msg.QuotaGranted:
		r.Holder, r.Level, r.Age = holder, reply.Level, 0
		r.parts = append(r.parts, part{holder, reply.Seq})
		if r.partial {
			r.rest -= reply.Amount
		}
		if !r.partial || r.rest <= 0 {
			r.State = Granted
			delete(a.refusals, key)
		}
	case msg.QuotaDenied:
		if r.partial {
			r.noteDenial(holder, reply.Level, 0, time.Duration(reply.WaitMS)*time.Millisecond)
			return
		}
		room := time.Duration(reply.RoomMS) * time.Millisecond
		wait := time.Duration(reply.WaitMS) * time.Millisecond
		a.refusals[key] = refusal{cost: r.Cost, at: now, until: now + min(room, maxRefusalAge), comeBack: now + wait, level: reply.Level}
		r.noteDenial(holder, reply.Level, 0, wait)
	}
}

// OnReply processes a reply. It returns the reservation that it decides, or nil.
func (a *Asker) OnReply(now msg.Time, from msg.HostID, reply msg.QuotaReply) (*Reservation, []Send) {
	k := a.asks[reply.Seq]
	if k == nil || k.holder != from {
		return nil, nil
	}
	delete(a.asks, reply.Seq)
	delete(a.silent, from)
	// A later version may send results that this one does not know.
	reply.Result = min(reply.Result, msg.QuotaUnknown)
	a.results = append(a.results, reply.Result)
	r := k.res
	late := r.partial && r.seq != reply.Seq
	if r.State != Pending || late {
		if reply.Result == msg.QuotaGranted {
			return nil, []Send{a.sendReturn(from, msg.QuotaReturn{Seq: reply.Seq, Account: reply.Account})}
		}
		return nil, nil
	}
	a.apply(now, r, from, reply)
	var sends []Send
	if r.State == Pending && r.seq == reply.Seq {
		sends = a.askNext(now, r)
	}
	return a.settle(r), sends
}

// settle removes a decided reservation from the waiting ones.
func (a *Asker) settle(r *Reservation) *Reservation {
	if r.State == Pending {
		return nil
	}
	a.waiting = slices.DeleteFunc(a.waiting, func(o *Reservation) bool { return o == r })
	return r
}

// Advance asks the next holders for the reservations whose replies are late. It returns
// the reservations that are decided.
func (a *Asker) Advance(now msg.Time) ([]*Reservation, []Send) {
	var decided []*Reservation
	sends := a.repeat
	a.repeat = nil
	for _, r := range slices.Clone(a.waiting) {
		if now < r.next {
			continue
		}
		if k := a.asks[r.seq]; k != nil {
			a.silent[k.holder] = now + silentTime
			a.results = append(a.results, msg.QuotaSilent)
		}
		sends = append(sends, a.askNext(now, r)...)
		if a.settle(r) != nil {
			decided = append(decided, r)
		}
	}
	sends = append(sends, a.dropAsks(now)...)
	maps.DeleteFunc(a.refusals, func(_ refusalKey, ref refusal) bool { return now >= ref.until })
	maps.DeleteFunc(a.silent, func(_ msg.HostID, until msg.Time) bool { return now >= until })
	return decided, sends
}

// TakeResults returns the results of the asks since the last call.
func (a *Asker) TakeResults() []msg.QuotaResult {
	list := a.results
	a.results = nil
	return list
}
