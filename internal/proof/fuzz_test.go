package proof

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// TestMain fixes the seed and the number of cases, so that every run has the same
// result. If PROOF_LONG is set, rapid's flags and a random seed apply instead.
func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("PROOF_LONG") == "" {
		fixed := map[string]string{
			"rapid.seed": envOr("PROOF_SEED", "20261203"), "rapid.checks": envOr("PROOF_CASES", "60"),
			"rapid.steps": "50", "rapid.shrinktime": "5s", "rapid.nofailfile": "true",
		}
		for name, value := range fixed {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// envOr returns an environment variable, or value if it is not set.
func envOr(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}

// fuzzer draws the actions that are applied to a simulation.
type fuzzer struct {
	s        *sim
	lastKill time.Duration
	// spacedKills limits kills to one per killSpacing.
	spacedKills bool
	// usageComplete reports that no usage may be missing. It is cleared by a kill
	// within killSpacing of the previous one, which may lose usage.
	usageComplete bool
}

const (
	// killSpacing is the time after a kill in which another may lose usage.
	killSpacing = 25 * time.Second
	// settleTime is the time without faults at the end of a case.
	settleTime = 90 * time.Second
)

func newFuzzer(t *rapid.T, muts mutations) *fuzzer {
	f := &fuzzer{s: newSim(rapid.Uint64().Draw(t, "seed"), muts), usageComplete: true}
	f.spacedKills = rapid.Bool().Draw(t, "spaced")
	f.lastKill = -killSpacing
	return f
}

// drawProcess draws a live process of a kind, or returns nil if there is none.
func (f *fuzzer) drawProcess(t *rapid.T, kind msg.HostKind) *proc {
	alive := f.s.live(kind)
	if len(alive) == 0 {
		return nil
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "process")]
}

// any draws a live process of a drawn kind.
func (f *fuzzer) any(t *rapid.T) *proc {
	return f.drawProcess(t, rapid.SampledFrom([]msg.HostKind{msg.HostEntry, msg.HostTarget}).Draw(t, "kind"))
}

// drawDuration draws a duration in whole milliseconds.
func drawDuration(t *rapid.T, what string, lo, hi time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(int(lo/time.Millisecond), int(hi/time.Millisecond)).Draw(t, what)) * time.Millisecond
}

// advance lets 10 ms to 800 ms pass.
func (f *fuzzer) advance(t *rapid.T) {
	f.s.run(drawDuration(t, "pass", 10*time.Millisecond, 800*time.Millisecond))
}

// send sends one to four requests through an entry.
func (f *fuzzer) send(t *rapid.T) {
	p := f.drawProcess(t, msg.HostEntry)
	if p == nil {
		return
	}
	for range rapid.IntRange(1, 4).Draw(t, "requests") {
		switch rapid.SampledFrom([]string{"chat", "open", "order"}).Draw(t, "route") {
		case "chat":
			f.s.sendKeyed(p, f.drawKey(t), "")
		case "open":
			f.s.send(p, "", "", "", "b")
		case "order":
			f.s.operationCount++
			f.s.sendKeyed(p, f.drawKey(t), fmt.Sprintf("op-%d", f.s.operationCount))
		}
	}
	f.advance(t)
}

func (f *fuzzer) drawKey(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a-1", "a-2", "b-1"}).Draw(t, "key")
}

// resend sends one of the last five operations again through any entry.
func (f *fuzzer) resend(t *rapid.T) {
	if f.s.operationCount == 0 {
		return
	}
	p := f.drawProcess(t, msg.HostEntry)
	if p == nil {
		return
	}
	op := fmt.Sprintf("op-%d", rapid.IntRange(max(1, f.s.operationCount-4), f.s.operationCount).Draw(t, "op"))
	f.s.sendKeyed(p, f.drawKey(t), op)
	f.advance(t)
}

// kill kills a process, and starts a new one within 8 s.
func (f *fuzzer) kill(t *rapid.T) {
	s := f.s
	if s.now-f.lastKill < killSpacing {
		if f.spacedKills {
			return
		}
		f.usageComplete = false
	}
	p := f.any(t)
	if p == nil {
		return
	}
	f.lastKill = s.now
	s.kill(p)
	s.after(drawDuration(t, "back", 100*time.Millisecond, 8*time.Second), func() { s.restart(p.self.Host) })
	f.advance(t)
}

// pause pauses a process for up to 20 s.
func (f *fuzzer) pause(t *rapid.T) {
	s, p := f.s, f.any(t)
	if p == nil {
		return
	}
	s.pause(p)
	s.after(drawDuration(t, "for", 100*time.Millisecond, 20*time.Second), func() { s.resume(p) })
	f.advance(t)
}

// partition separates a host from one other host or from all, in one or both
// directions.
func (f *fuzzer) partition(t *rapid.T) {
	s, p := f.s, f.any(t)
	if p == nil {
		return
	}
	a := p.self.Host
	others := []msg.HostID{platform}
	for _, h := range s.hosts {
		if h.Host != a {
			others = append(others, h.Host)
		}
	}
	if rapid.Bool().Draw(t, "alone") {
		// The partition separates the host from all others.
	} else {
		others = others[:0:0]
		others = append(others, rapid.SampledFrom(append([]msg.HostID{platform}, s.hostIDs(a)...)).Draw(t, "other"))
	}
	ways := rapid.IntRange(1, 3).Draw(t, "ways")
	for _, b := range others {
		s.setBlocked(a, b, ways, true)
	}
	s.after(drawDuration(t, "for", 500*time.Millisecond, 20*time.Second), func() {
		for _, b := range others {
			s.setBlocked(a, b, ways, false)
		}
	})
	f.advance(t)
}

