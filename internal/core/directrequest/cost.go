package directrequest

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Parameters of the cost model, which estimates how long an engine takes. They
// describe an engine whose speed has not been observed yet. For other engines,
// target.slowdown corrects the estimate by the observed times.
const (
	// prefillTokensPerMS is the prefill speed of an engine in prompt tokens per
	// millisecond. prefillTokensPerMSDecode applies instead to a decode engine,
	// which prefills while it decodes other requests.
	prefillTokensPerMS       = 46.0
	prefillTokensPerMSDecode = 23.0
	// attentionMSPerMillionPairs is the time of attention in milliseconds for
	// one million pairs of tokens.
	attentionMSPerMillionPairs = 0.25
	// firstTokenBase is the time to the first token of a request that has no
	// prompt to prefill.
	firstTokenBase = 18 * time.Millisecond
	// firstTokenPerStream is the time that each open stream of an engine adds
	// to the first token of the next request. streamDuration is the assumed
	// duration of a stream.
	firstTokenPerStream = time.Millisecond
	streamDuration      = 500 * time.Millisecond
	// sendTime is the time in which a request reaches its target.
	sendTime = 2 * time.Millisecond
	// transferSetup is the fixed part of the time of a KV cache transfer
	// between two engines.
	transferSetup = 4 * time.Millisecond
	// crossDomainFactor multiplies the part of a transfer's time that depends on
	// its size if the two engines are in different failure domains.
	crossDomainFactor = 2
)

// prefillTime estimates how long an engine takes to prefill a prompt. The
// parameter prompt is the length of the prompt in tokens, and cached the length
// of its prefix that the engine has in its cache.
func prefillTime(role msg.Role, prompt, cached int) time.Duration {
	rate := prefillTokensPerMS
	if role == msg.RoleDecode {
		rate = prefillTokensPerMSDecode
	}
	remaining := float64(max(prompt-cached, 0))
	pairs := remaining * (float64(cached) + remaining/2) / 1e6
	return time.Duration((remaining/rate + pairs*attentionMSPerMillionPairs) * float64(time.Millisecond))
}

// transferTime estimates how long the transfer of KV cache between two engines
// takes.
func transferTime(spec *msg.EngineSpec, tokens int, crossDomain bool) time.Duration {
	if spec == nil || spec.LinkMbps <= 0 || tokens == 0 {
		return 0
	}
	bits := float64(tokens) * spec.TokenBytes * 8
	d := time.Duration(bits / (spec.LinkMbps * 1e6) * float64(time.Second))
	if crossDomain {
		d *= crossDomainFactor
	}
	return transferSetup + d
}
