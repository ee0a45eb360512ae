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

// The measurements of docs/measurements/authority.md run only when asked for.
var measure = flag.Bool("measure", false, "run the measurements and print their tables")

func measuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("a measurement: run it with -measure")
	}
}

// sample is a set of measured durations.
type sample []time.Duration

func (s sample) at(share float64) time.Duration {
	sorted := slices.Sorted(slices.Values(s))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

func (s sample) String() string {
	round := func(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }
	return fmt.Sprintf("| %v | %v | %v | %d |", round(s.at(0.5)), round(s.at(0.95)), round(s.at(1)), len(s))
}

func TestMeasureTakeover(t *testing.T) {
	measuring(t)
	faults := []struct {
		name string
		do   func(w *world, n *node)
	}{
		{"killed", func(_ *world, n *node) { n.kill() }},
		{"paused", func(_ *world, n *node) { n.pause() }},
		{"cut off", func(w *world, n *node) {
			w.cut = func(from, to msg.HostID) bool { return from == n.host.Host || to == n.host.Host }
		}},
		{"planned stop", func(_ *world, n *node) { n.deliver(msg.StopRequested{}) }},
	}
	fmt.Println("| holder | median | 95 in 100 | longest | runs |\n|---|---|---|---|---|")
	for _, f := range faults {
		var s sample
		for seed := range uint64(200) {
			w := leaseWorld(seed, 16, 4, poolLease)
			old := settle(t, w, poolLease)
			w.run(5*time.Second + time.Duration(w.rand.Int64N(int64(4*time.Second))))
			f.do(w, old)
			s = append(s, neverTwo(t, w, poolLease, old, time.Minute))
		}
		fmt.Printf("| %s %v\n", f.name, s)
	}
}

func TestMeasureConfigurationInForce(t *testing.T) {
	measuring(t)
	fmt.Println("| case | median | 95 in 100 | longest | entries counted |\n|---|---|---|---|---|")
	for _, storeLost := range []bool{false, true} {
		var force, answered sample
		for seed := range uint64(20) {
			w := configWorld(seed, 16, 4)
			w.mustApply(t, w.order[0], 0, manifestOf(20, 0))
			for g := msg.Generation(1); g < 5; g++ {
				w.cut = func(_, _ msg.HostID) bool { return false }
				w.run(6 * time.Second)
				n := w.order[w.rand.IntN(16)]
				if storeLost {
					// The others lose the platform before the change.
					w.cut = func(from, to msg.HostID) bool {
						return from == platformHost && to != n.host.Host || to == platformHost && from != n.host.Host
					}
				}
				call := n.propose(n.generation(), manifestOf(20, int(g)))
				force = append(force, w.timesInForce(n, call, g+1)...)
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
// uses the generation, and notes when the author was answered.
func (w *world) timesInForce(author *node, call msg.CallID, g msg.Generation) sample {
	start := w.now
	var s sample
	done := make(map[*node]bool)
	author.answeredAt = 0
	for (len(done) < len(w.order) || author.answeredAt == 0) && w.now-start < 10*time.Second {
		w.run(time.Millisecond)
		for _, n := range w.order {
			if !done[n] && n.generation() >= g {
				done[n] = true
				s = append(s, w.now-start)
			}
		}
		if a, ok := author.answer(call); ok && a.Status == msg.ProposalAccepted && author.answeredAt == 0 {
			author.answeredAt = w.now - start
		}
	}
	return s
}

// leaseNames are those of a deployment at the target size.
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

// TestMeasureExchange counts a daemon's messages, bytes and processor time and
// the platform's calls at several sizes, at rest but for the exchange.
func TestMeasureExchange(t *testing.T) {
	measuring(t)
	const span = 30 * time.Second
	fmt.Println("| daemons | store calls/s | messages/s mean | max | sent+received B/s mean | max | reducer and codec, share of a core mean | max | heap KB each |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, hosts := range []int{16, 64, 128, 256, 390} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w := newWorld(7, entryHosts(hosts, 4), func(n *node) []reducer.Component {
			parts := append(configParts(n), sharer{accounts: 100})
			return append(parts, leaseParts(lease.Config{}, leaseNames()...)(n)[0], wanter{leaseNames()})
		})
		w.run(5 * time.Second)
		w.mustApply(t, w.order[0], 0, manifestOf(20, 0))
		w.run(90 * time.Second)
		w.meters = true
		w.store.reads, w.store.writes, w.store.watches = 0, 0, 0
		for _, n := range w.order {
			n.cpu = 0
			n.seen = nil
		}
		w.run(span)
		runtime.GC()
		runtime.ReadMemStats(&after)
		printLoad(w, span, int(after.HeapAlloc-before.HeapAlloc)/hosts)
	}
}

func printLoad(w *world, span time.Duration, heap int) {
	var msgs, maxMsgs, bytes, maxBytes int
	var cpu, maxCPU time.Duration
	for _, n := range w.order {
		m, b := n.sentMsgs+n.gotMsgs, n.sentBytes+n.gotBytes
		msgs, bytes, cpu = msgs+m, bytes+b, cpu+n.cpu
		maxMsgs, maxBytes, maxCPU = max(maxMsgs, m), max(maxBytes, b), max(maxCPU, n.cpu)
	}
	n := float64(len(w.order))
	sec := span.Seconds()
	fmt.Printf("| %d | %.1f | %.0f | %.0f | %.0f | %.0f | %.2f%% | %.2f%% | %d |\n", len(w.order),
		float64(w.store.reads+w.store.writes+w.store.watches)/sec,
		float64(msgs)/n/sec, float64(maxMsgs)/sec, float64(bytes)/n/sec, float64(maxBytes)/sec,
		100*cpu.Seconds()/n/sec, 100*maxCPU.Seconds()/sec, heap/1024)
}

// TestMeasureChanges counts what one change of a large manifest costs.
func TestMeasureChanges(t *testing.T) {
	measuring(t)
	const accounts, changes = 2200, 6
	w := configWorld(3, 16, 4)
	w.mustApply(t, w.order[0], 0, manifestOf(accounts, 0))
	w.run(5 * time.Second)
	w.meters = true
	var readers sample
	for g := range msg.Generation(changes) {
		for _, n := range w.order {
			n.cpu = 0
		}
		w.mustApply(t, w.order[int(g)], g+1, manifestOf(accounts, int(g)+1))
		w.run(3 * time.Second)
		for i, n := range w.order {
			if i != int(g) {
				readers = append(readers, n.cpu)
			}
		}
	}
	stored := w.store.objects[objectKey{msg.KindConfig, "current"}]
	fmt.Printf("reducer and codec time of an entry for one change and 3 s of exchange: median %v, longest %v\n",
		readers.at(0.5).Round(time.Microsecond), readers.at(1).Round(time.Microsecond))
	var most int
	for _, n := range w.order {
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

// TestMeasureKeyWithdrawal counts how long entries that are cut off from all
// others and the platform go on with keyed requests after a change.
func TestMeasureKeyWithdrawal(t *testing.T) {
	measuring(t)
	var cutOff, rest sample
	for seed := range uint64(60) {
		w := configWorld(seed, 16, 4)
		w.mustApply(t, w.order[0], 0, manifestOf(20, 0))
		w.run(time.Duration(w.rand.Int64N(int64(3 * time.Second))))
		w.cut = w.domainCut("d3")
		w.run(time.Duration(w.rand.Int64N(int64(time.Second))))
		w.order[0].propose(1, manifestOf(20, 1))
		start := w.now
		done := make(map[*node]bool)
		for len(done) < len(w.order) {
			w.run(time.Millisecond)
			for _, n := range w.order {
				if done[n] || n.fresh() && n.generation() < 2 {
					continue
				}
				done[n] = true
				if n.host.Domain == "d3" {
					cutOff = append(cutOff, w.now-start)
				} else {
					rest = append(rest, w.now-start)
				}
			}
		}
	}
	fmt.Println("| entries | median | 95 in 100 | longest | counted |\n|---|---|---|---|---|")
	fmt.Printf("| cut off %v\n| the others %v\n", cutOff, rest)
}
