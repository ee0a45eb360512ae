package directrequest

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The cost model of an engine. Its figures are those of a target whose speed
// is not known yet; what a target really does corrects them (target.slow).
const (
	// prefillPerMS and decodePerMS are prompt tokens read in a millisecond by
	// an engine that prefills, and by one that decodes and reads beside it.
	prefillPerMS = 46.0
	decodePerMS  = 23.0
	// attentionMS is the time in milliseconds for a million pairs of tokens.
	attentionMS = 0.25
	// firstToken is the time of a request without any prompt to read.
	firstToken = 18 * time.Millisecond
	// streamDelay is what each stream of an engine adds to the first token of
	// the next, and streamTime how long a stream takes.
	streamDelay = time.Millisecond
	streamTime  = 500 * time.Millisecond
	// hop is the time for a request to reach its target.
	hop = 2 * time.Millisecond
	// transferSetup is the fixed part of a transfer between engines.
	transferSetup = 4 * time.Millisecond
	// farTransfer is how much longer one between failure domains takes.
	farTransfer = 2
)

// readTime is the time in which an engine reads a prompt of which it holds
// the first cached tokens.
func readTime(role msg.Role, prompt, cached int) time.Duration {
	rate := prefillPerMS
	if role == msg.RoleDecode {
		rate = decodePerMS
	}
	left := float64(max(prompt-cached, 0))
	pairs := left * (float64(cached) + left/2) / 1e6
	return time.Duration((left/rate + pairs*attentionMS) * float64(time.Millisecond))
}

// transferTime is the time in which KV cache moves between two engines.
func transferTime(spec *msg.EngineSpec, tokens int, far bool) time.Duration {
	if spec == nil || spec.LinkMbps <= 0 || tokens == 0 {
		return 0
	}
	bits := float64(tokens) * spec.TokenBytes * 8
	d := time.Duration(bits / (spec.LinkMbps * 1e6) * float64(time.Second))
	if far {
		d *= farTransfer
	}
	return transferSetup + d
}
