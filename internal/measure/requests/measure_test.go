package requests

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// measureVar names the environment variable that asks for the tables.
const measureVar = "VERBENASPUR_MEASURE"

func skipUnlessAsked(t *testing.T) {
	t.Helper()
	if os.Getenv(measureVar) == "" {
		t.Skip("set " + measureVar + "=1 or run make measure-requests")
	}
}

// ratesVar replaces the rates of the tables, as in "160,220".
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

func TestMeasureGoodput(t *testing.T) {
	skipUnlessAsked(t)
	for _, shape := range []Shape{Taichung, Consortium} {
		for _, rate := range rates(t) {
			Table(os.Stdout, shape, Load{Rate: rate, Calls: 100, Flooder: -1, Warm: 20 * time.Second, Length: 60 * time.Second, Seed: 1})
		}
	}
}
