package scenario

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/config"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/exchange"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/membership"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
)

func configComponents(n *node) []reducer.Component {
	return []reducer.Component{
		config.New(config.Config{Self: n.host.Host, Incarnation: n.incarnationID()}),
		membership.New(membership.Config{Self: n.self()}),
		exchange.New(exchange.Config{Self: n.self()}),
	}
}

func configSimulation(seed uint64, hosts, domains int) *simulation {
	sim := newSimulation(seed, entryHosts(hosts, domains), configComponents)
	sim.run(2 * time.Second)
	return sim
}

func (n *node) config() *config.Component { return n.components[0].(*config.Component) }

func (n *node) generation() msg.Generation { return n.config().Current().Generation }

// fresh reports whether the node admits requests with an API key.
func (n *node) fresh() bool { return n.config().Status(n.clock()).Confirmed }

// manifestOf returns a manifest with the given number of client accounts.
// Manifests of different editions differ in the weights of accounts.
func manifestOf(accounts, edition int) string {
	var b strings.Builder
	b.WriteString("apiVersion: verbenaspur/v1\ndeployment: test\nmodels:\n- {name: m, version: v1}\n")
	b.WriteString("pools:\n- name: p\n  kind: engines\n  model: m\n  shape:\n  - {failureDomain: d0, min: 1, max: 2}\n")
	b.WriteString("routes:\n- {name: chat, pool: p, access: keyed, class: ordinary, timeout: 30s}\naccounts:\n")
	for i := range accounts {
		weight := 1
		if i == edition%accounts {
			weight = 2 + edition
		}
		fmt.Fprintf(&b, "- name: account-%d\n  weight: %d\n  keys:\n  - id: key-%d\n    hash: \"%064x\"\n", i, weight, i, i)
	}
	return b.String()
}

// propose submits a manifest that is based on generation base to a node.
func (n *node) propose(base msg.Generation, text string) msg.CallID {
	call := msg.CallID(n.sim.queue.Len() + 1000*int(n.sim.now))
	n.deliver(msg.ConfigProposed{Call: call, Author: "op", Manifest: []byte(text), Base: base})
	return call
}

// answer returns the last answer to a proposal.
func (n *node) answer(call msg.CallID) (msg.AnswerConfigProposal, bool) {
	for i := len(n.answers) - 1; i >= 0; i-- {
		if n.answers[i].Call == call {
			return n.answers[i], true
		}
	}
	return msg.AnswerConfigProposal{}, false
}

// apply proposes a manifest and waits for the final answer.
func (sim *simulation) apply(t *testing.T, n *node, base msg.Generation, text string) msg.AnswerConfigProposal {
	t.Helper()
	call := n.propose(base, text)
	sim.until(20*time.Second, func() bool {
		a, ok := n.answer(call)
		return ok && a.Status != msg.ProposalWritten
	})
	a, ok := n.answer(call)
	if !ok {
		t.Fatal("the proposal was not answered")
	}
	return a
}

func (sim *simulation) mustApply(t *testing.T, n *node, base msg.Generation, text string) {
	t.Helper()
	if a := sim.apply(t, n, base, text); a.Status != msg.ProposalAccepted {
		t.Fatalf("the answer to the proposal is %v: %s", a.Status, a.Reason)
	}
}

// allConfirmed reports whether all running nodes use a generation and have it
// confirmed.
func (sim *simulation) allConfirmed(g msg.Generation) bool {
	for _, n := range sim.allNodes {
		if !n.dead && !n.paused && (n.generation() != g || !n.fresh()) {
			return false
		}
	}
	return true
}

func (sim *simulation) cutDomain(domain msg.FailureDomain) func(from, to msg.HostID) bool {
	inside := map[msg.HostID]bool{}
	for _, h := range sim.hosts {
		inside[h.Host] = h.Domain == domain
	}
	return func(from, to msg.HostID) bool { return inside[from] != inside[to] }
}

func TestAcceptedConfigurationReachesAllNodes(t *testing.T) {
	// In the run of 45 changes, the stored edits are replaced by new snapshots.
	for hosts, changes := range map[int]int{1: 3, 2: 3, 5: 45, 16: 3, 60: 3} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			sim := configSimulation(1, hosts, 4)
			for g := range msg.Generation(changes) {
				sim.mustApply(t, sim.allNodes[int(g)%hosts], g, manifestOf(20, int(g)))
				_, ok := sim.until(3*time.Second, func() bool { return sim.allConfirmed(g + 1) })
				is.True(ok)
			}
			sim.run(time.Second)
			for _, n := range sim.allNodes {
				is.Equal(n.config().Current().Manifest, manifestOf(20, changes-1))
			}
			is.Equal(len(sim.store.list(msg.KindAudit, "", 0)), changes)
			is.True(len(sim.store.list(msg.KindConfigText, "", 0)) <= 2) // Old snapshots are deleted.
		})
	}
}

