package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// TestFit guards against a wrong line, and against a residual that does not show
// points off the line.
func TestFit(t *testing.T) {
	is := is.New(t)
	l := Fit([]Point{{Size: 1, Value: 3}, {Size: 2, Value: 5}, {Size: 4, Value: 9}})
	is.True(math.Abs(l.Slope-2) < 1e-9)
	is.True(math.Abs(l.Intercept-1) < 1e-9)
	is.True(l.Residual < 1e-9)
	bent := Fit([]Point{{Size: 1, Value: 1}, {Size: 2, Value: 4}, {Size: 3, Value: 9}})
	is.True(bent.Residual > 0.05) // A parabola is not a line.
}

// TestPointsRoundTrip guards against points that change when they are
// written and read, and against a wrong table.
func TestPointsRoundTrip(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(Write(&b, []Point{{Series{"x", "entries", "ms", 10}, 1, 2}, {Series{"x", "entries", "ms", 10}, 2, 4}}))
	points, err := Read(&b)
	is.NoErr(err)
	var table bytes.Buffer
	is.NoErr(WriteTable(&table, points))
	is.True(strings.Contains(table.String(), "| x, ms | entries | 1: 2, 2: 4 | 2 | 0% | 10: 20 |"))
}

// TestSimulatedDeploymentServesRequests guards against a measurement of a simulated deployment that
// serves no requests or produces effects that the simulation does not support.
func TestSimulatedDeploymentServesRequests(t *testing.T) {
	is := is.New(t)
	c := MeasureControl(Size{Entries: 3, Targets: 6, Accounts: 10, Rate: 20})
	is.True(c.Finished > 100)
	is.Equal(c.Refused, 0)
	is.Equal(len(c.Unhandled), 0)
	is.True(c.Entries.CPU > 0)
	is.True(c.Entries.Reads > 0)
}

// TestManifestIsValid guards against a manifest that daemons reject.
func TestManifestIsValid(t *testing.T) {
	is := is.New(t)
	m, err := manifest.Decode(Manifest(Size{Targets: 4, Accounts: 3}))
	is.NoErr(err)
	is.Equal(len(m.Accounts), 3)
}
