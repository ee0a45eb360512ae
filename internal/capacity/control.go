package capacity

import (
	"runtime"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	// settleTime is the virtual time that a deployment has to settle. Half of it
	// passes before and half after the manifest is proposed, and half again
	// between the first request and the start of the measurement.
	settleTime = 6 * time.Second
	// measuredTime is the virtual time during which costs are counted.
	measuredTime = 10 * time.Second
)

// DaemonKindCost is the cost per second of all daemons of one kind, entries or
// sides.
type DaemonKindCost struct {
	// CPU is the mean share of a core that a daemon's reducer uses. CPUMax is the
	// highest share of any daemon.
	CPU, CPUMax float64
	// MessagesOut, MessagesIn and BytesOut are means per daemon and second.
	MessagesOut, MessagesIn, BytesOut float64
	// BytesOutMax is the highest rate of any daemon.
	BytesOutMax float64
	// Reads and Writes are platform calls per second of all daemons together.
	Reads, Writes float64
	// ReadBytes and WrittenBytes are their bytes per second.
	ReadBytes, WrittenBytes float64
}

// Control is the cost of the control plane at one deployment size.
type Control struct {
	Size    Size
	Entries DaemonKindCost
	Sides   DaemonKindCost
	// Heap is the mean heap of a reducer in bytes, over entries and sides. Sides
	// need less than entries.
	Heap float64
	// Finished and Refused count the requests that ended during the measurement.
	Finished int
	Refused  int
	// Unhandled is [Simulation.Unhandled].
	Unhandled map[string]int
}

// MeasureControl measures the control plane of a deployment in virtual time.
func MeasureControl(size Size) Control {
	heapBefore := heapInUse()
	sim := NewSimulation(size, 1)
	sim.propose()
	sim.requests.start()
	sim.Run(settleTime / 2)
	sim.measuring = true
	requestsBefore := sim.requests
	stepScale := sim.runScaled(measuredTime)
	sim.measuring = false
	c := Control{
		Size: size, Entries: meanCost(sim.entries(), stepScale), Sides: meanCost(sim.sides(), stepScale), Unhandled: sim.Unhandled,
		Finished: sim.requests.finished - requestsBefore.finished, Refused: sim.requests.refused - requestsBefore.refused,
	}
	c.Heap = float64(heapInUse()-heapBefore) / float64(len(sim.nodeList))
	runtime.KeepAlive(sim)
	return c
}

// propose proposes the manifest and waits until it is in force.
func (sim *Simulation) propose() {
	sim.Run(settleTime / 2)
	sim.deliver(sim.entries()[0], msg.ConfigProposed{Call: 1, Author: "measure", Manifest: sim.manifest})
	sim.Run(settleTime / 2)
}

// runScaled advances virtual time and returns the processor time that this process
// used per second of real time. It is less than one on a busy machine, and more
// than one if garbage collection runs on other cores.
func (sim *Simulation) runScaled(d time.Duration) float64 {
	cpu, clock := cpuTime(), time.Now()
	sim.Run(d)
	return (cpuTime() - cpu).Seconds() / time.Since(clock).Seconds()
}

// meanCost returns the cost per second of some daemons. It multiplies measured
// durations by scale, which converts real time to processor time.
func meanCost(nodes []*node, scale float64) DaemonKindCost {
	var r DaemonKindCost
	seconds := measuredTime.Seconds()
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

// heapInUse returns the size of the heap in bytes after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
