package request

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/direct/prefilltime"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// The cost of a candidate adds to the time that the request itself needs what its
// placement costs others. Prefills are ranked by their usual duration, whatever the speed
// of the engine, which counts by the time that its work keeps others waiting: if all
// daemons preferred fast engines for each prompt, they would leave the prefixes that
// other engines have cached.

// copyCost returns the cost of another copy of a cached prefix at an engine. The copy takes
// the place of others' prefixes, which are prefilled again.
func (s *stepContext) copyCost(e *prefilltime.Estimator, tokens int) time.Duration {
	if tokens <= 0 {
		return 0
	}
	return time.Duration(s.policy.CopyCost * float64(e.Prefill(prefilltime.WorkOf(msg.RolePrefill, tokens, 0))))
}
