package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTicks is the number of clock ticks per second, the unit of processor time
// in /proc.
const clockTicks = 100

// processState is what the kernel reports about a process.
type processState struct {
	// cpu is the processor time in user and kernel mode.
	cpu time.Duration
	// resident is the resident memory in bytes.
	resident int64
}

// readProcess reads the state of a process from /proc.
func readProcess(pid int) (processState, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return processState{}, errors.Wrap(err, "capacity")
	}
	// The second field is the name, which may contain spaces and ends with the
	// last ')'.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const utime, stime, rss = 11, 12, 21
	if len(fields) <= rss {
		return processState{}, errors.Newf("capacity: unexpected /proc/%d/stat", pid)
	}
	var values [3]int64
	for i, f := range []int{utime, stime, rss} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return processState{}, errors.Wrap(err, "capacity")
		}
	}
	return processState{
		cpu:      time.Duration(values[0]+values[1]) * time.Second / clockTicks,
		resident: values[2] * int64(os.Getpagesize()),
	}, nil
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("capacity: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// DaemonCost is the cost per second of a real daemon that runs its control plane
// only and receives no requests.
type DaemonCost struct {
	// CPU is in cores and Resident in bytes.
	CPU      float64
	Resident int64
	// PacketsOut, BytesOut and BytesIn count the traffic with other daemons,
	// including IP and UDP headers.
	PacketsOut, BytesOut, BytesIn float64
}

// SampleDaemon measures a running daemon for the time over.
func SampleDaemon(pid int, traffic *Traffic, over time.Duration) (DaemonCost, error) {
	before, err := readProcess(pid)
	if err != nil {
		return DaemonCost{}, err
	}
	packets, out, in := traffic.SentPackets.Load(), traffic.SentBytes.Load(), traffic.ReceivedBytes.Load()
	began := time.Now()
	time.Sleep(over)
	seconds := time.Since(began).Seconds()
	after, err := readProcess(pid)
	if err != nil {
		return DaemonCost{}, err
	}
	return DaemonCost{
		CPU: (after.cpu - before.cpu).Seconds() / seconds, Resident: after.resident,
		PacketsOut: float64(traffic.SentPackets.Load()-packets) / seconds,
		BytesOut:   float64(traffic.SentBytes.Load()-out) / seconds,
		BytesIn:    float64(traffic.ReceivedBytes.Load()-in) / seconds,
	}, nil
}

// Points returns the cost as points of series whose names contain form, the form
// of the manifest.
func (c *DaemonCost) Points(size Size, form string) []Point {
	peers := float64(size.Entries - 1 + size.Targets)
	point := func(name, unit string, v float64) Point {
		return Point{Series{"real entry daemon, " + form + ": " + name, "peers", unit, float64(Target.Entries - 1 + Target.Targets)}, peers, v}
	}
	return []Point{
		point("processor", "% of a core", 100*c.CPU),
		point("resident memory", "MB", float64(c.Resident)/1e6),
		point("packets sent", "1/s", c.PacketsOut),
		point("sent", "KB/s", c.BytesOut/1000),
		point("received", "KB/s", c.BytesIn/1000),
	}
}
