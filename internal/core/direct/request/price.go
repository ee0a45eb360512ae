package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/prefilltime"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The cost of a candidate is the time until the request's first token, plus what the
// placement costs others. Among prefill engines a prefill counts with its usual duration,
// not with that at the engine's speed: if all daemons preferred fast engines for each
// prompt, they would leave the prefixes that other engines have cached. The speed counts
// in the wait for earlier work. Engines that decode are charged for the delay of their
// streams instead.

// copyCost returns the cost of another copy of a cached prefix at an engine. The copy takes
// the place of others' prefixes, which are prefilled again.
func (s *stepContext) copyCost(e *prefilltime.Estimator, tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return time.Duration(s.policy.CopyCost * float64(e.Prefill(prefilltime.WorkOf(msg.RolePrefill, tokens, 0))))
}
