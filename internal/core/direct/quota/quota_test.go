package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/sharedrate"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

var testLimits = msg.DirectLimits{QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 190_000}

var sizes = []int{6, 28, 103, 390}

func testAccount(id msg.AccountID, perSecond, burst float64) msg.DirectAccount {
	return msg.DirectAccount{Account: id, Quota: &msg.AccountQuota{PerSecond: perSecond, Burst: burst, ByTokens: true, PlainCost: 200}}
}

// settled is when the holders of a fleet that has just started grant at their full rate.
const settled = 10 * time.Second

// An account that sends ten times its quota gets what the quota allows, whatever happens
// to the daemons, and its long requests get through as its short ones do. Another account
// gets what it asks for.
func TestFloodGetsWhatTheQuotaAllows(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, size, testLimits, testAccount("hot", 50_000, 75_000), testAccount("calm", 50_000, 75_000))
			hot, calm := &s.accounts[0], &s.accounts[1]
			s.run(settled)
			s.flood(calm, 25_000, 1_000, 9_000, 17_000)
			s.flood(hot, 500_000, 1_400, 9_300, 18_000, 45_000)
			s.run(60 * time.Second)
			from := s.now - 50*time.Second
			share := s.used("hot", from) / (hot.Quota.PerSecond * 50)
			t.Logf("%.2f of the quota used, at most %.2f of what is allowed; calm: %v; messages %d", share, s.most("hot", 0)/s.allowed(hot.Quota), s.results["calm"], s.messages)
			is.True(share >= 0.9)
			is.True(s.most("hot", 0) <= s.allowed(hot.Quota))
			is.Equal(s.results["calm"][Denied]+s.results["calm"][Unanswered], 0)
			short := float64(s.byCost[1_400]) / float64(s.asked[1_400])
			for _, cost := range []float64{9_300, 18_000, 45_000} {
				long := float64(s.byCost[cost]) / float64(s.asked[cost])
				t.Logf("granted of cost %.0f: %.3f, of the short ones %.3f", cost, long, short)
				is.True(long >= 0.5*short && short >= 0.5*long)
			}
		})
	}
}

// A token bucket in one place tells which requests are inside the quota.
type idealBucket struct {
	level float64
	at    time.Duration
}

func (b *idealBucket) take(now time.Duration, q *msg.AccountQuota, cost float64) bool {
	b.level = min(b.level+(now-b.at).Seconds()*q.PerSecond, q.Burst)
	b.at = now
	if b.level < cost {
		return false
	}
	b.level -= cost
	return true
}

// An account that keeps to 0.9 of its quota is never refused, wherever its requests
// arrive, with and without a tolerance.
func TestInsideQuotaNothingIsDenied(t *testing.T) {
	none := msg.DirectLimits{QuotaWindow: 8 * time.Second}
	for _, limits := range []msg.DirectLimits{testLimits, none} {
		for _, size := range sizes {
			t.Run(fmt.Sprint(size, "/", limits.QuotaSlack), func(t *testing.T) {
				is := is.New(t)
				s := newSim(t, size, limits, testAccount("a", 50_000, 75_000), testAccount("bursty", 98_700, 355_000), testAccount("large", 618_000, 618_000))
				s.run(settled + 5*time.Second)
				for i := range s.accounts {
					account := &s.accounts[i]
					part := *account.Quota
					part.PerSecond *= 0.9
					part.Burst *= 0.9
					ideal := &idealBucket{at: s.now}
					s.every(3*time.Millisecond, func() {
						cost := (0.01 + 0.79*s.rand.Float64()*s.rand.Float64()) * account.Quota.Burst
						if ideal.take(s.now, &part, cost) {
							s.request(account, cost)
						}
					})
				}
				s.run(60 * time.Second)
				for _, a := range s.accounts {
					t.Logf("%s: %v, %.2f of the rate", a.Account, s.results[a.Account], s.used(a.Account, 0)/(60*a.Quota.PerSecond))
					is.True(s.used(a.Account, 0) > 0.8*60*a.Quota.PerSecond)
					is.Equal(s.results[a.Account][Denied]+s.results[a.Account][Unanswered], 0)
				}
			})
		}
	}
}

