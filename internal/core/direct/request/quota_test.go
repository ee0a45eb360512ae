package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/rendezvous"
)

// newQuotaHarness returns a harness in which another entry daemon, which is returned,
// holds the quota of the account acme.
func newQuotaHarness(t *testing.T) (*harness, msg.HostID) {
	h := newReadyHarness(t)
	table := testTable()
	table.Accounts[0].Quota = &msg.AccountQuota{PerSecond: 1000, Burst: 20_000, ByTokens: true, PlainCost: 200}
	self := msg.Host{Host: "entry-1"}
	for i := 2; ; i++ {
		other := msg.Host{Host: msg.HostID(fmt.Sprint("entry-", i))}
		if rendezvous.Rank("acme", other.Host, []msg.Host{self, other}) == 0 {
			h.step(msg.MembersChanged{Entries: []msg.Host{self, other}})
			h.configure(table)
			return h, other.Host
		}
	}
}

// asked returns the ask of the last step.
func (h *harness) asked() msg.QuotaAsk {
	h.t.Helper()
	if ask, ok := sent[msg.QuotaAsk](h); ok {
		return ask
	}
	h.t.Fatalf("no holder was asked: %s", h.formatEffects())
	return msg.QuotaAsk{}
}

// sent returns the first message of a type in the last step.
func sent[T msg.PeerMessage](h *harness) (T, bool) {
	for _, eff := range h.effects {
		if p, ok := eff.(msg.SendPeer); ok {
			if m, ok := p.Message.(T); ok {
				return m, true
			}
		}
	}
	var zero T
	return zero, false
}

func (h *harness) reply(from msg.HostID, ask msg.QuotaAsk, result msg.QuotaResult) {
	h.step(msg.PeerReceived{From: from, Message: msg.QuotaReply{Seq: ask.Seq, Account: ask.Account, Result: result, RoomMS: 300, WaitMS: 900}})
}

// A request is placed once its cost is reserved, and refused at once if it is denied.
func TestQuotaIsReservedBeforePlacement(t *testing.T) {
	h, holder := newQuotaHarness(t)
	h.arrive("/chat/x", prompt(1, 1000, 500))
	ask := h.asked()
	h.is.Equal(ask.Cost, 1600.0)
	_, started := find[msg.StartDirectAttempt](h)
	h.is.True(!started)
	h.reply(holder, ask, msg.QuotaGranted)
	h.started()

	h.arrive("/lookup/x") // names no tokens
	ask = h.asked()
	h.is.Equal(ask.Cost, 200.0)
	h.reply(holder, ask, msg.QuotaDenied)
	ref := h.refused()
	h.is.Equal(ref.Status, 429)
	h.is.Equal(ref.Outcome, msg.OutcomeNotRun)
	h.is.True(ref.RetryAfter >= 900*time.Millisecond)
	h.arrive("/lookup/x") // the denial is remembered
	h.is.Equal(h.refused().Status, 429)
	h.arrive("/open/x") // of no account
	h.started()
}

