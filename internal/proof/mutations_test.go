package proof

import (
	"bytes"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/idempotency"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/usage"
)

// mutations are safeguards that are switched off. Those that a component's
// configuration does not provide modify events and effects between a reducer and
// its driver, or disable a check of the driver.
type mutations struct {
	claim    idempotency.Mutation
	recorder usage.RecorderMutation
	reporter usage.ReporterMutation
	lease    lease.Config

	// alwaysConfirmConfig confirms every configuration, however old it is.
	alwaysConfirmConfig bool
	// unknownIsNoEffect reports a write with an unknown outcome as failed.
	unknownIsNoEffect bool
	// unansweredIsDone reports a write that timed out without an effect as done.
	unansweredIsDone bool
	// ignoreNotAfter lets drivers make calls after their NotAfter has passed.
	ignoreNotAfter bool
	// lostIsNotRun reports a lost attempt as not run.
	lostIsNotRun bool
	// acceptAnyFrame delivers frames of earlier attempts to callers.
	acceptAnyFrame bool
	// killOnStop kills a process that receives a request to stop.
	killOnStop bool
	// writtenIsAccepted reports a configuration that is only written as accepted.
	writtenIsAccepted bool
	// leasesLookReleased marks every lease that is read as released, so that
	// processes acquire leases without waiting.
	leasesLookReleased bool
	// bypassSide delivers orders to the engine without the side's checks.
	bypassSide bool
	// hideLeaving shows leaving hosts as live in the host list.
	hideLeaving bool
}

