package requests

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// measureVar is the environment variable that enables the measurements.
const measureVar = "VERBENASPUR_MEASURE"

func skipUnlessAsked(t *testing.T) {
	t.Helper()
	if os.Getenv(measureVar) == "" {
		t.Skip("set " + measureVar + "=1 or run make measure-requests")
	}
}

// ratesVar is the environment variable that replaces the request rates of the
// goodput tables, for example "160,220".
const ratesVar = "VERBENASPUR_RATES"

func rates(t *testing.T) []float64 {
	t.Helper()
	text := os.Getenv(ratesVar)
	if text == "" {
		return []float64{80, 120, 160, 220}
	}
	var out []float64
	for _, s := range strings.Split(text, ",") {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, v)
	}
	return out
}

// TestMeasureGoodput prints the goodput of each policy at several request rates.
func TestMeasureGoodput(t *testing.T) {
	skipUnlessAsked(t)
	for _, shape := range []Shape{Taichung, Consortium} {
		for _, rate := range rates(t) {
			t.Log(Table(shape, Load{Rate: rate, Calls: 100, Flooder: -1, Warm: 20 * time.Second, Length: 60 * time.Second, Seed: 1}))
		}
	}
}

// TestMeasureFlood prints the goodput of each account while one account sends too
// much.
func TestMeasureFlood(t *testing.T) {
	skipUnlessAsked(t)
	for _, shape := range []Shape{Taichung, Consortium} {
		for _, oneEntry := range []bool{false, true} {
			for seed := range uint64(2) {
				t.Log(FloodTable(shape, Load{
					Rate: 120, Calls: 100, Flooder: 1, Flood: 10, OneEntry: oneEntry,
					Warm: 20 * time.Second, Length: 40 * time.Second, Seed: seed + 1,
				}))
			}
		}
	}
}

// TestMeasureRecovery prints the times to recover from faults.
func TestMeasureRecovery(t *testing.T) {
	skipUnlessAsked(t)
	for _, shape := range []Shape{Taichung, Consortium} {
		t.Log(RecoveryTable(shape, Load{Rate: 100, Calls: 100, Flooder: -1, Warm: 20 * time.Second, Length: 40 * time.Second, Seed: 1}))
	}
}

// TestRunIsDeterministic guards against runs whose figures differ although their
// seed is the same, and against figures that do not show a fault.
func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	load := Load{Rate: 40, Calls: 10, Flooder: -1, Length: 5 * time.Second, Seed: 7}
	v := Variants()[0]
	a := Run(Taichung, load, v)
	is.True(a.Met > 0)
	is.Equal(a, Run(Taichung, load, v))
	domain := Fault{At: 2 * time.Second, Do: func(sim *simulation) { sim.loseDomain(0) }}
	is.True(Run(Taichung, load, v, domain).Met < a.Met)
}