// What has certainly not run is returned, and nothing else.
func TestQuotaOfWhatHasNotRunIsReturned(t *testing.T) {
	disconnect := func(h *harness, req msg.RequestID) { h.step(msg.CallerDisconnected{Req: req}) }
	deadline := func(h *harness, _ msg.RequestID) {
		h.now += 6 * time.Second
		h.step(msg.Tick{})
	}
	for _, c := range []struct {
		name, path string
		end        func(h *harness, req msg.RequestID, a msg.StartDirectAttempt)
		returned   bool
	}{
		{"not run", "/order/x", func(h *harness, _ msg.RequestID, a msg.StartDirectAttempt) {
			h.end(a.Attempt, msg.DirectNotRun)
			h.end(h.started().Attempt, msg.DirectUnreachable)
		}, true},
		{"run", "/order/x", func(h *harness, _ msg.RequestID, a msg.StartDirectAttempt) { h.end(a.Attempt, msg.DirectDone) }, false},
		{"interrupted", "/order/x", func(h *harness, _ msg.RequestID, a msg.StartDirectAttempt) {
			h.end(a.Attempt, msg.DirectInterrupted)
		}, false},
		{"disconnect in a run", "/order/x", func(h *harness, r msg.RequestID, _ msg.StartDirectAttempt) { disconnect(h, r) }, false},
		{"cancelled run", "/order/x", func(h *harness, _ msg.RequestID, a msg.StartDirectAttempt) { h.end(a.Attempt, msg.DirectCancelled) }, false},
		{"deadline in a run", "/order/x", func(h *harness, r msg.RequestID, _ msg.StartDirectAttempt) { deadline(h, r) }, false},
		{"disconnect in a prefill", "/chat/x", func(h *harness, r msg.RequestID, _ msg.StartDirectAttempt) { disconnect(h, r) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, holder := newQuotaHarness(t)
			if c.path == "/chat/x" {
				h.setInstances(testInstances()[4])
			}
			req := h.arrive(c.path, prompt(1, 1000, 500))
			ask := h.asked()
			h.reply(holder, ask, msg.QuotaGranted)
			c.end(h, req, h.started())
			_, closed := find[msg.Raise](h)
			h.is.True(closed)
			ret, returned := sent[msg.QuotaReturn](h)
			h.is.Equal(returned, c.returned)
			h.is.True(!returned || ret.Seq == ask.Seq)
		})
	}
}

// A request that waits for a reply ends in any case, and a late grant is returned.
func TestRequestDoesNotWaitForSilentHolder(t *testing.T) {
	h, holder := newQuotaHarness(t)
	refusals := 0
	h.arrive("/lookup/x")
	ask := h.asked()
	for range 10 {
		h.advance(20 * time.Millisecond)
		if ref, ok := find[msg.RefuseRequest](h); ok {
			refusals++
			h.is.Equal(ref.Status, 503)
			h.is.Equal(ref.Code, "quota-unknown")
		}
	}
	h.is.Equal(refusals, 1)
	h.reply(holder, ask, msg.QuotaGranted)
	_, returned := sent[msg.QuotaReturn](h)
	h.is.True(returned)

	req := h.arrive("/lookup/x") // the caller leaves
	ask = h.asked()
	h.step(msg.CallerDisconnected{Req: req})
	h.reply(holder, ask, msg.QuotaGranted)
	_, returned = sent[msg.QuotaReturn](h)
	h.is.True(returned)

	h.arrive("/lookup/x") // the key is withdrawn
	ask = h.asked()
	table := testTable()
	table.Accounts[0].Keys = nil
	h.configure(table)
	h.reply(holder, ask, msg.QuotaGranted)
	h.is.Equal(h.refused().Status, 401)
	_, returned = sent[msg.QuotaReturn](h)
	h.is.True(returned)
}

// A second run is charged, also one in place of a run that was given up, and only once if
// further attempts are needed for it.
func TestSecondRunIsCharged(t *testing.T) {
	charged := func(h *harness) bool {
		ask, ok := sent[msg.QuotaAsk](h)
		return ok && ask.Charge && ask.Cost == 200
	}
	arrive := func() (*harness, msg.StartDirectAttempt) {
		h, holder := newQuotaHarness(t)
		h.setInstances(append(testInstances(), msg.Instance{Target: "app-3", Service: "app", Addr: "10.0.0.3:1", Domain: "d3", Slots: 6})...)
		h.arrive("/lookup/x")
		h.reply(holder, h.asked(), msg.QuotaGranted)
		return h, h.started()
	}
	h, first := arrive()
	h.end(first.Attempt, msg.DirectInterrupted)
	second := h.started()
	h.is.True(charged(h))
	h.end(second.Attempt, msg.DirectNotRun)
	h.started()
	h.is.True(!charged(h)) // the second run has not begun

	h, _ = arrive()
	replacement, ok := h.moved(300 * time.Millisecond)
	h.is.True(ok)
	h.is.True(charged(h))
	h.is.True(replacement.Spec.Patient) // no other run may follow
}
