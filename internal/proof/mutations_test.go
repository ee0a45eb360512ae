package proof

import (
	"bytes"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/idempotency"
	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/usage"
)

// mutations are safeguards that are switched off. Those that are not a
// configuration of a part falsify what passes between a reducer and its
// driver.
type mutations struct {
	claim    idempotency.Mutation
	recorder usage.RecorderMutation
	reporter usage.ReporterMutation
	lease    lease.Config

	alwaysFresh   bool // no freshness rule for configurations
	noReadBack    bool // a lost answer to a write counts as no effect
	assumeDone    bool // a call without an answer counts as done
	noLimits      bool // drivers ignore the end of an authority
	lostIsNotRun  bool // an attempt that was lost counts as not run
	takeAnyFrame  bool // frames of earlier attempts are taken
	stopAtOnce    bool // a planned stop is a kill
	acceptWritten bool // what is written is called accepted
	noWait        bool // a challenger takes any lease for released
	bypassGate    bool // orders go to the engine without the side's gate
	hideLeaving   bool // entries don't hear that hosts are leaving
}

// event falsifies an event on its way to a reducer.
func (m mutations) event(ev msg.Event) msg.Event {
	switch ev := ev.(type) {
	case msg.PutDone:
		if m.noReadBack && ev.Status == msg.CallUnknown {
			ev.Status = msg.CallUnavailable
		}
		return ev
	case msg.GetDone:
		if m.noWait && ev.Object.Kind == msg.KindLease {
			ev.Object.Value = bytes.Replace(ev.Object.Value, []byte(`"lengthMs":`), []byte(`"released":true,"lengthMs":`), 1)
		}
		return ev
	case msg.AttemptEnded:
		if m.lostIsNotRun && ev.Result == msg.AttemptLost {
			ev.Result = msg.AttemptNotRun
		}
		return ev
	case msg.HostsListed:
		if m.hideLeaving {
			for i := range ev.Hosts {
				ev.Hosts[i].State = msg.HostLive
			}
		}
		return ev
	}
	return ev
}

// effect falsifies an effect on its way to a driver.
func (m mutations) effect(eff msg.Effect) msg.Effect {
	if a, ok := eff.(msg.AnswerConfigProposal); ok && m.acceptWritten && a.Status == msg.ProposalWritten {
		a.Status = msg.ProposalAccepted
		return a
	}
	return eff
}

// mutant is a safeguard that is switched off, with the number of cases within
// which the fuzzing has to notice it.
type mutant struct {
	name   string
	muts   mutations
	within int
	calm   bool
	// from is the first case that is tried.
	from int
}

var mutants = []mutant{
	{name: "claim granted before its write", muts: mutations{claim: idempotency.MutateGrantEarly}, within: 200},
	{name: "claims of others ignored", muts: mutations{claim: idempotency.MutateIgnoreRecords}, within: 50},
	{name: "unknown outcomes released", muts: mutations{claim: idempotency.MutateReleaseUnknown}, within: 400},
	{name: "lost attempts taken as not run", muts: mutations{lostIsNotRun: true}, within: 100},
	{name: "lost answers taken as no effect", muts: mutations{noReadBack: true}, within: 200, from: 12},
	{name: "lost answers taken as done", muts: mutations{assumeDone: true}, within: 200},
	{name: "orders bypass the side's gate", muts: mutations{bypassGate: true}, within: 200},
	{name: "leaving hosts not heard of", muts: mutations{hideLeaving: true}, within: 200, from: 15},
	{name: "entry keeps no usage records", muts: mutations{recorder: usage.MutateNoRecord}, within: 50},
	{name: "unconfirmed usage records dropped", muts: mutations{recorder: usage.MutateForgetUnconfirmed}, within: 200, from: 20},
	{name: "figures reported without a freeze", muts: mutations{reporter: usage.MutateNoFreeze}, within: 400},
	{name: "both ends' records counted", muts: mutations{reporter: usage.MutateCountTwice}, within: 20},
	{name: "counted attempts forgotten", muts: mutations{reporter: usage.MutateForgetCounted}, within: 20},
	{name: "usage reported without a lease", muts: mutations{reporter: usage.MutateIgnoreLease}, within: 50, from: 25},
	{name: "challenger does not wait", muts: mutations{noWait: true}, within: 100},
	{name: "no freshness rule", muts: mutations{alwaysFresh: true}, within: 200},
	{name: "written called accepted", muts: mutations{acceptWritten: true}, within: 400},
	{name: "frames of earlier attempts taken", muts: mutations{takeAnyFrame: true}, within: 400, from: 40},
	{name: "planned stop kills", muts: mutations{stopAtOnce: true}, within: 50, calm: true},
}

// caught runs one case against a mutant and returns the violation that the
// oracle saw, or "".
func (m mutant) caught(seed int) string {
	return rapid.Custom(func(t *rapid.T) string {
		f := newFuzzer(t, m.muts)
		f.s.planned = m.calm
		a := f.faulty()
		if m.calm {
			a = f.calm()
		}
		names := sortedNames(a)
		for range rapid.IntRange(30, 80).Draw(t, "steps") {
			a[rapid.SampledFrom(names).Draw(t, "action")](t)
			if f.s.oracle.broken != "" {
				return f.s.oracle.broken
			}
		}
		f.settle()
		return f.s.oracle.broken
	}).Example(seed)
}

// TestMutantsAreCaught shows that each check can fail. With PROOF_COUNT set it
// counts in how many of that many cases each mutant is caught.
func TestMutantsAreCaught(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("PROOF_COUNT"))
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			if count > 0 {
				m.count(t, count)
				return
			}
			for seed := m.from; seed < m.from+m.within; seed++ {
				if broken := m.caught(seed); broken != "" {
					t.Logf("caught in case %d: %s", seed+1, broken)
					return
				}
			}
			t.Fatalf("not caught in %d cases", m.within)
		})
	}
}

func (m mutant) count(t *testing.T, cases int) {
	n, first := 0, ""
	begin := time.Now()
	for seed := range cases {
		if broken := m.caught(seed); broken != "" {
			n++
			if first == "" {
				first = broken
			}
		}
	}
	t.Logf("caught in %d of %d cases (%v): %s", n, cases, time.Since(begin).Round(time.Second), first)
}
