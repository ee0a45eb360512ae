package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// popularityExponent is the exponent of the power law by which requests choose
// among the shared segments. A larger one makes the choice more uneven.
const popularityExponent = 0.3

// maxSizeRatio is the largest ratio of a size to the mean size.
const maxSizeRatio = 4

// request is a client request including its retry.
type request struct {
	sim  *simulation
	kind int
	// arrivesAt is when the request arrives, from the end of the warm-up on.
	arrivesAt    time.Duration
	arrivedAt    time.Duration
	entry        *entry
	segments     []msg.PromptSegment
	promptTokens int
	outputTokens int
	attempts     int
	// uncounted is set if the request's outcome does not count.
	uncounted    bool
	firstTokenAt time.Duration
}

// routeTable returns the configuration: a public route for each kind.
func (s *Spec) routeTable() *msg.RouteTable {
	t := &msg.RouteTable{Version: 1, Services: []msg.DirectService{{Service: serviceID, Engine: &msg.EngineSpec{
		Slots: s.Engines.Slots, CacheTokens: s.Engines.CacheTokens,
		TokenBytes: s.Engines.TokenBytes, LinkMbps: s.Engines.LinkMbps,
	}}}}
	for _, k := range s.Kinds {
		t.Routes = append(t.Routes, msg.DirectRoute{
			Name: msg.RouteID(k.Name), Host: "h", Prefix: "/" + k.Name + "/", Public: true,
			Shares: []msg.ServiceShare{{Service: serviceID, Weight: 1}}, Retry: msg.RetryStream,
			Attempts: 1, Timeout: k.Timeout, Objective: k.Objective, Priority: k.Priority,
		})
	}
	return t
}

// kindSizes holds the sizes of the segments that the prompts of a kind share.
type kindSizes struct{ common, shared []int }

// scheduleRequests draws the arrivals of each kind from a Poisson process whose
// rate follows the swings.
func (sim *simulation) scheduleRequests() {
	for i := range sim.spec.Kinds {
		k := &sim.spec.Kinds[i]
		sizes := kindSizes{
			common: sim.drawSizes(k.Common, k.CommonTokens, k.Spread),
			shared: sim.drawSizes(k.Shared, k.SharedTokens, k.Spread),
		}
		var t time.Duration
		for {
			t += time.Duration(sim.rand.ExpFloat64() / (k.Rate * sim.spec.rateFactor(k.Name, t)) * float64(time.Second))
			if t >= sim.spec.Duration {
				break
			}
			req := sim.drawRequest(i, sizes)
			req.arrivesAt = t
			sim.drawn = append(sim.drawn, req)
			sim.at(warmUpTime+t, req.arrive)
		}
	}
}

// drawSizes draws n sizes.
func (sim *simulation) drawSizes(n int, mean, spread float64) []int {
	sizes := make([]int, n)
	for i := range sizes {
		sizes[i] = sim.drawSize(mean, spread)
	}
	return sizes
}

// rateFactor returns the factor of a kind's arrival rate at time t.
func (s *Spec) rateFactor(kind string, t time.Duration) float64 {
	f := 1.0
	for _, sw := range s.Swings {
		if sw.Kind == kind && t >= sw.At && t < sw.At+sw.For {
			f *= sw.Factor
		}
	}
	return f
}

// drawSize draws a size from a log-normal distribution with the given mean. Sizes
// are limited to maxSizeRatio times the mean.
func (sim *simulation) drawSize(mean, spread float64) int {
	v := mean * math.Exp(spread*sim.rand.NormFloat64()-spread*spread/2)
	return max(int(min(v, maxSizeRatio*mean)), 1)
}