// degradePlatform draws faults of the platform's interfaces, which last for up to
// 25 s.
func (f *fuzzer) degradePlatform(t *rapid.T) {
	s := f.s
	s.store = rapid.SampledFrom([]storeState{storeAvailable, storeUnavailable, storeUnresponsive}).Draw(t, "store")
	s.answerLossRate = rapid.SampledFrom([]float64{0, 0, 0.1, 0.4}).Draw(t, "lost answers")
	s.storeDelay = drawDuration(t, "slow", 0, 300*time.Millisecond)
	s.usage.unavailable = rapid.Bool().Draw(t, "usage out")
	s.after(drawDuration(t, "for", 500*time.Millisecond, 25*time.Second), func() {
		s.store, s.answerLossRate, s.storeDelay, s.usage.unavailable = storeAvailable, 0, 0, false
	})
	f.advance(t)
}

// crashTarget crashes a target, but not its side.
func (f *fuzzer) crashTarget(t *rapid.T) {
	p := f.drawProcess(t, msg.HostTarget)
	if p == nil {
		return
	}
	f.s.engines[p.self.Host].crash()
	f.advance(t)
}

// reconfigure withdraws or restores a key, rolls out a new model version, or changes
// the number of engines that each failure domain must have.
func (f *fuzzer) reconfigure(t *rapid.T) {
	s, p := f.s, f.drawProcess(t, msg.HostEntry)
	if p == nil {
		return
	}
	switch rapid.SampledFrom([]string{"key", "version", "shape"}).Draw(t, "change") {
	case "key":
		s.toggleKey("a-2")
	case "version":
		s.modelVersion++
	case "shape":
		s.minEngines = minEnginesBefore + minEnginesAfter - s.minEngines
	}
	s.propose(p, p.generation)
	f.advance(t)
}

// stop drains a host, and starts a new process there after the old one stopped.
func (f *fuzzer) stop(t *rapid.T) {
	s, p := f.s, f.any(t)
	if p == nil || p.paused || s.servingCount(p) < 2 {
		return
	}
	s.plannedStop(p, drawDuration(t, "away", time.Second, 8*time.Second))
	f.advance(t)
}

// checkViolation fails the case if the oracle has found a violation.
func (f *fuzzer) checkViolation(t *rapid.T) {
	if f.s.oracle.violation != "" {
		t.Fatal(f.s.oracle.violation)
	}
}

// settle ends all faults, waits, and checks that all requests have ended and that
// usage was reported.
func (f *fuzzer) settle() {
	f.s.clearFaults()
	f.s.run(settleTime)
	for _, r := range f.s.requests {
		if !r.ended {
			f.s.oracle.fail("request %s has not ended", r.id)
		}
	}
	f.s.oracle.checkUsageTotals(f.usageComplete)
}

// totalStats are the sums over all cases.
var totalStats stats

func (a *stats) add(other stats) {
	a.whole += other.whole
	a.notRun += other.notRun
	a.unknown += other.unknown
	a.replayed += other.replayed
	a.operations += other.operations
	a.reports += other.reports
	a.orders += other.orders
	a.targetOrders += other.targetOrders
	a.accepted += other.accepted
	a.leases += other.leases
}

// actions are functions by the names under which rapid draws them.
type actions map[string]func(*rapid.T)

// plannedActions are the actions that inject no faults.
func (f *fuzzer) plannedActions() actions {
	return actions{
		"pass": f.advance, "send": f.send, "send more": f.send, "reconfigure": f.reconfigure, "stop": f.stop,
	}
}

// allActions are all actions, including those that inject faults.
func (f *fuzzer) allActions() actions {
	a := f.plannedActions()
	maps.Copy(a, actions{
		"resend": f.resend, "kill": f.kill, "pause": f.pause, "part": f.partition,
		"platform": f.degradePlatform, "crash": f.crashTarget,
		"corner": f.isolateEntry, "split": f.splitEntries, "crash and resend": f.crashAndResend,
		"cut while running": f.disconnectTargets, "leave": f.leaveUnannounced, "lost answers": f.loseAnswers,
	})
	return a
}

// fuzz checks the promises under random sequences of actions.
func fuzz(t *testing.T, choose func(*fuzzer) actions, planned bool) {
	totalStats = stats{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzer(t, mutations{})
		f.s.plannedOnly = planned
		chosen := choose(f)
		chosen[""] = f.checkViolation
		t.Repeat(chosen)
		f.settle()
		f.checkViolation(t)
		totalStats.add(f.s.oracle.stats)
	})
	t.Logf("reached: %+v", totalStats)
	if totalStats.targetOrders == 0 {
		t.Error("no target was provisioned or released in any case")
	}
}

// TestPromisesUnderAnyFault guards against violations of any promise under any
// combination of faults, planned stops and configuration changes.
func TestPromisesUnderAnyFault(t *testing.T) { fuzz(t, (*fuzzer).allActions, false) }

// TestPlannedStopsCutNothing guards against requests that are interrupted when
// there are planned stops and configuration changes only.
func TestPlannedStopsCutNothing(t *testing.T) { fuzz(t, (*fuzzer).plannedActions, true) }