// event returns the event that a reducer receives instead of ev.
func (m mutations) event(ev msg.Event) msg.Event {
	switch ev := ev.(type) {
	case msg.PutDone:
		if m.unknownIsNoEffect && ev.Status == msg.CallUnknown {
			ev.Status = msg.CallUnavailable
		}
		return ev
	case msg.GetDone:
		if m.leasesLookReleased && ev.Object.Kind == msg.KindLease {
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

// effect returns the effect that a driver receives instead of eff.
func (m mutations) effect(eff msg.Effect) msg.Effect {
	if a, ok := eff.(msg.AnswerConfigProposal); ok && m.writtenIsAccepted && a.Status == msg.ProposalWritten {
		a.Status = msg.ProposalAccepted
		return a
	}
	return eff
}

// mutant is a set of mutations that fuzzing has to detect.
type mutant struct {
	name      string
	mutations mutations
	// cases is the number of cases within which a violation must be found.
	cases int
	// plannedOnly selects cases without faults.
	plannedOnly bool
	// firstCase is the seed of the first case.
	firstCase int
}

// mutants are the faults that fuzzing has to detect. The comment before each one
// says which fault it injects.
var mutants = []mutant{
	// Starts a non-idempotent request before its claim is stored.
	{name: "claim granted before its write", mutations: mutations{claim: idempotency.MutateGrantEarly}, cases: 200},
	// Grants a claim although an earlier request holds one on the same key.
	{name: "claims of others ignored", mutations: mutations{claim: idempotency.MutateIgnoreRecords}, cases: 50},
	// Releases the claims of requests that may have run.
	{name: "unknown outcomes released", mutations: mutations{claim: idempotency.MutateReleaseUnknown}, cases: 400},
	// Reports attempts that were lost with their side as not run.
	{name: "lost attempts taken as not run", mutations: mutations{lostIsNotRun: true}, cases: 100},
	// Reports writes that took effect, but whose response was lost, as failed.
	{name: "lost answers taken as no effect", mutations: mutations{unknownIsNoEffect: true}, cases: 200, firstCase: 12},
	// Reports writes that timed out without an effect as done.
	{name: "lost answers taken as done", mutations: mutations{unansweredIsDone: true}, cases: 200},
	// Delivers orders to the engine without the side's check of epoch and conflicts.
	{name: "orders bypass the side's gate", mutations: mutations{bypassSide: true}, cases: 200},
	// Hides from the daemons that hosts are leaving.
	{name: "leaving hosts not heard of", mutations: mutations{hideLeaving: true}, cases: 200, firstCase: 15},
	// Lets daemons keep no usage records. The switch acts on entries and sides alike.
	{name: "entry keeps no usage records", mutations: mutations{recorder: usage.MutateNoRecord}, cases: 50},
	// Drops usage records whose write is not confirmed.
	{name: "unconfirmed usage records dropped", mutations: mutations{recorder: usage.MutateForgetUnconfirmed}, cases: 200, firstCase: 20},
	// Reports usage that was not frozen in an object first.
	{name: "figures reported without a freeze", mutations: mutations{reporter: usage.MutateNoFreeze}, cases: 400},
	// Counts an attempt twice, for its entry and its side.
	{name: "both ends' records counted", mutations: mutations{reporter: usage.MutateCountTwice}, cases: 20},
	// Ignores which attempts earlier windows counted.
	{name: "counted attempts forgotten", mutations: mutations{reporter: usage.MutateForgetCounted}, cases: 20},
	// Freezes and reports usage without a lease.
	{name: "usage reported without a lease", mutations: mutations{reporter: usage.MutateIgnoreLease}, cases: 50, firstCase: 25},
	// Acquires a lease before its holder's time has passed.
	{name: "challenger does not wait", mutations: mutations{leasesLookReleased: true}, cases: 100},
	// Lets daemons serve with a configuration that was not confirmed for long.
	{name: "no freshness rule", mutations: mutations{alwaysConfirmConfig: true}, cases: 200},
	// Reports a configuration as accepted when it is only written.
	{name: "written called accepted", mutations: mutations{writtenIsAccepted: true}, cases: 400},
	// Delivers frames of earlier attempts to the caller.
	{name: "frames of earlier attempts taken", mutations: mutations{acceptAnyFrame: true}, cases: 400, firstCase: 40},
	// Kills a process instead of stopping it gracefully.
	{name: "planned stop kills", mutations: mutations{killOnStop: true}, cases: 50, plannedOnly: true},
}

// violation runs one case with the mutant's mutations and returns the violation
// that the oracle found, or "".
func (m mutant) violation(seed int) string {
	return rapid.Custom(func(t *rapid.T) string {
		f := newFuzzer(t, m.mutations)
		f.s.plannedOnly = m.plannedOnly
		a := f.allActions()
		if m.plannedOnly {
			a = f.plannedActions()
		}
		names := sortedNames(a)
		for range rapid.IntRange(30, 80).Draw(t, "steps") {
			a[rapid.SampledFrom(names).Draw(t, "action")](t)
			if f.s.oracle.violation != "" {
				return f.s.oracle.violation
			}
		}
		f.settle()
		return f.s.oracle.violation
	}).Example(seed)
}

// TestMutantsAreCaught guards against checks that can't fail: each mutant must lead
// to a violation. If PROOF_COUNT is set, the test counts instead in how many of
// that many cases each mutant is caught.
func TestMutantsAreCaught(t *testing.T) {
	count, _ := strconv.Atoi(os.Getenv("PROOF_COUNT"))
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			if count > 0 {
				m.count(t, count)
				return
			}
			for seed := m.firstCase; seed < m.firstCase+m.cases; seed++ {
				if violation := m.violation(seed); violation != "" {
					t.Logf("caught in case %d: %s", seed+1, violation)
					return
				}
			}
			t.Fatalf("not caught in %d cases", m.cases)
		})
	}
}

// count runs a number of cases and logs in how many the mutant was caught.
func (m mutant) count(t *testing.T, cases int) {
	caught, firstViolation := 0, ""
	start := time.Now()
	for seed := range cases {
		if violation := m.violation(seed); violation != "" {
			caught++
			if firstViolation == "" {
				firstViolation = violation
			}
		}
	}
	t.Logf("caught in %d of %d cases (%v): %s", caught, cases, time.Since(start).Round(time.Second), firstViolation)
}
