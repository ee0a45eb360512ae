package metrics

import (
	"cmp"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// maxAccounts is the largest number of client accounts with their own label value.
const maxAccounts = 50

// Label values for several accounts, for no account and for unknown values.
const (
	labelOther   = "other"
	labelNone    = "none"
	labelUnknown = "unknown"
)

// accountLabels is the set of client accounts with their own label value: those
// with the greatest weights.
type accountLabels map[string]bool

func newAccountLabels(m *manifest.Manifest) accountLabels {
	list := make([]manifest.Account, len(m.Accounts))
	copy(list, m.Accounts)
	slices.SortFunc(list, func(a, b manifest.Account) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Name, b.Name))
	})
	labels := make(accountLabels)
	for _, a := range list[:min(len(list), maxAccounts)] {
		labels[a.Name] = true
	}
	return labels
}

// labelOf returns the label value of an account.
func (l accountLabels) labelOf(account msg.AccountID) string {
	switch {
	case account == "":
		return labelNone
	case l[string(account)]:
		return string(account)
	}
	return labelOther
}

var callStatusLabels = [...]string{"ok", "conflict", "not-found", "rejected", "unavailable", "unknown"}

var attemptResultLabels = [...]string{"done", "not-run", "failed", "crashed", "lost", "cancelled", "moved"}

var claimStatusLabels = [...]string{"granted", "done", "running", "mismatch", "unknown", "unavailable"}

var logLevelLabels = [...]string{"info", "debug", "warn", "error"}

// label returns the label value of an enumeration value.
func label[T ~uint8](names []string, v T) string {
	if int(v) < len(names) {
		return names[v]
	}
	return labelUnknown
}
