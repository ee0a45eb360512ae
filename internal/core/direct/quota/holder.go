package quota

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/sharedrate"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// grantMemory is how long a grant can be returned, and how long the same ask is not
	// granted again. It exceeds the duration of a request that has not begun to run.
	grantMemory = 30 * time.Second
	// fairMemory is how long after an account's last denial its shorter requests leave
	// room for the longest one that was denied. An account that is denied all the time
	// does so until maxFairMemory after the denial of that one, which has been told to
	// come back before.
	fairMemory    = 2 * time.Second
	maxFairMemory = maxWait + fairMemory
	// maxWait limits the times at which denied callers are told to come back, and
	// maxPromised how far ahead of the account's rate such times are given.
	maxWait     = 10 * time.Second
	maxPromised = 4 * time.Second
	// usePeriod is the time between two reports of use.
	usePeriod = 5 * time.Second
)

// Holder decides at this daemon about the quotas of which it is a holder.
type Holder struct {
	members  *sharedrate.Members
	self     msg.HostID
	limits   msg.DirectLimits
	accounts map[msg.AccountID]*account
	grants   map[grantKey]grant
	// granted lists the grants that are kept, in order of their times.
	granted []grantRecord
	// reportedAt is when use was last reported.
	reportedAt msg.Time
}

// account is an account with a quota.
type account struct {
	id    msg.AccountID
	quota msg.AccountQuota
	terms terms
	// version is the version of the members for which holds was computed.
	version uint64
	holds   bool
	bucket  sharedrate.Bucket
	window  window
	// since is when this daemon became a holder, and granted what it has granted since,
	// less what was returned.
	since   msg.Time
	granted float64
	// denied is the largest cost of a request that was denied lately by all holders, and
	// largestAt when one of that cost was last denied. deniedAt is when any was.
	denied              float64
	largestAt, deniedAt msg.Time
	// promised is the time up to which what the account's rate brings is promised to
	// callers that were denied.
	promised msg.Time
	// used and refused sum up what was granted and denied since the last report.
	used    float64
	refused int
}

type grantKey struct {
	from msg.HostID
	seq  uint64
}

// grant is what was granted to an ask, and when.
type grant struct {
	cost float64
	at   msg.Time
}

type grantRecord struct {
	key grantKey
	at  msg.Time
}

// NewHolder returns a Holder that knows no accounts.
func NewHolder(self msg.HostID, members *sharedrate.Members) *Holder {
	return &Holder{self: self, members: members, accounts: make(map[msg.AccountID]*account), grants: make(map[grantKey]grant)}
}

// Configure sets the accounts and the limits. A changed quota holds at once. Accounts that
// are not listed are forgotten.
func (h *Holder) Configure(now msg.Time, accounts []msg.DirectAccount, limits msg.DirectLimits) {
	h.limits = limits
	old := h.accounts
	h.accounts = make(map[msg.AccountID]*account)
	for i := range accounts {
		q := accounts[i].Quota
		if q == nil {
			continue
		}
		id := accounts[i].Account
		a := old[id]
		if a == nil {
			a = &account{id: id}
		}
		h.accounts[id] = a
		a.set(now, q, termsOf(q, &limits))
	}
}

// set changes the quota. If that changes the number of holders, this daemon becomes one
// anew.
func (a *account) set(now msg.Time, q *msg.AccountQuota, t terms) {
	if a.quota == *q && a.terms == t {
		return
	}
	if a.terms.holders != t.holders {
		a.version, a.holds = 0, false
	}
	a.quota, a.terms = *q, t
	a.promised = 0
	a.denied = 0
	if a.window.width != t.window/windowSlots {
		a.window = newWindow(now, t.window, t.target)
	}
	if a.holds {
		a.adjust(now)
	}
}

// adjust sets the rate of the bucket by the use in the window, which it returns.
func (a *account) adjust(now msg.Time) float64 {
	used := a.window.used(now)
	a.bucket.SetRate(now, a.terms.rate(used), a.terms.capacity)
	return used
}

// refresh updates whether this daemon is a holder of a quota. One that becomes a holder
// begins with the largest debt, as its share may just have been used by another, or by an
// earlier process of this host.
func (h *Holder) refresh(now msg.Time, a *account) bool {
	if a.version == h.members.Version {
		return a.holds
	}
	a.version = h.members.Version
	held := a.holds
	a.holds = h.members.Holds(string(a.id), h.self, a.terms.holders)
	if a.holds && !held {
		a.bucket = sharedrate.NewBucket(now, -a.terms.debt)
		a.window = newWindow(now, a.terms.window, a.terms.target)
		a.since, a.granted = now, 0
		a.adjust(now)
	}
	return a.holds
}

