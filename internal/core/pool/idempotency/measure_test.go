package idempotency

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/coretest"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// workload describes claims from several entry daemons against a platform with
// a given latency. It runs in virtual time.
type workload struct {
	entries  int
	rate     int // claims per second over all entries
	latency  time.Duration
	duration time.Duration
}

// workloadResult holds the results and costs of a workload.
type workloadResult struct {
	granted, unavailable            int
	writes, reads, conflicts        uint64
	p50, p99                        time.Duration
	claimsPerWrite, writesPerSecond float64
}

type timedCall struct {
	at   msg.Time
	seq  int
	call func()
}

type callQueue []timedCall

func (h callQueue) Len() int { return len(h) }
func (h callQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h callQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *callQueue) Push(x any)   { *h = append(*h, x.(timedCall)) }
func (h *callQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simulate runs the workload. Each granted claim is completed after 50 ms.
func (w workload) simulate() workloadResult {
	var (
		queue   callQueue
		now     msg.Time
		seq     int
		res     workloadResult
		waits   []time.Duration
		arrived = make(map[msg.RequestID]msg.Time)
	)
	schedule := func(d time.Duration, do func()) { seq++; heap.Push(&queue, timedCall{now + d, seq, do}) }
	objects := coretest.NewObjects()
	rnd := rand.New(rand.NewPCG(1, 1))
	managers := make([]*Manager, w.entries)
	var step func(p *Manager, ev msg.Event)
	step = func(p *Manager, ev msg.Event) {
		for _, eff := range p.Step(now, ev) {
			if raise, ok := eff.(msg.Raise); ok {
				s := raise.Event.(msg.ClaimSettled)
				if s.Status != msg.ClaimGranted {
					res.unavailable++
					continue
				}
				res.granted++
				waits = append(waits, now-arrived[s.Req])
				schedule(50*time.Millisecond, func() {
					step(p, msg.RequestEnded{Req: s.Req, Outcome: msg.OutcomeRun, Response: &msg.StoredResponse{Status: 201, Body: make([]byte, 200)}})
				})
				continue
			}
			schedule(w.latency/2, func() {
				if ev, ok := objects.Do(eff); ok {
					schedule(w.latency/2, func() { step(p, ev) })
				}
			})
		}
	}
	for i := range managers {
		managers[i] = New(Config{})
		step(managers[i], msg.Started{Self: msg.Self{Host: msg.HostID(fmt.Sprint("e", i))}, Incarnation: "1", Wall: testWall})
		var tick func()
		tick = func() {
			step(managers[i], msg.Tick{Wall: testWall.Add(now)})
			schedule(msg.TickInterval, tick)
		}
		schedule(time.Duration(rnd.Int64N(int64(msg.TickInterval))), tick)
	}
	for n := range int(w.duration.Seconds() * float64(w.rate)) {
		schedule(time.Second+time.Duration(rnd.Int64N(int64(w.duration))), func() {
			req := msg.RequestID(fmt.Sprint("r", n))
			arrived[req] = now
			step(managers[n%w.entries], msg.ClaimRequested{Req: req, Account: "a", Route: "r", Key: fmt.Sprint("k", n)})
		})
	}
	for len(queue) > 0 && now < w.duration+5*time.Second {
		h := heap.Pop(&queue).(timedCall)
		now = h.at
		h.call()
	}
	for _, p := range managers {
		res.writes += p.counts.Writes
		res.reads += p.counts.Reads
		res.conflicts += p.counts.Conflicts
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		res.p50, res.p99 = waits[len(waits)/2], waits[len(waits)*99/100]
	}
	res.claimsPerWrite = float64(res.granted) / float64(max(1, res.writes))
	res.writesPerSecond = float64(res.writes) / w.duration.Seconds()
	return res
}

// Each ledger has at most one write in flight, so a slow platform gets fewer
// writes, each with more claims.
func TestGroupCommitBoundsWriteRate(t *testing.T) {
	is := is.New(t)
	w := workload{entries: 1, rate: 2000, latency: 100 * time.Millisecond, duration: 2 * time.Second}
	r := w.simulate()
	is.Equal(r.granted, 4000)
	is.True(r.writesPerSecond <= 1.2*Shards/w.latency.Seconds())
	is.True(r.claimsPerWrite > 4)
}

// TestMeasureClaims prints the table of docs/measurements/ledger.md.
func TestMeasureClaims(t *testing.T) {
	if os.Getenv("MEASURE") == "" {
		t.Skip("set MEASURE=1 to measure")
	}
	fmt.Println("| entries | claims/s | store ms | granted | refused | writes/s | conflicts/s | reads/s | claims per write | p50 ms | p99 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for _, entries := range []int{1, 4, 8} {
		for _, rate := range []int{10, 50, 200} {
			for _, latency := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond} {
				w := workload{entries: entries, rate: rate, latency: latency, duration: 3 * time.Second}
				r := w.simulate()
				s := w.duration.Seconds()
				fmt.Printf("| %d | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.2f | %.1f | %.1f |\n", entries, rate, latency.Milliseconds(),
					r.granted, r.unavailable, r.writesPerSecond, float64(r.conflicts)/s, float64(r.reads)/s, r.claimsPerWrite,
					ms(r.p50), ms(r.p99))
			}
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
