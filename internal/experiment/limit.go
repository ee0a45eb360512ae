package experiment

import (
	"slices"
	"time"
)

// limitWindow is the length of the windows for which the limit of the fleet is computed.
const limitWindow = 2 * time.Second

// limit returns an upper bound of the number of requests whose first token any placement
// can have in time, with all arrivals known beforehand.
//
// Requests that arrive in a window must be prefilled between its start and the objective
// after its end. Each takes the time in which an engine reads the part of the prompt that
// is its own, as if everything else were cached everywhere and steps, decoding, transfers
// and crashed engines took no time. Of each window the requests with the least work count,
// so that the bound holds for any choice, and is not reached.
func (sim *simulation) limit(drawn []*request) int {
	windows := make(map[time.Duration][]*request)
	for _, r := range drawn {
		w := r.arrivesAt / limitWindow
		windows[w] = append(windows[w], r)
	}
	n := 0
	for _, list := range windows {
		n += sim.limitOf(list)
	}
	return n
}

// limitOf returns the bound for the requests of one window.
func (sim *simulation) limitOf(list []*request) int {
	var works []time.Duration
	var objective time.Duration
	for _, r := range list {
		works = append(works, sim.spec.Engines.leastWork(r))
		objective = max(objective, sim.spec.Kinds[r.kind].Objective)
	}
	slices.Sort(works)
	var capacity time.Duration
	for _, e := range sim.engines {
		capacity += time.Duration(float64(limitWindow+objective) / e.lastingFactor)
	}
	for i, w := range works {
		capacity -= w
		if capacity < 0 {
			return i
		}
	}
	return len(works)
}

// leastWork returns the shortest time in which an engine can prefill a prompt of which all
// but the last segment is cached.
func (s *EngineSpec) leastWork(r *request) time.Duration {
	own := r.segments[len(r.segments)-1].Tokens
	cached := r.promptTokens - own
	pairs := float64(own) * (float64(cached) + float64(own)/2) / 1e6
	return time.Duration((float64(own)/s.PrefillPerMS + pairs*s.PairsMS) * float64(time.Millisecond))
}