func TestSecondConcurrentProposalConflicts(t *testing.T) {
	is := is.New(t)
	sim := configSimulation(2, 5, 3)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	a, b := sim.allNodes[1], sim.allNodes[2]
	callA := a.propose(1, manifestOf(3, 1))
	callB := b.propose(1, manifestOf(3, 2))
	sim.run(10 * time.Second)
	answerA, _ := a.answer(callA)
	answerB, _ := b.answer(callB)
	won, lost := answerA, answerB
	if won.Status != msg.ProposalAccepted {
		won, lost = lost, won
	}
	is.Equal(won.Status, msg.ProposalAccepted)
	is.Equal(lost.Status, msg.ProposalConflict)
	is.True(sim.allConfirmed(2))
	is.Equal(sim.apply(t, a, 1, manifestOf(3, 3)).Status, msg.ProposalConflict)
	is.Equal(sim.apply(t, a, 2, "pools: nonsense").Status, msg.ProposalInvalid)
	is.True(sim.allConfirmed(2))
}

func TestLostResponsesToWritesOfProposal(t *testing.T) {
	sim := configSimulation(3, 5, 3)
	for g := range msg.Generation(6) {
		sim.store.lostResponses = int(g)
		sim.mustApply(t, sim.allNodes[0], g, manifestOf(3, int(g)))
	}
}

func TestConfigurationStaysConfirmedDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	sim := configSimulation(4, 16, 4)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	sim.run(time.Second)
	sim.store.down = true
	for range 1000 {
		sim.run(300 * time.Millisecond)
		is.True(sim.allConfirmed(1))
	}
	is.Equal(sim.apply(t, sim.allNodes[0], 1, manifestOf(3, 1)).Status, msg.ProposalUnavailable)
	// A few daemons, including voters, may be lost as well.
	for _, n := range sim.allNodes[:3] {
		n.kill()
	}
	sim.run(5 * time.Second)
	is.True(sim.allConfirmed(1))
}

func TestRestartDuringOutageFetchesFromPeers(t *testing.T) {
	is := is.New(t)
	sim := configSimulation(5, 9, 3)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	sim.store.down = true
	for i := range 9 {
		n := sim.allNodes[i]
		n.kill()
		again := sim.start(n.host, 1)
		// The host list is available, and the object API is not.
		sim.store.hostsUp = true
		sim.run(20 * time.Second)
		is.Equal(again.generation(), msg.Generation(1))
		is.True(again.fresh())
	}
}

func TestResumedDaemonHasNoConfirmedConfiguration(t *testing.T) {
	is := is.New(t)
	sim := configSimulation(6, 5, 3)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	n := sim.allNodes[3]
	n.pause()
	sim.run(time.Second)
	sim.mustApply(t, sim.allNodes[0], 1, manifestOf(3, 1))
	sim.run(10 * time.Second)
	n.paused = false // The process runs again, before the events that arrived during the pause are delivered.
	is.True(!n.fresh())
	n.resume()
	_, ok := sim.until(2*time.Second, func() bool { return sim.allConfirmed(2) })
	is.True(ok)
}

func TestOnlyCutOffDomainLosesConfirmation(t *testing.T) {
	for _, storeUnreachable := range []bool{true, false} {
		t.Run(fmt.Sprintf("without store %v", storeUnreachable), func(t *testing.T) {
			is := is.New(t)
			sim := configSimulation(7, 16, 4)
			sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
			sim.run(time.Second)
			cut := sim.cutDomain("d3")
			sim.cut = func(from, to msg.HostID) bool {
				if !storeUnreachable && (from == platformHost || to == platformHost) {
					return false
				}
				return cut(from, to)
			}
			sim.mustApply(t, sim.allNodes[0], 1, manifestOf(3, 1))
			sim.run(config.FreshFor + 100*time.Millisecond)
			for _, n := range sim.allNodes {
				cutOff := n.host.Domain == "d3" && storeUnreachable
				is.Equal(n.fresh(), !cutOff)
				is.Equal(n.generation() == 2, !cutOff)
			}
			sim.cut = func(_, _ msg.HostID) bool { return false }
			_, ok := sim.until(12*time.Second, func() bool { return sim.allConfirmed(2) })
			is.True(ok)
		})
	}
}

func TestElectorateFollowsHostList(t *testing.T) {
	is := is.New(t)
	sim := configSimulation(8, 6, 3)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	// All hosts are replaced, one after the other.
	for i := range 6 {
		old := sim.allNodes[i]
		replacement := old.host
		replacement.Host = msg.HostID(fmt.Sprintf("new%d", i))
		sim.hosts[i] = replacement
		old.kill()
		sim.start(replacement, 0)
		sim.run(30 * time.Second)
	}
	sim.store.down = true
	sim.run(10 * time.Second)
	is.True(sim.allConfirmed(1)) // The new hosts alone confirm the configuration.
	sim.store.down = false
	sim.run(3 * time.Second)
	sim.mustApply(t, sim.allNodes[6], 1, manifestOf(3, 1))
}

