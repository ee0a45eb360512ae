package capacity

import (
	"runtime"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// settle is the virtual time before the metering starts.
	settle = 6 * time.Second
	// metered is the virtual time over which costs count.
	metered = 10 * time.Second
)

// RoleCost is the cost of the daemons of one role, per second.
type RoleCost struct {
	// CPU is the mean share of a core in the reducer; CPUMax is the highest of
	// any daemon.
	CPU, CPUMax float64
	// MessagesOut, MessagesIn and BytesOut are means per daemon and second.
	MessagesOut, MessagesIn, BytesOut float64
	BytesOutMax                       float64
	// Reads and Writes are calls of the platform, all daemons together.
	Reads, Writes           float64
	ReadBytes, WrittenBytes float64
}

// Control is the cost of the control plane at one size.
type Control struct {
	Size    Size
	Entries RoleCost
	Sides   RoleCost
	// Heap is the mean heap of a reducer, in bytes; sides need less than
	// entries.
	Heap      float64
	Finished  int
	Refused   int
	Unhandled map[string]int
}

// MeasureControl runs a deployment of a size and measures it.
func MeasureControl(size Size) Control {
	before := heapInUse()
	w := NewWorld(size, 1)
	w.propose()
	w.requests.begin()
	w.Run(settle / 2)
	w.metered = true
	began := w.requests
	stepScale := w.runScaled(metered)
	w.metered = false
	c := Control{
		Size: size, Entries: sum(w.entries(), stepScale), Sides: sum(w.sides(), stepScale), Unhandled: w.Unhandled,
		Finished: w.requests.finished - began.finished, Refused: w.requests.refused - began.refused,
	}
	c.Heap = float64(heapInUse()-before) / float64(len(w.order))
	runtime.KeepAlive(w)
	return c
}

// propose puts the manifest in force.
func (w *World) propose() {
	w.Run(settle / 2)
	w.deliver(w.entries()[0], msg.ConfigProposed{Call: 1, Author: "measure", Manifest: w.manifest})
	w.Run(settle / 2)
}

// runScaled advances virtual time and returns what one second on the clock was
// in processor time. On a busy machine it is less than one; with garbage
// collection on other cores it is more.
func (w *World) runScaled(d time.Duration) float64 {
	cpu, clock := cpuTime(), time.Now()
	w.Run(d)
	return (cpuTime() - cpu).Seconds() / time.Since(clock).Seconds()
}

func sum(nodes []*node, scale float64) RoleCost {
	var r RoleCost
	seconds := metered.Seconds()
	count := float64(len(nodes))
	for _, n := range nodes {
		cpu := n.cost.CPU.Seconds() / seconds * scale
		bytes := float64(n.cost.Bytes) / seconds
		r.CPU += cpu / count
		r.CPUMax = max(r.CPUMax, cpu)
		r.MessagesOut += float64(n.cost.Messages) / seconds / count
		r.MessagesIn += float64(n.cost.Received) / seconds / count
		r.BytesOut += bytes / count
		r.BytesOutMax = max(r.BytesOutMax, bytes)
		r.Reads += float64(n.cost.Reads) / seconds
		r.Writes += float64(n.cost.Writes) / seconds
		r.ReadBytes += float64(n.cost.ReadBytes) / seconds
		r.WrittenBytes += float64(n.cost.WrittenBytes) / seconds
	}
	return r
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