// Ask decides on an ask of a daemon.
func (h *Holder) Ask(now msg.Time, from msg.HostID, ask msg.QuotaAsk) msg.QuotaReply {
	reply := msg.QuotaReply{Seq: ask.Seq, Account: ask.Account}
	a := h.accounts[ask.Account]
	if a == nil || !h.refresh(now, a) {
		reply.Result = msg.QuotaUnknown
		return reply
	}
	used := a.adjust(now)
	reply.Level = a.bucket.Level(now)
	key := grantKey{from, ask.Seq}
	if g, ok := h.grants[key]; ok {
		reply.Amount = g.cost
		return reply
	}
	if ask.Partial {
		ask.Cost = min(ask.Cost, reply.Level+a.terms.debt)
		if a.terms.window > 0 {
			ask.Cost = min(ask.Cost, a.terms.limit-used)
		}
		ask.Cost = max(ask.Cost, 0)
		reply.Amount = ask.Cost
		if ask.Cost == 0 {
			a.deny(now, &ask, &reply, 0, true)
			return reply
		}
	}
	denied := a.deniedCost(now)
	need, fits := a.terms.needFair(ask.Cost, denied)
	allowed := reply.Level >= need && a.terms.withinLimit(used, max(ask.Cost, denied))
	if !ask.Charge && !ask.Partial && (!fits || !allowed) {
		a.deny(now, &ask, &reply, need, fits)
		if fits && a.isNew(now, ask.Cost) {
			reply.Result = msg.QuotaUnknown
		}
		return reply
	}
	a.bucket.Take(now, ask.Cost)
	a.window.add(now, now, ask.Cost)
	a.adjust(now)
	a.used += ask.Cost
	a.granted += ask.Cost
	h.grants[key] = grant{ask.Cost, now}
	h.granted = append(h.granted, grantRecord{key, now})
	return reply
}

// isNew reports whether this daemon has become a holder so recently that it can't tell a
// request to be beyond the quota: what it has granted itself leaves room.
func (a *account) isNew(now msg.Time, cost float64) bool {
	held := now - a.since
	return held < a.terms.window && a.granted+cost <= a.quota.Burst+a.terms.perSecond*held.Seconds()
}

// deniedCost returns the largest cost of a denied request for which there must be room.
func (a *account) deniedCost(now msg.Time) float64 {
	if now-a.deniedAt > fairMemory || now-a.largestAt > maxFairMemory {
		return 0
	}
	return a.denied
}

// deny sets the result of a denial, with the times after which the request may come back.
func (a *account) deny(now msg.Time, ask *msg.QuotaAsk, reply *msg.QuotaReply, need float64, fits bool) {
	a.refused++
	reply.Result = msg.QuotaDenied
	if !fits {
		reply.RoomMS, reply.WaitMS = maxWait.Milliseconds(), maxWait.Milliseconds()
		return
	}
	if ask.Last {
		if ask.Cost >= a.deniedCost(now) {
			a.denied, a.largestAt = ask.Cost, now
		}
		a.deniedAt = now
	}
	room := max(a.timeFor(need-reply.Level), a.window.width)
	a.promised = min(max(a.promised, now+room), now+max(room, maxPromised))
	wait := a.promised - now
	if ask.Last {
		a.promised += a.timeFor(ask.Cost)
	}
	reply.RoomMS = room.Milliseconds() + 1
	reply.WaitMS = min(wait, maxWait).Milliseconds() + 1
}

// timeFor returns the time in which the holder's share of the rate brings n tokens.
func (a *account) timeFor(n float64) time.Duration {
	return min(time.Duration(n/a.terms.perSecond*float64(time.Second)), maxWait)
}

// Return takes back what was granted to an ask. A grant is taken back once only.
func (h *Holder) Return(now msg.Time, from msg.HostID, m msg.QuotaReturn) {
	key := grantKey{from, m.Seq}
	g, ok := h.grants[key]
	a := h.accounts[m.Account]
	if !ok || a == nil {
		return
	}
	// The grant stays known, so that the same ask is not granted again.
	h.grants[key] = grant{at: g.at}
	if h.refresh(now, a) {
		a.bucket.Take(now, -g.cost)
		a.window.add(now, g.at, -g.cost)
		a.adjust(now)
		a.used -= g.cost
		if g.at >= a.since {
			a.granted -= g.cost
		}
	}
}

// Advance forgets old grants, and returns a report of use if one is due.
func (h *Holder) Advance(now msg.Time) *msg.QuotaUsed {
	n := 0
	for n < len(h.granted) && now-h.granted[n].at >= grantMemory {
		delete(h.grants, h.granted[n].key)
		n++
	}
	h.granted = h.granted[n:]
	return h.report(now)
}
