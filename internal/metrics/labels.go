package metrics

import (
	"cmp"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// maxAccounts bounds the client accounts with a label of their own.
const maxAccounts = 50

// Labels that stand for many values or none.
const (
	labelOther   = "other"
	labelNone    = "none"
	labelUnknown = "unknown"
)

// accountLabels holds the accounts with a label of their own: those of the
// greatest weight.
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

func (l accountLabels) of(account msg.AccountID) string {
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

// label returns the name of an enumerated value.
func label[T ~uint8](names []string, v T) string {
	if int(v) < len(names) {
		return names[v]
	}
	return labelUnknown
}
