package targetspeed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Unsent returns what this daemon has observed since the last call, at most limit
// targets. The rest is returned by later calls, the targets with the newest paces first.
func (t *Tracker) Unsent(now msg.Time, limit int) []msg.TargetSpeed {
	var ids []msg.TargetID
	for id, sp := range t.targets {
		if sp.unsentWeight > 0 || sp.unsentPace {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b msg.TargetID) int {
		return cmp.Or(cmp.Compare(t.targets[b].paceAt, t.targets[a].paceAt), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), limit)]
	list := make([]msg.TargetSpeed, 0, len(ids))
	for _, id := range ids {
		sp := t.targets[id]
		out := message(id, sp.unsentSum, sp.unsentWeight)
		if sp.unsentPace {
			out.PacePercent = percent(sp.pace)
			out.PaceAgeMS = (now - sp.paceAt).Milliseconds()
		}
		sp.unsentSum, sp.unsentWeight, sp.unsentPace = 0, 0, false
		list = append(list, out)
	}
	return list
}

// Known returns all that is known of the targets, for a daemon that has started and knows
// nothing.
func (t *Tracker) Known(now msg.Time) []msg.TargetSpeed {
	var list []msg.TargetSpeed
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		sp := t.targets[id]
		sp.ratios.decay(now)
		sp.paces.decay(now)
		if sp.ratios.weight+sp.paces.weight < minKnownWeight {
			continue
		}
		out := message(id, sp.ratios.sum, sp.ratios.weight)
		if sp.paces.weight > 0 {
			out.PacePercent = percent(math.Exp(sp.paces.sum / sp.paces.weight))
		}
		list = append(list, out)
	}
	return list
}

// minKnownWeight is the least weight of what is known of a target that is sent.
const minKnownWeight = 1

func percent(v float64) uint16 { return uint16(math.Round(100 * v)) }

func message(id msg.TargetID, sum, weight float64) msg.TargetSpeed {
	m := msg.TargetSpeed{Target: id, Weight: float32(weight)}
	if weight > 0 {
		m.Factor = float32(math.Exp(sum / weight))
	}
	return m
}

// maxPaceAgeMS limits the age of a pace in a message, so that its duration does not
// overflow.
const maxPaceAgeMS = int64(24 * time.Hour / time.Millisecond)

// Merge adds what another daemon has observed. Each observation is sent once, so that
// none counts twice.
func (t *Tracker) Merge(now msg.Time, list []msg.TargetSpeed) {
	for _, m := range list {
		sp := t.targets[m.Target]
		if sp == nil {
			continue
		}
		// A NaN fails both conditions.
		if f, w := float64(m.Factor), float64(m.Weight); f > 0 && w > 0 {
			sp.ratios.add(now, math.Log(clampFactor(f)), min(w, maxWeight), maxWeight)
		}
		at := now - time.Duration(min(max(m.PaceAgeMS, 0), maxPaceAgeMS))*time.Millisecond
		if m.PacePercent > 0 && at >= sp.paceAt {
			sp.report(at, clampFactor(float64(m.PacePercent)/100))
			sp.unsentPace = false
		}
	}
}

// updateMeans computes the means of the services. Targets count by how well they are known.
func (t *Tracker) updateMeans(now msg.Time) {
	type sums struct{ ratios, paces average }
	means := make(map[msg.ServiceID]sums)
	// The order fixes the rounding of the sums.
	for _, id := range slices.Sorted(maps.Keys(t.targets)) {
		sp := t.targets[id]
		m := means[sp.service]
		m.ratios.addMean(now, &sp.ratios, ratioPrior)
		m.paces.addMean(now, &sp.paces, pacePrior)
		means[sp.service] = m
	}
	clear(t.services)
	for id, m := range means {
		t.services[id] = center{m.ratios.mean(now, 0, tinyPrior), m.paces.mean(now, 0, tinyPrior)}
	}
}

// tinyPrior keeps a mean without observations from being a division by zero.
const tinyPrior = 1e-6

// addMean adds the mean of another average, weighted by how well it is known.
func (a *average) addMean(now msg.Time, other *average, prior float64) {
	other.decay(now)
	if other.weight <= 0 {
		return
	}
	share := other.weight / (other.weight + prior)
	a.sum += share * other.sum / other.weight
	a.weight += share
	a.at = now
}
