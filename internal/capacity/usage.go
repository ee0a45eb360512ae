package capacity

import (
	"runtime"
	"time"
)

const (
	// usageWarmUp lets the first window be frozen before the metering.
	usageWarmUp = 100 * time.Second
	// usageMetered is one window.
	usageMetered = 60 * time.Second
)

// MeasureUsage measures the reporting of usage at a rate of requests, with a
// few daemons: it costs whoever holds a usage lease, by requests.
func MeasureUsage(rate float64) []Point {
	size := Size{Entries: 6, Targets: 12, Accounts: 2200, Rate: rate}
	w := NewWorld(size, 1)
	w.propose()
	w.requests.begin()
	w.Run(usageWarmUp)
	w.metered = true
	peak := heapInUse()
	scale := 0.0
	for range int(usageMetered / time.Second) {
		scale += w.runScaled(time.Second) / usageMetered.Seconds()
		peak = max(peak, heapNow())
	}
	w.metered = false
	runtime.KeepAlive(w)
	var cpu, read, largest float64
	for _, n := range w.entries() {
		cpu = max(cpu, scale*n.cost.CPU.Seconds()/usageMetered.Seconds())
		read += float64(n.cost.ReadBytes) / usageMetered.Seconds()
		largest = max(largest, float64(n.cost.LargestRead))
	}
	point := func(name, unit string, v float64) Point {
		return Point{Series{name, "requests/s", unit, Target.Rate}, rate, v}
	}
	return []Point{
		point("usage: busiest entry's reducer", "% of a core", 100*cpu),
		point("usage: read from the object API, all holders", "KB/s", read/1000),
		point("usage: largest single answer", "MB", largest/1e6),
		point("usage: flushed objects kept", "count", float64(len(w.objects.List("usage", "")))),
		point("usage: heap of all daemons at its highest, without collection", "MB", float64(peak)/1e6),
	}
}

func heapNow() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
