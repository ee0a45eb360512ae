package quota

import (
	"cmp"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// maxReported is the number of accounts whose use is reported by name.
const maxReported = 5

// report returns what the accounts have used since the last report, once in usePeriod.
func (h *Holder) report(now msg.Time) *msg.QuotaUsed {
	period := now - h.reportedAt
	if period < usePeriod {
		return nil
	}
	h.reportedAt = now
	var list []msg.QuotaUse
	for _, a := range h.accounts {
		if !h.refresh(now, a) {
			continue
		}
		list = append(list, msg.QuotaUse{
			Account: a.id, PerSecond: max(a.used, 0) / period.Seconds(),
			Allowed: a.terms.perSecond, Denied: a.refused,
		})
		a.used, a.refused = 0, 0
	}
	slices.SortFunc(list, func(a, b msg.QuotaUse) int {
		return cmp.Or(cmp.Compare(b.PerSecond/b.Allowed, a.PerSecond/a.Allowed), cmp.Compare(a.Account, b.Account))
	})
	used := &msg.QuotaUsed{Period: period, Largest: list[:min(maxReported, len(list))]}
	for _, u := range list[len(used.Largest):] {
		used.Rest.PerSecond += u.PerSecond
		used.Rest.Allowed += u.Allowed
		used.Rest.Denied += u.Denied
	}
	return used
}
