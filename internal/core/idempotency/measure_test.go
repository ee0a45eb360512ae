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

// load is claims from several entries against a platform with a latency, in
// virtual time.
type load struct {
	entries int
	rate    int // claims a second in all
	latency time.Duration
	length  time.Duration
}

// loadResult is what a load cost.
type loadResult struct {
	granted, unavailable          int
	writes, reads, conflicts      uint64
	median, tail                  time.Duration
	claimsPerWrite, writesASecond float64
}

type happening struct {
	at  msg.Time
	seq int
	do  func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// run plays the load. Each granted claim is completed 50 ms later.
func (l load) run() loadResult {
	var (
		queue   happenings
		now     msg.Time
		seq     int
		res     loadResult
		waits   []time.Duration
		arrived = make(map[msg.RequestID]msg.Time)
	)
	at := func(d time.Duration, do func()) { seq++; heap.Push(&queue, happening{now + d, seq, do}) }
	objects := coretest.NewObjects()
	rnd := rand.New(rand.NewPCG(1, 1))
	parts := make([]*Manager, l.entries)
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
				at(50*time.Millisecond, func() {
					step(p, msg.RequestEnded{Req: s.Req, Outcome: msg.OutcomeRun, Response: &msg.StoredResponse{Status: 201, Body: make([]byte, 200)}})
				})
				continue
			}
			at(l.latency/2, func() {
				if ev, ok := objects.Do(eff); ok {
					at(l.latency/2, func() { step(p, ev) })
				}
			})
		}
	}
	for i := range parts {
		parts[i] = New(Config{})
		step(parts[i], msg.Started{Self: msg.Self{Host: msg.HostID(fmt.Sprint("e", i))}, Incarnation: "1", Wall: testWall})
		var tick func()
		tick = func() {
			step(parts[i], msg.Tick{Wall: testWall.Add(now)})
			at(msg.TickInterval, tick)
		}
		at(time.Duration(rnd.Int64N(int64(msg.TickInterval))), tick)
	}
	for n := range int(l.length.Seconds() * float64(l.rate)) {
		at(time.Second+time.Duration(rnd.Int64N(int64(l.length))), func() {
			req := msg.RequestID(fmt.Sprint("r", n))
			arrived[req] = now
			step(parts[n%l.entries], msg.ClaimRequested{Req: req, Account: "a", Route: "r", Key: fmt.Sprint("k", n)})
		})
	}
	for len(queue) > 0 && now < l.length+5*time.Second {
		h := heap.Pop(&queue).(happening)
		now = h.at
		h.do()
	}
	for _, p := range parts {
		res.writes += p.counts.Writes
		res.reads += p.counts.Reads
		res.conflicts += p.counts.Conflicts
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		res.median, res.tail = waits[len(waits)/2], waits[len(waits)*99/100]
	}
	res.claimsPerWrite = float64(res.granted) / float64(max(1, res.writes))
	res.writesASecond = float64(res.writes) / l.length.Seconds()
	return res
}

// With one write in flight per ledger, a slow platform gets fewer writes that
// carry more claims each.
func TestWritesAreBoundedByTheirLatency(t *testing.T) {
	is := is.New(t)
	l := load{entries: 1, rate: 2000, latency: 100 * time.Millisecond, length: 2 * time.Second}
	r := l.run()
	is.Equal(r.granted, 4000)
	is.True(r.writesASecond <= 1.2*Shards/l.latency.Seconds())
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
				l := load{entries: entries, rate: rate, latency: latency, length: 3 * time.Second}
				r := l.run()
				s := l.length.Seconds()
				fmt.Printf("| %d | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.2f | %.1f | %.1f |\n", entries, rate, latency.Milliseconds(),
					r.granted, r.unavailable, r.writesASecond, float64(r.conflicts)/s, float64(r.reads)/s, r.claimsPerWrite,
					ms(r.median), ms(r.tail))
			}
		}
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
