package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/platform"
)

// Connections of callers, with one to a target for each, stay within the limits of memory
// and sockets. The smallest hosts of the platform's deployments have 144 MB and 3,075
// descriptors.
func TestCallerLimits(t *testing.T) {
	for _, tc := range []struct{ memoryMB, sockets, callers, heapMB int }{
		{0, 0, 0, 0},
		{144, 0, 691, 100},
		{144, 2875, 691, 100},
		{284, 3900, 1363, 198},
		{80, 200, 60, 56},
		{80, 3900, 384, 46},
		{80, 10, minCallerConns, 56},
	} {
		is := is.New(t)
		got := NewCallerLimits(&platform.Settings{MemoryBytes: int64(tc.memoryMB) << 20, MaxSockets: tc.sockets})
		is.Equal(got.Callers, tc.callers)
		is.Equal(int(got.Heap>>20), tc.heapMB)
		is.True(got.Ready > 0 && got.Metrics > 0)
	}
}
