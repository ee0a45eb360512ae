package capacity

import (
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// decodeRounds is the number of decodings over which a mean is taken.
const decodeRounds = 5

// MeasureManifest measures the cost that a configuration change has for a daemon,
// at a number of client accounts.
func MeasureManifest(accounts int) ([]Point, error) {
	size := Size{Targets: Target.Targets, Accounts: accounts}
	text := Manifest(size)
	yamlTime, yamlBytes, err := decodeCost(text)
	if err != nil {
		return nil, err
	}
	before := heapInUse()
	m, err := manifest.Decode(text)
	if err != nil {
		return nil, errors.Wrap(err, "capacity")
	}
	index := manifest.NewIndex(m)
	indexBytes := heapInUse() - before
	runtime.KeepAlive(index)
	canonical, err := manifest.Encode(m)
	if err != nil {
		return nil, err
	}
	canonicalTime, canonicalBytes, err := decodeCost(canonical)
	if err != nil {
		return nil, err
	}
	point := func(name, unit string, v float64) Point {
		return Point{Series{name, "accounts", unit, float64(Target.Accounts)}, float64(accounts), v}
	}
	return []Point{
		point("manifest text", "KB", float64(len(text))/1000),
		point("decoding and checking YAML", "ms", milliseconds(yamlTime)),
		point("decoding and checking YAML, allocated", "MB", yamlBytes/1e6),
		point("decoding and checking the canonical form", "ms", milliseconds(canonicalTime)),
		point("decoding and checking the canonical form, allocated", "MB", canonicalBytes/1e6),
		point("decoded manifest with look-up tables", "KB", float64(indexBytes)/1000),
	}, nil
}

// decodeCost returns the mean processor time and the mean number of allocated
// bytes of one decoding.
func decodeCost(text []byte) (time.Duration, float64, error) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := cpuTime()
	for range decodeRounds {
		if _, err := manifest.Decode(text); err != nil {
			return 0, 0, errors.Wrap(err, "capacity")
		}
	}
	took := (cpuTime() - began) / decodeRounds
	runtime.ReadMemStats(&after)
	return took, float64(after.TotalAlloc-before.TotalAlloc) / decodeRounds, nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Points returns the costs as points of series by entries or targets.
func (c *Control) Points() []Point {
	var out []Point
	add := func(name, per, unit string, size, target int, v float64) {
		out = append(out, Point{Series{name, per, unit, float64(target)}, float64(size), v})
	}
	entry := func(name, unit string, v float64) { add(name, "entries", unit, c.Size.Entries, Target.Entries, v) }
	side := func(name, unit string, v float64) { add(name, "targets", unit, c.Size.Targets, Target.Targets, v) }
	entry("entry: reducer, mean", "% of a core", 100*c.Entries.CPU)
	entry("entry: reducer, busiest", "% of a core", 100*c.Entries.CPUMax)
	entry("entry: messages received", "1/s", c.Entries.MessagesIn)
	entry("entry: messages sent", "1/s", c.Entries.MessagesOut)
	entry("entry: sent, busiest", "KB/s", c.Entries.BytesOutMax/1000)
	side("side: reducer, mean", "% of a core", 100*c.Sides.CPU)
	side("side: messages sent", "1/s", c.Sides.MessagesOut)
	side("side: sent, busiest", "KB/s", c.Sides.BytesOutMax/1000)
	entry("reducer's heap, mean of all daemons", "KB", c.Heap/1000)
	entry("platform: reads", "1/s", c.Entries.Reads+c.Sides.Reads)
	entry("platform: writes", "1/s", c.Entries.Writes+c.Sides.Writes)
	entry("platform: bytes read", "KB/s", (c.Entries.ReadBytes+c.Sides.ReadBytes)/1000)
	entry("platform: bytes written", "KB/s", (c.Entries.WrittenBytes+c.Sides.WrittenBytes)/1000)
	return out
}
