package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/sharedrate"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// sim is a fleet of daemons in virtual time whose hosts ask each other for the quotas of
// accounts.
type sim struct {
	t        *testing.T
	rand     *rand.Rand
	now      time.Duration
	queue    deliveries
	seq      int
	hosts    []*simHost
	accounts []msg.DirectAccount
	limits   msg.DirectLimits
	loss     float64
	// counted is what requests cost that were granted, or returned, if the host ended
	// them without a run.
	uses     map[msg.AccountID][]use
	results  map[msg.AccountID]map[State]int
	denied   map[msg.AccountID]float64
	messages int
	// ended is the part of the granted requests that end without a run.
	ended float64
	// byCost counts the granted requests, and asked all, by cost.
	byCost, asked map[float64]int
}

type use struct {
	at   time.Duration
	cost float64
}

type simHost struct {
	sim     *sim
	id      msg.HostID
	life    int
	started time.Duration
	down    bool
	cut     bool
	members *sharedrate.Members
	holder  *Holder
	asker   *Asker
}

type delivery struct {
	at  time.Duration
	seq int
	do  func()
}

type deliveries []delivery

func (q deliveries) Len() int { return len(q) }
func (q deliveries) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q deliveries) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveries) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveries) Pop() any {
	old := *q
	d := old[len(old)-1]
	*q = old[:len(old)-1]
	return d
}

const (
	simHop = 1500 * time.Microsecond
)

func newSim(t *testing.T, hosts int, limits msg.DirectLimits, accounts ...msg.DirectAccount) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewPCG(1, uint64(hosts))), accounts: accounts, limits: limits,
		uses: make(map[msg.AccountID][]use), results: make(map[msg.AccountID]map[State]int), denied: make(map[msg.AccountID]float64),
		byCost: make(map[float64]int), asked: make(map[float64]int),
	}
	for i := range hosts {
		h := &simHost{sim: s, id: msg.HostID(fmt.Sprintf("e%03d", i))}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		h.start()
	}
	s.every(msg.TickInterval, s.tick)
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, delivery{s.now + d, s.seq, do})
}

func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		ev := heap.Pop(&s.queue).(delivery)
		s.now = ev.at
		ev.do()
	}
	s.now = end
}

// start starts a process, which knows the others at once from the store.
func (h *simHost) start() {
	s := h.sim
	h.life++
	h.down = false
	h.started = s.now
	h.members = &sharedrate.Members{}
	h.holder = NewHolder(h.id, h.members)
	h.asker = NewAsker(h.id, h.members, h.holder, s.rand.Uint64()>>1)
	h.configure()
	h.members.SetListed(0, s.listed())
}

func (h *simHost) configure() {
	h.holder.Configure(h.now(), h.sim.accounts, h.sim.limits)
	h.asker.Configure(h.sim.limits)
}

// now is the time on the process's clock.
func (h *simHost) now() msg.Time { return h.sim.now - h.started }

func (s *sim) listed() []msg.Host {
	list := make([]msg.Host, 0, len(s.hosts))
	for _, h := range s.hosts {
		list = append(list, msg.Host{Host: h.id})
	}
	return list
}

// list makes the daemons see in the store that a host is gone, or back.
func (s *sim) list(gone ...*simHost) {
	var hosts []msg.Host
	for _, h := range s.hosts {
		var is bool
		for _, g := range gone {
			is = is || g == h
		}
		if !is {
			hosts = append(hosts, msg.Host{Host: h.id})
		}
	}
	for _, h := range s.hosts {
		if !h.cut {
			h.members.SetListed(h.now(), hosts)
		}
	}
}

func (s *sim) tick() {
	for _, h := range s.hosts {
		if h.down {
			continue
		}
		h.members.Advance(h.now())
		decided, sends := h.asker.Advance(h.now())
		h.sendAll(sends)
		for _, r := range decided {
			h.decided(r)
		}
		h.asker.TakeResults()
		h.holder.Advance(h.now())
	}
}

func (h *simHost) sendAll(sends []Send) {
	for _, send := range sends {
		h.send(send)
	}
}

func (h *simHost) send(send Send) {
	s := h.sim
	s.messages++
	var n int
	if _, err := fmt.Sscanf(string(send.To), "e%d", &n); err != nil {
		s.t.Fatal(err)
	}
	to := s.hosts[n]
	if h.cut || to.cut || s.rand.Float64() < s.loss {
		return
	}
	life := to.life
	s.after(simHop, func() {
		if !to.down && !to.cut && to.life == life {
			to.receive(h.id, send.Message)
		}
	})
}

func (h *simHost) receive(from msg.HostID, m msg.PeerMessage) {
	switch m := m.(type) {
	case msg.QuotaAsk:
		reply := h.holder.Ask(h.now(), from, m)
		if !m.Charge {
			h.send(Send{from, reply})
		}
	case msg.QuotaReturn:
		h.holder.Return(h.now(), from, m)
	case msg.QuotaReply:
		r, sends := h.asker.OnReply(h.now(), from, m)
		h.sendAll(sends)
		if r != nil {
			h.decided(r)
		}
	}
}

// request sends a request of an account to a random host.
func (s *sim) request(account *msg.DirectAccount, cost float64) {
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	for h.down {
		h = s.hosts[s.rand.IntN(len(s.hosts))]
	}
	s.asked[cost]++
	r, sends := h.asker.Reserve(h.now(), "", account, cost)
	h.sendAll(sends)
	if r.State != Pending {
		h.decided(r)
	}
}

func (h *simHost) decided(r *Reservation) {
	s := h.sim
	byState := s.results[r.Account]
	if byState == nil {
		byState = make(map[State]int)
		s.results[r.Account] = byState
	}
	byState[r.State]++
	if r.State != Granted {
		s.denied[r.Account] += r.Cost
		return
	}
	if s.rand.Float64() < s.ended {
		h.sendAll(h.asker.Release(h.now(), r))
		return
	}
	s.byCost[r.Cost]++
	s.uses[r.Account] = append(s.uses[r.Account], use{s.now, r.Cost})
}

// flood sends requests of an account at a mean rate in tokens per second.
func (s *sim) flood(account *msg.DirectAccount, perSecond float64, costs ...float64) {
	mean := 0.0
	for _, c := range costs {
		mean += c / float64(len(costs))
	}
	var next func()
	next = func() {
		s.request(account, costs[s.rand.IntN(len(costs))])
		s.after(time.Duration(s.rand.ExpFloat64()*mean/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

// most returns the largest use of an account within the window, from a time on.
func (s *sim) most(id msg.AccountID, from time.Duration) float64 {
	list := s.uses[id]
	most, sum, first := 0.0, 0.0, 0
	for _, u := range list {
		sum += u.cost
		for list[first].at <= u.at-s.limits.QuotaWindow {
			sum -= list[first].cost
			first++
		}
		if u.at-s.limits.QuotaWindow >= from {
			most = max(most, sum)
		}
	}
	return most
}

// used returns the use of an account from a time on.
func (s *sim) used(id msg.AccountID, from time.Duration) float64 {
	sum := 0.0
	for _, u := range s.uses[id] {
		if u.at >= from {
			sum += u.cost
		}
	}
	return sum
}

// allowed returns what an account may use within the window.
func (s *sim) allowed(q *msg.AccountQuota) float64 {
	return (q.PerSecond*s.limits.QuotaWindow.Seconds()+q.Burst)*(1+s.limits.QuotaOverage) + s.limits.QuotaSlack
}