// drawRequest draws a request of a kind.
func (sim *simulation) drawRequest(kind int, sizes kindSizes) *request {
	k := &sim.spec.Kinds[kind]
	// Inverse transform sampling of a power law over the shared segments.
	n := min(int(float64(k.Shared)*math.Pow(sim.rand.Float64(), 1/(1-popularityExponent))), k.Shared-1)
	own := sim.drawSize(k.OwnTokens, k.Spread)
	id := uint64(kind+1) << 32
	var segments []msg.PromptSegment
	if len(sizes.common) > 0 {
		first := n % len(sizes.common)
		segments = append(segments, msg.PromptSegment{ID: id<<8 + uint64(first), Tokens: sizes.common[first]})
	}
	segments = append(segments,
		msg.PromptSegment{ID: id + uint64(n), Tokens: sizes.shared[n]},
		msg.PromptSegment{ID: id<<16 + uint64(sim.nextSeq()), Tokens: own},
	)
	req := &request{sim: sim, kind: kind, segments: segments, outputTokens: sim.drawOutput(k)}
	for _, seg := range segments {
		req.promptTokens += seg.Tokens
	}
	return req
}

// drawOutput draws the number of tokens of an answer. Its first event holds one token.
func (sim *simulation) drawOutput(k *Kind) int {
	events := max(sim.drawSize(k.Events, 1), 1)
	return 1 + (events-1)*sim.spec.Engines.EventTokens
}

func (req *request) arrive() {
	req.arrivedAt = req.sim.now
	if req.kind == 0 && req.sim.rand.Float64() < req.sim.crashingShare {
		req.addCrashingSegment()
	}
	req.send()
}

// send sends the request to a random entry.
func (req *request) send() {
	req.attempts++
	req.firstTokenAt = 0
	k := &req.sim.spec.Kinds[req.kind]
	req.entry = req.sim.entries[req.sim.rand.IntN(len(req.sim.entries))]
	id := msg.RequestID(fmt.Sprintf("%d", req.sim.nextSeq()))
	req.entry.openRequests[id] = req
	req.entry.step(msg.DirectRequestArrived{
		Req: id, CallerID: string(id), Host: "h", Method: "POST", Path: "/" + k.Name + "/x", BodyHash: req.segments[len(req.segments)-1].ID,
		Timeout: k.Timeout - (req.sim.now - req.arrivedAt), PromptTokens: req.promptTokens, MaxTokens: req.outputTokens, Segments: req.segments,
	})
}

// addCrashingSegment makes the request one that crashes engines. Nobody misses its
// answer.
func (req *request) addCrashingSegment() {
	own := req.segments[len(req.segments)-1]
	req.segments = []msg.PromptSegment{req.segments[0], {ID: crashingSegment, Tokens: 1}, own}
	req.promptTokens++
	req.uncounted = true
}

// recordFirstToken records the time of the first token, unless it is known.
func (req *request) recordFirstToken() {
	if req.firstTokenAt == 0 {
		req.firstTokenAt = req.sim.now
	}
}

// complete counts the answer. If its first token was not reported, the time of its
// end counts as the time of the first token.
func (req *request) complete() {
	if req.firstTokenAt == 0 {
		req.firstTokenAt = req.sim.now
	}
	if !req.uncounted {
		req.sim.result.countAnswer(req, req.firstTokenAt-req.arrivedAt)
	}
}

func (req *request) fail() { req.countUnanswered(func(k *KindResult) { k.Failed++ }) }

// countUnanswered counts the request as one without an answer.
func (req *request) countUnanswered(f func(*KindResult)) {
	if !req.uncounted {
		req.sim.result.countUnanswered(req, f)
	}
}

// retryOrRefuse retries the request once, after the given delay, if the status is
// 503 and the request has not timed out by then. Otherwise it counts a refusal.
func (req *request) retryOrRefuse(status int, after time.Duration) {
	k := &req.sim.spec.Kinds[req.kind]
	if status != 503 || req.attempts > 1 || req.sim.now+after-req.arrivedAt >= k.Timeout {
		req.countUnanswered(func(k *KindResult) {
			k.Refused++
			if req.attempts > 1 {
				k.RefusedAgain++
			}
		})
		return
	}
	req.sim.after(after, req.send)
}
