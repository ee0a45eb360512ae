package request

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/quota"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// A request of an account with a quota reserves its cost before it is placed (see package
// quota). While a holder of the quota is asked, the request waits. The reservation is
// returned if the request ends and has not run.

// statusTooMany is the HTTP status of requests beyond the quota of their account.
const statusTooMany = 429

// retrySpread is by how much the times at which denied callers come back are spread.
const retrySpread = 0.25

// startQuotas sets up the decisions about quotas of a process that has just started.
func (s *stepContext) startQuotas(seed uint64) {
	firstSeq := rand.New(rand.NewPCG(seed, 1)).Uint64() >> 1
	s.quotaHolder = quota.NewHolder(s.self.Host, &s.limitMembers)
	s.quotaAsker = quota.NewAsker(s.self.Host, &s.limitMembers, s.quotaHolder, firstSeq)
}

// configureQuotas applies a change of the configuration or the limits.
func (s *stepContext) configureQuotas() {
	if s.table == nil || s.quotaHolder == nil {
		return
	}
	s.quotaHolder.Configure(s.now, s.table.accounts, s.limits)
	s.quotaAsker.Configure(s.limits)
	s.logQuotas()
}

// logQuotas logs the largest quota, if there is one.
func (s *stepContext) logQuotas() {
	n := 0
	var largest *msg.DirectAccount
	for i := range s.table.accounts {
		a := &s.table.accounts[i]
		if a.Quota == nil {
			continue
		}
		n++
		if largest == nil || a.Quota.PerSecond > largest.Quota.PerSecond {
			largest = a
		}
	}
	if largest == nil {
		return
	}
	q := largest.Quota
	s.log("quotas of accounts are in force", attr("accounts", n), attr("largest", largest.Account),
		attr("per_second", q.PerSecond), attr("burst", q.Burst), attr("by_tokens", q.ByTokens), attr("plain_cost", q.PlainCost))
}

// reserve reserves the cost of a request. It reports whether a reply is awaited, and
// returns a refusal if the request is beyond the quota.
func (s *stepContext) reserve(r *request) (ref *refusal, pending bool) {
	if r.account == nil || r.account.Quota == nil {
		return nil, false
	}
	cost := quota.Cost(r.account.Quota, r.arrival.PromptTokens, r.arrival.MaxTokens)
	res, sends := s.quotaAsker.Reserve(s.now, r.arrival.Req, r.account, cost)
	r.reservation = res
	s.sendQuota(sends)
	return s.quotaRefusal(r), res.State == quota.Pending
}

// quotaRefusal returns the refusal of a request whose reservation has failed.
func (s *stepContext) quotaRefusal(r *request) *refusal {
	res := r.reservation
	switch res.State {
	case quota.Denied:
		spread := 1 + retrySpread*s.rand.Float64()
		s.logQuota(r, "is beyond the quota of its account")
		return &refusal{statusTooMany, "over-quota", time.Duration(spread * float64(res.Wait))}
	case quota.Unanswered:
		s.logQuota(r, "got no answer about the quota of its account")
		return &refusal{statusUnavailable, "quota-unknown", retryAfterOtherEntry}
	}
	return nil
}

func (s *stepContext) logQuota(r *request, text string) {
	res := r.reservation
	s.logRequest(
		r, text, attr("account", res.Account), attr("cost", res.Cost),
		attr("per_second", r.account.Quota.PerSecond), attr("burst", r.account.Quota.Burst),
		attr("level", fmt.Sprintf("%.0f", res.Level)), attr("holder", res.Holder), attr("known_ms_ago", formatMS(res.Age)),
	)
}

// onReserved goes on with a request whose reservation was decided.
func (s *stepContext) onReserved(res *quota.Reservation) {
	r := s.requests[res.Req]
	if r == nil || r.reservation != res {
		return
	}
	if ref := s.quotaRefusal(r); ref != nil {
		s.refuse(r, *ref)
		return
	}
	s.begin(r)
}

// settleQuota returns the reservation of a request that ends and has not run. An attempt
// that is open may have run it, unless it is a prefill.
func (s *stepContext) settleQuota(r *request) {
	running := r.attempt != nil && r.attempt.step != msg.StepPrefill
	if r.reservation == nil || r.mayHaveRun || running {
		return
	}
	s.sendQuota(s.quotaAsker.Release(s.now, r.reservation))
}

// chargeRun charges a further run of a request when an attempt at it is sent. The first
// run is reserved.
func (s *stepContext) chargeRun(r *request, step msg.DirectStep) {
	if r.reservation != nil && r.runs > r.runsCharged && step != msg.StepPrefill {
		r.runsCharged = r.runs
		s.sendQuota(s.quotaAsker.Charge(s.now, r.reservation))
	}
}

// onQuotaMessage handles a message about quotas.
func (s *stepContext) onQuotaMessage(from msg.HostID, m msg.PeerMessage) {
	switch m := m.(type) {
	case msg.QuotaAsk:
		reply := s.quotaHolder.Ask(s.now, from, m)
		if !m.Charge {
			s.emit(msg.SendPeer{To: from, Message: reply})
		}
	case msg.QuotaReturn:
		s.quotaHolder.Return(s.now, from, m)
	case msg.QuotaReply:
		res, sends := s.quotaAsker.OnReply(s.now, from, m)
		s.sendQuota(sends)
		if res != nil {
			s.onReserved(res)
		}
	}
}

// advanceQuotas handles replies that are late, and reports results and use.
func (s *stepContext) advanceQuotas() {
	decided, sends := s.quotaAsker.Advance(s.now)
	s.sendQuota(sends)
	for _, res := range decided {
		s.onReserved(res)
	}
	for _, result := range s.quotaAsker.TakeResults() {
		s.raise(msg.QuotaAsked{Result: result})
	}
	if used := s.quotaHolder.Advance(s.now); used != nil {
		s.raise(*used)
	}
}

func (s *stepContext) sendQuota(sends []quota.Send) {
	for _, send := range sends {
		s.emit(msg.SendPeer{To: send.To, Message: send.Message})
	}
}
