package usage

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// Window is a frozen window of one client account, as operators see it.
type Window struct {
	Account  msg.AccountID `json:"account"`
	Window   time.Time     `json:"window"`
	Length   string        `json:"length"`
	FrozenAt time.Time     `json:"frozenAt"`
	// Reported says that the usage interface has taken the figures.
	Reported        bool  `json:"reported"`
	Requests        int64 `json:"requests"`
	PromptTokens    int64 `json:"promptTokens"`
	CachedTokens    int64 `json:"cachedTokens"`
	GeneratedTokens int64 `json:"generatedTokens"`
	// Late tokens belong to earlier windows.
	LatePromptTokens    int64 `json:"latePromptTokens"`
	LateGeneratedTokens int64 `json:"lateGeneratedTokens"`
}

// Windows returns the frozen windows among objects of kind usage, as they
// stand in the object API. An empty account selects all.
func Windows(objects []msg.Object, account msg.AccountID) []Window {
	reported := make(map[string]time.Time)
	for _, o := range objects {
		var p progress
		if shard, ok := strings.CutPrefix(o.Name, progressRoot); ok && unwrap(o, &p) {
			reported[shard] = p.NextReport
		}
	}
	out := []Window{}
	for _, o := range objects {
		var f frozen
		rest, ok := strings.CutPrefix(o.Name, frozenPrefix)
		if !ok || !unwrap(o, &f) {
			continue
		}
		shard, _, _ := strings.Cut(rest, "/")
		out = append(out, f.windows(account, f.Window.Before(reported[shard]))...)
	}
	return out
}

func (f frozen) windows(account msg.AccountID, reported bool) []Window {
	var out []Window
	for _, g := range f.Figures {
		if account != "" && g.Account != account {
			continue
		}
		out = append(out, Window{
			Account: g.Account, Window: f.Window, Length: f.Length.String(), FrozenAt: f.At, Reported: reported,
			Requests: g.Requests, PromptTokens: g.Usage.Prompt, CachedTokens: g.Usage.Cached, GeneratedTokens: g.Usage.Generated,
			LatePromptTokens: g.Late.Prompt, LateGeneratedTokens: g.Late.Generated,
		})
	}
	return out
}

// unwrap decodes the body of a stored object.
func unwrap(o msg.Object, v any) bool {
	var env store.Envelope
	return json.Unmarshal(o.Value, &env) == nil && json.Unmarshal(env.Body, v) == nil
}
