package scenario

import (
	"flag"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/reducer"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// measure enables the measurements of docs/measurements/authority.md, which do
// not run by default.
var measure = flag.Bool("measure", false, "run the measurements and print their tables")

// skipUnlessMeasuring skips a measurement unless the flag -measure is set.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement: run it with -measure")
	}
}

// sample is a set of measured durations.
type sample []time.Duration

func (s sample) quantile(share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(s))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

func (s sample) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	return fmt.Sprintf("| %v | %v | %v | %d |", round(s.quantile(0.5)), round(s.quantile(0.95)), round(s.quantile(1)), len(s))
}

func TestMeasureTakeover(t *testing.T) {
	skipUnlessMeasuring(t)
	faults := []struct {
		name string
		do   func(sim *simulation, n *node)
	}{
		{"killed", func(_ *simulation, n *node) { n.kill() }},
		{"paused", func(_ *simulation, n *node) { n.pause() }},
		{"cut off", func(sim *simulation, n *node) {
			sim.cut = func(from, to msg.HostID) bool { return from == n.host.Host || to == n.host.Host }
		}},
		{"planned stop", func(_ *simulation, n *node) { n.deliver(msg.StopRequested{}) }},
	}
	fmt.Println("| holder | median | 95 in 100 | longest | runs |\n|---|---|---|---|---|")
	for _, f := range faults {
		var s sample
		for seed := range uint64(200) {
			sim := leaseSimulation(seed, 16, 4, poolLease)
			old := waitForHolder(t, sim, poolLease)
			sim.run(5*time.Second + time.Duration(sim.rand.Int64N(int64(4*time.Second))))
			f.do(sim, old)
			s = append(s, waitForSuccessor(t, sim, poolLease, old, time.Minute))
		}
		fmt.Printf("| %s %v\n", f.name, s)
	}
}

func TestMeasureConfigurationInForce(t *testing.T) {
	skipUnlessMeasuring(t)
	fmt.Println("| case | median | 95 in 100 | longest | entries counted |\n|---|---|---|---|---|")
	for _, storeLost := range []bool{false, true} {
		var force, answered sample
		for seed := range uint64(20) {
			sim := configSimulation(seed, 16, 4)
			sim.mustApply(t, sim.allNodes[0], 0, manifestOf(20, 0))
			for g := msg.Generation(1); g < 5; g++ {
				sim.cut = func(_, _ msg.HostID) bool { return false }
				sim.run(6 * time.Second)
				n := sim.allNodes[sim.rand.IntN(16)]
				if storeLost {
					// The others lose the platform before the change.
					sim.cut = func(from, to msg.HostID) bool {
						return from == platformHost && to != n.host.Host || to == platformHost && from != n.host.Host
					}
				}
				call := n.propose(n.generation(), manifestOf(20, int(g)))
				force = append(force, sim.timesInForce(n, call, g+1)...)
				if a, ok := n.answer(call); ok && a.Status == msg.ProposalAccepted {
					answered = append(answered, n.answeredAt)
				}
			}
		}
		fmt.Printf("| in force, platform lost to all but the author %v %v\n", storeLost, force)
		if len(answered) > 0 {
			fmt.Printf("| answered accepted, platform lost to all but the author %v %v\n", storeLost, answered)
		}
	}
}

// timesInForce returns how long each entry takes from the proposal until it
// uses the generation. It also records when the author received the answer.
func (sim *simulation) timesInForce(author *node, call msg.CallID, g msg.Generation) sample {
	start := sim.now
	var s sample
	done := make(map[*node]bool)
	author.answeredAt = 0
	for (len(done) < len(sim.allNodes) || author.answeredAt == 0) && sim.now-start < 10*time.Second {
		sim.run(time.Millisecond)
		for _, n := range sim.allNodes {
			if !done[n] && n.generation() >= g {
				done[n] = true
				s = append(s, sim.now-start)
			}
		}
		if a, ok := author.answer(call); ok && a.Status == msg.ProposalAccepted && author.answeredAt == 0 {
			author.answeredAt = sim.now - start
		}
	}
	return s
}

// leaseNames returns the lease names of a deployment of the intended size.
func leaseNames() []msg.LeaseName {
	var names []msg.LeaseName
	for i := range 8 {
		names = append(names, msg.LeaseName(fmt.Sprintf("pool/%d", i)))
	}
	for i := range 16 {
		names = append(names, msg.LeaseName(fmt.Sprintf("usage/%d", i)))
	}
	return names
}

