package daemon

import (
	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/platform"
)

const (
	// callerMemoryRatio is the fraction of the memory limit that may be held for callers.
	// The garbage collector may need as much again.
	callerMemoryRatio = 0.25
	// connMemoryRatio is the fraction of the memory limit that connections may take beyond
	// that.
	connMemoryRatio = 0.3
	// heapRatio is the fraction of the memory limit up to which the garbage collector lets
	// the heap grow, if the kernel's part and residentBytes of program leave as much.
	heapRatio     = 0.7
	residentBytes = 20 << 20
	// defaultCallerMemory is held for callers at most if no memory limit is set.
	defaultCallerMemory = 128 << 20
	// readyConns and metricsConns are the connections that may be open at these ports. The
	// load balancer and a collector of metrics need one or two each.
	readyConns   = 32
	metricsConns = 16
	// opsConns is the same for the port for operations, which serves both.
	opsConns = readyConns + metricsConns
	// ownSockets is what the daemon opens itself, except for calls of targets: its listeners,
	// the socket for peers, and calls of the platform.
	ownSockets = 32
	// socketsPerCaller is what a caller's request needs: its own connection and one to a
	// target.
	socketsPerCaller = 2
	// minCallerConns is left to callers under any limits.
	minCallerConns = 16
)

// CallerLimits bound what callers may hold of an entry daemon of the direct path.
type CallerLimits struct {
	// Callers, Ready and Metrics are the numbers of connections that may be open at each
	// port; 0 means any.
	Callers, Ready, Metrics int
	// Bytes may be held of requests and responses.
	Bytes int64
	// Heap is the soft limit of the heap in bytes; 0 means none.
	Heap int64
}

// NewCallerLimits returns the limits that keep a process within its settings' limits of
// sockets and memory.
func NewCallerLimits(s *platform.Settings) CallerLimits {
	limits := CallerLimits{Ready: readyConns, Metrics: metricsConns, Bytes: callerMemory(s.MemoryBytes)}
	if s.MemoryBytes > 0 {
		limits.Callers = int(connMemoryRatio * float64(s.MemoryBytes) / relay.ConnBytes)
	}
	if s.MaxSockets > 0 {
		bySockets := max((s.MaxSockets-readyConns-metricsConns-ownSockets)/socketsPerCaller, minCallerConns)
		if limits.Callers == 0 || bySockets < limits.Callers {
			limits.Callers = bySockets
		}
	}
	if s.MemoryBytes > 0 {
		kernel := int64(limits.Callers+limits.Ready+limits.Metrics) * relay.KernelBytes
		limits.Heap = min(int64(heapRatio*float64(s.MemoryBytes)), s.MemoryBytes-residentBytes-kernel)
	}
	return limits
}

// callerMemory returns the number of bytes that may be held for callers under a memory
// limit of the process. Zero is no limit.
func callerMemory(limit int64) int64 {
	if limit <= 0 {
		return defaultCallerMemory
	}
	return int64(callerMemoryRatio * float64(limit))
}