// The bound holds while hosts are killed, cut off and stopped, datagrams are lost, and the
// quota is lowered and raised.
func TestBoundHoldsThroughFaults(t *testing.T) {
	for _, size := range sizes {
		for seed := range 3 {
			t.Run(fmt.Sprint(size, "/", seed), func(t *testing.T) {
				is := is.New(t)
				s := newSim(t, size, testLimits, testAccount("hot", 50_000, 75_000))
				for range seed {
					s.rand.Uint64()
				}
				s.loss, s.ended = 0.05, 0.3
				s.run(settled)
				hot := s.accounts[0]
				s.flood(&hot, 500_000, 1_400, 9_300, 18_000, 45_000)
				s.run(15 * time.Second)
				s.killSome(0.4)
				s.run(7 * time.Second)
				s.cutSome(0.3)
				s.run(12 * time.Second)
				for _, h := range s.hosts { // all at once
					h.start()
				}
				s.run(20 * time.Second)
				most := s.most("hot", 0)
				t.Logf("%.2f of what is allowed", most/s.allowed(hot.Quota))
				is.True(most <= s.allowed(hot.Quota))
				lowered := testAccount("hot", 20_000, 30_000)
				s.accounts = []msg.DirectAccount{lowered}
				hot = lowered
				for _, h := range s.hosts {
					s.after(time.Duration(s.rand.Int64N(int64(2*time.Second))), h.configure)
				}
				s.run(2 * time.Second)
				bound := s.now
				s.run(50 * time.Second)
				t.Logf("lowered: %.2f of what is allowed", s.most("hot", bound)/s.allowed(lowered.Quota))
				is.True(s.most("hot", bound) <= s.allowed(lowered.Quota))
				share := s.used("hot", s.now-40*time.Second) / (40 * lowered.Quota.PerSecond)
				t.Logf("%.2f of the lowered quota used", share)
				is.True(share >= 0.9)
				s.accounts = nil
				for _, h := range s.hosts {
					h.configure()
					is.Equal(len(h.holder.accounts), 0)
				}
			})
		}
	}
}

// killSome kills a part of the hosts and starts them again a little later.
func (s *sim) killSome(part float64) {
	for _, h := range s.hosts[1:] {
		if s.rand.Float64() >= part {
			continue
		}
		h.down = true
		h.life++
		s.after(time.Duration(1+s.rand.IntN(4))*time.Second, h.start)
	}
}

// cutSome cuts a part of the hosts off for some seconds, so that the others take them for
// gone.
func (s *sim) cutSome(part float64) {
	var gone []*simHost
	for _, h := range s.hosts[1:] {
		if s.rand.Float64() < part {
			h.cut = true
			gone = append(gone, h)
		}
	}
	s.after(4*time.Second, func() { s.list(gone...) })
	s.after(9*time.Second, func() {
		for _, h := range gone {
			h.cut = false
		}
		s.list()
	})
}

// A holder that has just started does not tell an account that it is beyond its quota, for
// what the account has used before.
func TestNewHolderDeniesNoQuietAccount(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 28, testLimits, testAccount("calm", 50_000, 75_000), testAccount("hot", 50_000, 75_000))
	s.flood(&s.accounts[0], 30_000, 1_400, 18_000, 33_000)
	s.flood(&s.accounts[1], 500_000, 1_400, 18_000, 33_000)
	s.run(20 * time.Second)
	t.Logf("calm %v, hot %v", s.results["calm"], s.results["hot"])
	is.Equal(s.results["calm"][Denied], 0)
	is.True(s.results["hot"][Denied] > s.results["hot"][Granted])
}

// What is returned can be used again once, and what is asked twice is granted once.
func TestReturnCountsOnce(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, msg.DirectLimits{}, testAccount("a", 1, 1000))
	h := s.hosts[0]
	s.run(2000 * time.Second)
	ask := msg.QuotaAsk{Seq: 7, Account: "a", Cost: 600}
	is.Equal(h.holder.Ask(h.now(), "e", ask).Result, msg.QuotaGranted)
	is.Equal(h.holder.Ask(h.now(), "e", ask).Result, msg.QuotaGranted) // the same
	is.Equal(h.holder.accounts["a"].bucket.Level(h.now()), 400.0)
	for range 2 {
		h.holder.Return(h.now(), "e", msg.QuotaReturn{Seq: 7, Account: "a"})
		is.Equal(h.holder.accounts["a"].bucket.Level(h.now()), 1000.0)
	}
	h.holder.Ask(h.now(), "e", msg.QuotaAsk{Seq: 8, Account: "a", Cost: 600})
	h.holder.Return(h.now(), "e", msg.QuotaReturn{Seq: 7, Account: "a"})
	is.Equal(h.holder.accounts["a"].bucket.Level(h.now()), 400.0)
}

// Holders that start again have nothing saved up.
func TestRestartsBringNoNewBurst(t *testing.T) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			limits := testLimits
			limits.QuotaSlack = 120_000
			s := newSim(t, size, limits, testAccount("hot", 50_000, 300_000))
			s.run(2 * settled)
			s.flood(&s.accounts[0], 4_000_000, 1_400, 18_000, 45_000)
			for range 6 {
				s.run(3200 * time.Millisecond)
				for _, h := range s.hosts {
					h.start()
				}
			}
			s.run(10 * time.Second)
			t.Logf("%.2f of what is allowed", s.most("hot", 0)/s.allowed(s.accounts[0].Quota))
			is.True(s.most("hot", 0) <= s.allowed(s.accounts[0].Quota))
		})
	}
}