// TestMeasureExchange measures a daemon's messages, bytes and processor time
// and the calls to the platform at several sizes of the fleet. Apart from the
// exchange, the daemons are idle.
func TestMeasureExchange(t *testing.T) {
	skipUnlessMeasuring(t)
	const span = 30 * time.Second
	fmt.Println("| daemons | store calls/s | messages/s mean | max | sent+received B/s mean | max | reducer and codec, share of a core mean | max | heap KB each |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, hosts := range []int{16, 64, 128, 256, 390} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		sim := newSimulation(7, entryHosts(hosts, 4), func(n *node) []reducer.Component {
			components := append(configComponents(n), statePublisher{accounts: 100})
			return append(components, leaseComponents(lease.Config{}, leaseNames()...)(n)[0], leaseRequester{leaseNames()})
		})
		sim.run(5 * time.Second)
		sim.mustApply(t, sim.allNodes[0], 0, manifestOf(20, 0))
		sim.run(90 * time.Second)
		sim.measureTraffic = true
		sim.store.reads, sim.store.writes, sim.store.watches = 0, 0, 0
		for _, n := range sim.allNodes {
			n.cpu = 0
			n.recorded = nil
		}
		sim.run(span)
		runtime.GC()
		runtime.ReadMemStats(&after)
		printTraffic(sim, span, int(after.HeapAlloc-before.HeapAlloc)/hosts)
	}
}

func printTraffic(sim *simulation, span time.Duration, heap int) {
	var msgs, maxMsgs, bytes, maxBytes int
	var cpu, maxCPU time.Duration
	for _, n := range sim.allNodes {
		m, b := n.sentMsgs+n.receivedMsgs, n.sentBytes+n.receivedBytes
		msgs, bytes, cpu = msgs+m, bytes+b, cpu+n.cpu
		maxMsgs, maxBytes, maxCPU = max(maxMsgs, m), max(maxBytes, b), max(maxCPU, n.cpu)
	}
	n := float64(len(sim.allNodes))
	sec := span.Seconds()
	fmt.Printf("| %d | %.1f | %.0f | %.0f | %.0f | %.0f | %.2f%% | %.2f%% | %d |\n", len(sim.allNodes),
		float64(sim.store.reads+sim.store.writes+sim.store.watches)/sec,
		float64(msgs)/n/sec, float64(maxMsgs)/sec, float64(bytes)/n/sec, float64(maxBytes)/sec,
		100*cpu.Seconds()/n/sec, 100*maxCPU.Seconds()/sec, heap/1024)
}

// TestMeasureChanges measures the cost of a change of a large manifest.
func TestMeasureChanges(t *testing.T) {
	skipUnlessMeasuring(t)
	const accounts, changes = 2200, 6
	sim := configSimulation(3, 16, 4)
	sim.mustApply(t, sim.allNodes[0], 0, manifestOf(accounts, 0))
	sim.run(5 * time.Second)
	sim.measureTraffic = true
	var readers sample
	for g := range msg.Generation(changes) {
		for _, n := range sim.allNodes {
			n.cpu = 0
		}
		sim.mustApply(t, sim.allNodes[int(g)], g+1, manifestOf(accounts, int(g)+1))
		sim.run(3 * time.Second)
		for i, n := range sim.allNodes {
			if i != int(g) {
				readers = append(readers, n.cpu)
			}
		}
	}
	stored := sim.store.objects[objectKey{msg.KindConfig, "current"}]
	fmt.Printf("reducer and codec time of an entry for one change and 3 s of exchange: median %v, longest %v\n",
		readers.quantile(0.5).Round(time.Microsecond), readers.quantile(1).Round(time.Microsecond))
	var most int
	for _, n := range sim.allNodes {
		most = max(most, n.sentBytes)
	}
	text := manifestOf(accounts, 0)
	started := time.Now()
	m, err := manifest.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	manifest.NewIndex(m)
	fmt.Printf("manifest %d B, configuration object %d B after %d changes, largest sender %d B in %v, one decode %v\n",
		len(text), len(stored.Value), changes, most, time.Duration(changes)*3*time.Second, time.Since(started).Round(time.Millisecond))
}

// TestMeasureKeyWithdrawal measures for how long after a change entries that
// are cut off from all others and from the platform go on with requests that
// have an API key.
func TestMeasureKeyWithdrawal(t *testing.T) {
	skipUnlessMeasuring(t)
	var cutOff, rest sample
	for seed := range uint64(60) {
		sim := configSimulation(seed, 16, 4)
		sim.mustApply(t, sim.allNodes[0], 0, manifestOf(20, 0))
		sim.run(time.Duration(sim.rand.Int64N(int64(3 * time.Second))))
		sim.cut = sim.cutDomain("d3")
		sim.run(time.Duration(sim.rand.Int64N(int64(time.Second))))
		sim.allNodes[0].propose(1, manifestOf(20, 1))
		start := sim.now
		done := make(map[*node]bool)
		for len(done) < len(sim.allNodes) {
			sim.run(time.Millisecond)
			for _, n := range sim.allNodes {
				if done[n] || n.fresh() && n.generation() < 2 {
					continue
				}
				done[n] = true
				if n.host.Domain == "d3" {
					cutOff = append(cutOff, sim.now-start)
				} else {
					rest = append(rest, sim.now-start)
				}
			}
		}
	}
	fmt.Println("| entries | median | 95 in 100 | longest | counted |\n|---|---|---|---|---|")
	fmt.Printf("| cut off %v\n| the others %v\n", cutOff, rest)
}
