package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// quotaUse is a request of an account that reached a target that runs it.
type quotaUse struct {
	at   time.Duration
	cost float64
}

// fleetAccount is an account with a quota, whose key is its name.
type fleetAccount struct {
	msg.AccountQuota
	uses []quotaUse
	// owed is what an account inside its quota has asked for.
	owed float64
}

var fleetLimits = msg.DirectLimits{
	AcceptMaxAge: 4 * time.Second, RejectMaxAge: 2 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 90,
	QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 190_000,
}

// allowed returns what the account may use within the window.
func (a *fleetAccount) allowed() float64 {
	l := fleetLimits
	return (a.PerSecond*l.QuotaWindow.Seconds()+a.Burst)*(1+l.QuotaOverage) + l.QuotaSlack
}

// most returns the largest use within the window.
func (a *fleetAccount) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, u := range a.uses {
		sum += u.cost
		for a.uses[first].at <= u.at-fleetLimits.QuotaWindow {
			sum -= a.uses[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

func (a *fleetAccount) usedFrom(from time.Duration) float64 {
	sum := 0.0
	for _, u := range a.uses {
		if u.at >= from {
			sum += u.cost
		}
	}
	return sum
}

// withQuotas returns the route table with a route that needs a key.
func (f *directFleet) withQuotas(t *msg.RouteTable) *msg.RouteTable {
	if len(f.accounts) == 0 {
		return t
	}
	keyed := t.Routes[0]
	keyed.Name, keyed.Prefix, keyed.Public = "keyed", "/keyed/", false
	t.Routes = append(t.Routes, keyed)
	t.Version = f.tableVersion
	for name, a := range f.accounts {
		q := a.AccountQuota
		t.Accounts = append(t.Accounts, msg.DirectAccount{Account: name, Keys: []string{string(name)}, Quota: &q})
	}
	slices.SortFunc(t.Accounts, func(a, b msg.DirectAccount) int { return len(a.Account) - len(b.Account) })
	return t
}

// recordQuotaUse records a request that reaches a target that runs it.
func (f *directFleet) recordQuotaUse(j *fleetJob) {
	if a := f.accounts[j.start.Spec.Account]; a != nil && j.start.Spec.Step != msg.StepPrefill {
		a.uses = append(a.uses, quotaUse{f.now, float64(j.request.PromptTokens + j.request.MaxTokens)})
	}
}

// loadAccount makes requests of an account arrive at random entries.
func (f *directFleet) loadAccount(name msg.AccountID, perSecond float64, d time.Duration) {
	end := f.now + d
	var next func()
	next = func() {
		if f.now >= end {
			return
		}
		tokens := 500 + f.rand.IntN(9_500)
		f.seq++
		ev := msg.DirectRequestArrived{
			Req: msg.RequestID(fmt.Sprint(f.seq)), CallerID: fmt.Sprint(f.seq), Host: "h", Method: "POST", Path: "/keyed/x", Key: string(name),
			BodyHash: f.rand.Uint64(), Timeout: 5 * time.Second, PromptTokens: tokens, MaxTokens: 20,
		}
		f.entries[f.rand.IntN(len(f.entries))].deliver(ev)
		f.accounts[name].owed += float64(tokens + 20)
		f.after(time.Duration(f.rand.ExpFloat64()*5_250/perSecond*float64(time.Second)), next)
	}
	next()
}

// The quota holds with the whole reducer, also when all daemons are killed, some are
// killed and cut off from the store, datagrams are lost and the quota is lowered. An
// account inside its quota is served.
func TestQuotasHoldInFleet(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{6, 28} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()
			f := newQuotaFleet(t, entries)
			hot, calm := f.accounts["hot"], f.accounts["calm"]
			f.loadAccount("hot", 300_000, 70*time.Second)
			f.loadAccount("calm", 20_000, 70*time.Second)
			f.run(10 * time.Second)
			owed := calm.owed
			f.run(time.Second)
			f.checkUse("hot", 8*time.Second)
			if got := calm.usedFrom(0); got < owed || f.refusals["quota-unknown"] > 0 {
				t.Errorf("calm got %.0f of %.0f; refused %v", got, owed, f.refusals)
			}
			f.datagramLoss = 0.05
			for i, e := range f.entries {
				if i%3 == 0 {
					e.start()
				}
			}
			f.run(8 * time.Second)
			f.storeDownUntil = f.now + 5*time.Second
			f.run(10 * time.Second)
			for _, e := range f.entries {
				e.start()
			}
			f.run(15 * time.Second)
			f.datagramLoss = 0
			f.checkBound("hot")
			hot.AccountQuota = msg.AccountQuota{PerSecond: 15_000, Burst: 15_000, ByTokens: true, PlainCost: 200}
			f.tableVersion++
			f.run(4 * time.Second)
			hot.uses = nil // The lower quota binds a window after all know it.
			f.run(20 * time.Second)
			f.checkBound("hot")
			f.checkUse("hot", 15*time.Second)
		})
	}
}

// newQuotaFleet returns a fleet whose holders of quotas have been that for a window.
func newQuotaFleet(t *testing.T, entries int) *directFleet {
	f := newDirectFleet(t, entries, 18)
	f.tableVersion = 2
	f.accounts = map[msg.AccountID]*fleetAccount{
		"hot":  {AccountQuota: msg.AccountQuota{PerSecond: 30_000, Burst: 30_000, ByTokens: true, PlainCost: 200}},
		"calm": {AccountQuota: msg.AccountQuota{PerSecond: 47_000, Burst: 47_000, ByTokens: true, PlainCost: 200}},
	}
	f.run(20 * time.Second)
	return f
}

func (f *directFleet) checkBound(name msg.AccountID) {
	f.t.Helper()
	a := f.accounts[name]
	f.t.Logf("%s used at most %.2f of what is allowed; refused %v", name, a.most()/a.allowed(), f.refusals)
	if a.most() > a.allowed() {
		f.t.Errorf("%s used %.0f in %s, %.0f are allowed", name, a.most(), fleetLimits.QuotaWindow, a.allowed())
	}
}

// checkUse checks that an account that asks for more uses its quota.
func (f *directFleet) checkUse(name msg.AccountID, d time.Duration) {
	f.t.Helper()
	a := f.accounts[name]
	use := a.usedFrom(f.now-d) / (a.PerSecond * d.Seconds())
	f.t.Logf("%s uses %.2f of its rate; refused %v", name, use, f.refusals)
	if use < 0.9 {
		f.t.Errorf("%s uses %.2f of its rate", name, use)
	}
}
