package capacity

import (
	"runtime"
	"time"
)

const (
	// usageWarmUp is long enough to freeze the first usage window before the
	// measurement starts.
	usageWarmUp = 100 * time.Second
	// usageMeasured is the length of one usage window.
	usageMeasured = 60 * time.Second
)

// MeasureUsage measures usage reporting at a rate of requests. A few daemons are
// enough, because its cost falls on the holders of usage leases and depends on
// the number of requests.
func MeasureUsage(rate float64) []Point {
	size := Size{Entries: 6, Targets: 12, Accounts: 2200, Rate: rate}
	sim := NewSimulation(size, 1)
	sim.propose()
	sim.requests.start()
	sim.Run(usageWarmUp)
	sim.measuring = true
	peak := heapInUse()
	scale := 0.0
	for range int(usageMeasured / time.Second) {
		scale += sim.runScaled(time.Second) / usageMeasured.Seconds()
		peak = max(peak, heapNow())
	}
	sim.measuring = false
	runtime.KeepAlive(sim)
	var cpu, read, largest float64
	for _, n := range sim.entries() {
		cpu = max(cpu, scale*n.cost.CPU.Seconds()/usageMeasured.Seconds())
		read += float64(n.cost.ReadBytes) / usageMeasured.Seconds()
		largest = max(largest, float64(n.cost.LargestRead))
	}
	point := func(name, unit string, v float64) Point {
		return Point{Series{name, "requests/s", unit, Target.Rate}, rate, v}
	}
	return []Point{
		point("usage: busiest entry's reducer", "% of a core", 100*cpu),
		point("usage: read from the object API, all holders", "KB/s", read/1000),
		point("usage: largest single answer", "MB", largest/1e6),
		point("usage: flushed objects kept", "count", float64(len(sim.objects.List("usage", "")))),
		point("usage: heap of all daemons at its highest, without collection", "MB", float64(peak)/1e6),
	}
}

// heapNow returns the size of the heap in bytes, including garbage.
func heapNow() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
