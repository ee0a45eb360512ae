package requests

import (
	"fmt"
	"strings"
	"time"
)

// Table runs a load under each variant and returns a Markdown table of the results.
func Table(shape Shape, load Load) string {
	var out strings.Builder
	fmt.Fprintf(&out, "\n%s, %.0f generation requests/s, seed %d, %s\n", shape.Name, load.Rate, load.Seed, load.Length)
	fmt.Fprintln(&out, "| policy | goodput/s | share met | may-wait answered | calls met | prefix hits | late first token | slow tokens | refused | broken | retries/request |")
	fmt.Fprintln(&out, "|---|---|---|---|---|---|---|---|---|---|---|")
	for _, v := range Variants() {
		r := Run(shape, load, v)
		fmt.Fprintf(&out, "| %s | %.1f | %.3f | %.3f | %.3f | %.3f | %d | %d | %d | %d | %.4f |\n",
			v.Name, r.Goodput(), r.Share(), ratio(r.LaterDone, r.Later), ratio(r.CallsMet, r.Calls),
			r.HitRate, r.LateFirst, r.SlowTokens, r.Refused, r.Broken, r.Retries)
	}
	return out.String()
}

// FloodTable runs a load in which one account sends many times its share under each
// variant, and returns a Markdown table of the accounts' goodput relative to their
// demand.
func FloodTable(shape Shape, load Load) string {
	var out strings.Builder
	through := "all entries"
	if load.OneEntry {
		through = "one entry"
	}
	fmt.Fprintf(&out, "\n%s, %.0f requests/s of which account %d sends %.0f times its part through %s, seed %d\n",
		shape.Name, load.Rate, load.Flooder, load.Flood, through, load.Seed)
	fmt.Fprintln(&out, "| policy | worst other account, met/asked | flooding account, met/fair | goodput/s |")
	fmt.Fprintln(&out, "|---|---|---|---|")
	for _, v := range Variants() {
		r := Run(shape, load, v)
		worst, flooder := r.Worst(load)
		fmt.Fprintf(&out, "| %s | %.3f | %.3f | %.1f |\n", v.Name, worst, flooder, r.Goodput())
	}
	return out.String()
}

// Worst returns the lowest share of urgent requests that met their goals of all
// accounts but the flooding one, and the flooding account's goodput relative to its
// demand without the flood.
func (r *Result) Worst(load Load) (worst, flooder float64) {
	worst = 1
	for i, a := range r.Accounts {
		if i == load.Flooder {
			flooder = float64(a.Met) * load.Flood / float64(max(a.Asked, 1))
			continue
		}
		worst = min(worst, ratio(a.Met, a.Asked))
	}
	return worst, flooder
}

// RecoveryTable runs a load with each fault under each variant, and returns a
// Markdown table of the times to recover.
func RecoveryTable(shape Shape, load Load) string {
	var out strings.Builder
	fmt.Fprintf(&out, "\n%s, %.0f generation requests/s, fault at %s, seed %d\n", shape.Name, load.Rate, faultAt, load.Seed)
	fmt.Fprintln(&out, "| fault | policy | recovered after | share met | broken | retries/request |")
	fmt.Fprintln(&out, "|---|---|---|---|---|---|")
	for _, f := range faults {
		for _, v := range Variants() {
			r := Run(shape, load, v, Fault{At: faultAt, Do: f.inject})
			recovered := "not in the run"
			if d, ok := r.Recovery(faultAt); ok {
				recovered = d.String()
			}
			fmt.Fprintf(&out, "| %s | %s | %s | %.3f | %d | %.4f |\n", f.name, v.Name, recovered, r.Share(), r.Broken, r.Retries)
		}
	}
	return out.String()
}

// Recovery returns the time from a fault until the share of urgent requests that
// met their goals, over three seconds, is again at least 95% of that in the ten
// seconds before the fault. It returns false if that did not happen in the run.
func (r *Result) Recovery(at time.Duration) (time.Duration, bool) {
	start := int(at / time.Second)
	before := share(r.Seconds[max(start-10, 0):start])
	for t := start; t+3 < len(r.Seconds); t++ {
		if share(r.Seconds[t:t+3]) >= 0.95*before {
			return time.Duration(t-start) * time.Second, true
		}
	}
	return 0, false
}

// share returns the share of urgent requests that met their goals.
func share(seconds []Second) float64 {
	asked, met := 0, 0
	for _, s := range seconds {
		asked += s.Asked
		met += s.Met
	}
	return ratio(met, asked)
}
