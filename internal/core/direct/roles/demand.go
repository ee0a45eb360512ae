package roles

import (
	"math"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// decodeDemand holds moving averages of the number of running streams of a
// service and of the KV cache that they occupy, in tokens.
type decodeDemand struct{ streams, tokens float64 }

func (c *Controller) onDemandUpdated(ev msg.DecodeDemandUpdated) {
	d := c.demand[ev.Service]
	if d == nil {
		d = &decodeDemand{}
		c.demand[ev.Service] = d
	}
	d.streams = smoothDemand(d.streams, float64(ev.Streams))
	d.tokens = smoothDemand(d.tokens, float64(ev.Tokens))
}

// smoothDemand returns the new moving average of a demand. It follows a rise within
// seconds, because a role change for a spike of short streams costs more than it
// brings, and a fall more slowly.
func smoothDemand(old, v float64) float64 {
	if v > old {
		return old + demandRiseWeight*(v-old)
	}
	return old + demandFallWeight*(v-old)
}

// neededDecoders returns the number of engines that should decode.
func (c *Controller) neededDecoders(spec *msg.EngineSpec, id msg.ServiceID, list []msg.Instance) int {
	need := math.Ceil(c.cfg.Policy.DecodeShare * float64(len(list)))
	if d := c.demand[id]; d != nil {
		need = max(need, math.Ceil(d.streams/(maxStreamSlotShare*float64(max(spec.Slots, 1)))))
		need = max(need, math.Ceil(d.tokens/(maxStreamCacheShare*float64(max(spec.CacheTokens, 1)))))
	}
	return min(max(int(need), c.cfg.Policy.MinDecoding), len(list)-1)
}