// newTestHome returns a holder of the quota of the account a, which has run for long, and
// the time.
func newTestHome(limits msg.DirectLimits, account msg.DirectAccount) (*Holder, msg.Time) {
	members := &sharedrate.Members{}
	members.SetListed(0, []msg.Host{{Host: "self"}})
	members.Settle()
	h := NewHolder("self", members)
	h.Configure(0, []msg.DirectAccount{account}, limits)
	h.Ask(0, "e", msg.QuotaAsk{Account: account.Account})
	return h, 2000 * time.Second
}

// Short requests leave room for a long one that was denied, but not for ever if it does
// not come back while they are denied all the time.
func TestRoomForLongRequestIsLeftForAWhile(t *testing.T) {
	is := is.New(t)
	h, now := newTestHome(msg.DirectLimits{}, testAccount("a", 10, 1000))
	ask := func(seq uint64, cost float64) msg.QuotaResult {
		return h.Ask(now, "e", msg.QuotaAsk{Seq: seq, Account: "a", Cost: cost, Last: true}).Result
	}
	is.Equal(ask(1, 1000), msg.QuotaGranted)
	is.Equal(ask(2, 800), msg.QuotaDenied)
	for seq := uint64(3); now < 2000*time.Second+maxFairMemory; seq++ {
		now += 100 * time.Millisecond
		is.Equal(ask(seq, 100), msg.QuotaDenied)
	}
	now += 100 * time.Millisecond
	is.Equal(ask(1000, 100), msg.QuotaGranted)
}

// A holder of which there is only one is asked as the last.
func TestSingleHolderIsAskedAsLast(t *testing.T) {
	is := is.New(t)
	account := testAccount("a", 100, 1000)
	members := &sharedrate.Members{}
	hosts := []msg.Host{{Host: "x"}, {Host: "y"}}
	members.SetListed(0, hosts)
	members.Settle()
	holder := members.Holders("a", 1)[0].Host
	for _, h := range hosts {
		if h.Host == holder {
			continue
		}
		asker := NewAsker(h.Host, members, NewHolder(h.Host, members), 0)
		_, sends := asker.Reserve(0, "r", &account, 100)
		is.Equal(len(sends), 1)
		is.True(sends[0].Message.(msg.QuotaAsk).Last)
	}
}

// What is returned does not count as granted by a holder that is new.
func TestReturnIsNotCountedForNewHolder(t *testing.T) {
	is := is.New(t)
	limits := msg.DirectLimits{QuotaWindow: 8 * time.Second}
	h, _ := newTestHome(limits, testAccount("a", 100, 1000))
	now := 7 * time.Second
	is.Equal(h.Ask(now, "e", msg.QuotaAsk{Seq: 1, Account: "a", Cost: 600}).Result, msg.QuotaGranted)
	h.Return(now, "e", msg.QuotaReturn{Seq: 1, Account: "a"})
	is.Equal(h.accounts["a"].granted, 0.0)
}

// The denial of a part of a request takes back none of the times that were promised to
// others.
func TestPartialDenialKeepsPromises(t *testing.T) {
	is := is.New(t)
	h, now := newTestHome(msg.DirectLimits{}, testAccount("a", 100, 1000))
	h.Ask(now, "e", msg.QuotaAsk{Seq: 1, Account: "a", Cost: 1100, Charge: true})
	for seq := uint64(2); seq < 4; seq++ {
		h.Ask(now, "e", msg.QuotaAsk{Seq: seq, Account: "a", Cost: 100, Last: true})
	}
	promised := h.accounts["a"].promised
	reply := h.Ask(now, "e", msg.QuotaAsk{Seq: 5, Account: "a", Cost: 900, Last: true, Partial: true})
	is.Equal(reply.Result, msg.QuotaDenied)
	is.True(h.accounts["a"].promised >= promised)
}

// A reply with a result that this version does not know grants nothing.
func TestResultOfLaterVersionIsUnknown(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 6, testLimits, testAccount("a", 50_000, 75_000))
	s.run(settled)
	for _, h := range s.hosts {
		r, sends := h.asker.Reserve(h.now(), "", &s.accounts[0], 500)
		if len(sends) == 0 {
			continue // This host is a holder itself.
		}
		ask, _ := sends[0].Message.(msg.QuotaAsk)
		h.asker.OnReply(h.now(), sends[0].To, msg.QuotaReply{Seq: ask.Seq, Account: "a", Result: 200})
		is.True(r.State != Granted)
		is.Equal(h.asker.TakeResults(), []msg.QuotaResult{msg.QuotaUnknown})
		return
	}
	t.Fatal("all hosts are holders")
}