// Tests that a new voter set does not accept a change alone while a majority
// of the old one still confirms the configuration before it. The old majority
// is cut off and no longer on the host list.
func TestNewElectorateNeedsMajorityOfOldOne(t *testing.T) {
	is := is.New(t)
	sim := configSimulation(10, 3, 3)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	old := map[msg.HostID]bool{sim.hosts[0].Host: true, sim.hosts[1].Host: true}
	sim.cut = func(from, to msg.HostID) bool { return old[from] != old[to] }
	remaining := sim.allNodes[2]
	sim.hosts = []msg.Host{remaining.host}
	for i := range 2 {
		h := entryHosts(2, 3)[i]
		h.Host = msg.HostID(fmt.Sprintf("new%d", i))
		sim.hosts = append(sim.hosts, h)
		sim.start(h, 0)
	}
	sim.run(time.Minute)
	is.True(sim.allNodes[0].fresh() && sim.allNodes[1].fresh()) // Together they still confirm the configuration.
	is.Equal(sim.apply(t, remaining, 1, manifestOf(3, 1)).Status, msg.ProposalWritten)
	is.Equal(remaining.generation(), msg.Generation(2))

	sim.cut = func(_, _ msg.HostID) bool { return false }
	sim.run(30 * time.Second)
	sim.mustApply(t, remaining, 2, manifestOf(3, 2))
	sim.run(config.FreshFor + tick)
	for _, n := range sim.allNodes {
		is.True(n.generation() == 3 || !n.fresh())
	}
}

func TestAuditOfLostAuthorIsWrittenByAnother(t *testing.T) {
	is := is.New(t)
	sim := configSimulation(9, 5, 3)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(3, 0))
	sim.allNodes[0].propose(1, manifestOf(3, 1))
	_, ok := sim.until(time.Second, func() bool { return sim.allNodes[1].generation() == 2 || sim.allNodes[0].generation() == 2 })
	is.True(ok)
	sim.allNodes[0].kill()
	sim.run(5 * time.Second)
	sim.mustApply(t, sim.allNodes[1], 2, manifestOf(3, 2))
	sim.run(time.Second)
	is.Equal(len(sim.store.list(msg.KindAudit, "", 0)), 3)
}

// Tests that under random pauses, network cuts, outages, lost responses and
// restarts no daemon uses a generation for longer than [config.FreshFor] after a
// newer one was accepted, and that no daemon returns to an older generation.
func TestNoStaleUseUnderRandomFaults(t *testing.T) {
	changes := 0
	for seed := range uint64(25) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := configSimulation(500+seed, 7, 3)
			sim.store.responseLossRate = 0.1
			all := slices.Clone(sim.hosts)
			highest := make(map[*node]msg.Generation)
			accepted := make(map[msg.Generation]time.Duration)
			for step := range 80 {
				injectFault(sim)
				if sim.rand.IntN(3) == 0 {
					sim.store.down = sim.rand.IntN(2) == 0
				}
				if seed%2 == 1 && sim.rand.IntN(4) == 0 {
					sim.toggleListed(all[sim.rand.IntN(len(all))])
				}
				n := sim.allNodes[sim.rand.IntN(len(sim.allNodes))]
				if sim.rand.IntN(4) == 0 && !n.dead {
					n.kill()
					n = sim.start(n.host, n.incarnation+1)
				}
				n.propose(n.generation(), manifestOf(3, step))
				for range 60 {
					sim.run(2 * tick)
					sim.recordAccepted(accepted)
					checkNoStaleUse(t, sim, accepted, highest)
				}
			}
			changes += len(accepted)
		})
	}
	if changes < 100 {
		t.Fatalf("only %d changes were accepted in all runs", changes)
	}
}

// toggleListed removes a host from the host list, or adds it again. Its daemon keeps
// running.
func (sim *simulation) toggleListed(h msg.Host) {
	i := slices.IndexFunc(sim.hosts, func(o msg.Host) bool { return o.Host == h.Host })
	if i < 0 {
		sim.hosts = append(slices.Clone(sim.hosts), h)
		return
	}
	if len(sim.hosts) > 2 {
		sim.hosts = slices.Delete(slices.Clone(sim.hosts), i, i+1)
	}
}

// recordAccepted records when each generation was first reported as accepted.
func (sim *simulation) recordAccepted(accepted map[msg.Generation]time.Duration) {
	for _, n := range sim.allNodes {
		for _, a := range n.answers {
			if _, known := accepted[a.Generation]; a.Status == msg.ProposalAccepted && !known {
				accepted[a.Generation] = sim.now
			}
		}
	}
}

func checkNoStaleUse(t *testing.T, sim *simulation, accepted map[msg.Generation]time.Duration, highest map[*node]msg.Generation) {
	t.Helper()
	for _, n := range sim.allNodes {
		if n.dead {
			continue
		}
		g := n.generation()
		if g < highest[n] {
			t.Fatalf("%v: %s returned to the older generation %d", sim.now, n.host.Host, g)
		}
		highest[n] = g
		for newer, at := range accepted {
			if newer > g && n.fresh() && sim.now > at+config.FreshFor {
				t.Fatalf("%v: %s uses generation %d although %d was accepted at %v", sim.now, n.host.Host, g, newer, at)
			}
		}
	}
}
