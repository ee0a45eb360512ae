package usage

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/store"
)

// Window describes the frozen usage of one client account in one window to
// operators.
type Window struct {
	Account  msg.AccountID `json:"account"`
	Window   time.Time     `json:"window"`
	Length   string        `json:"length"`
	FrozenAt time.Time     `json:"frozenAt"`
	// Reported is set once the usage interface has accepted the usage.
	Reported        bool  `json:"reported"`
	Requests        int64 `json:"requests"`
	PromptTokens    int64 `json:"promptTokens"`
	CachedTokens    int64 `json:"cachedTokens"`
	GeneratedTokens int64 `json:"generatedTokens"`
	// LatePromptTokens and LateGeneratedTokens belong to earlier windows.
	LatePromptTokens    int64 `json:"latePromptTokens"`
	LateGeneratedTokens int64 `json:"lateGeneratedTokens"`
}

// Windows returns the frozen windows of a client account from the stored
// objects of kind usage. An empty account selects all accounts.
func Windows(objects []msg.Object, account msg.AccountID) []Window {
	reported := make(map[string]time.Time)
	for _, o := range objects {
		var p progress
		if shard, ok := strings.CutPrefix(o.Name, progressPrefix); ok && decodeEnvelope(o, &p) {
			reported[shard] = p.NextReport
		}
	}
	out := []Window{}
	for _, o := range objects {
		var f frozenWindow
		rest, ok := strings.CutPrefix(o.Name, frozenPrefix)
		if !ok || !decodeEnvelope(o, &f) {
			continue
		}
		shard, _, _ := strings.Cut(rest, "/")
		out = append(out, f.windows(account, f.Window.Before(reported[shard]))...)
	}
	return out
}

func (f frozenWindow) windows(account msg.AccountID, reported bool) []Window {
	var out []Window
	for _, u := range f.Accounts {
		if account != "" && u.Account != account {
			continue
		}
		out = append(out, Window{
			Account: u.Account, Window: f.Window, Length: f.Length.String(), FrozenAt: f.At, Reported: reported,
			Requests: u.Requests, PromptTokens: u.Usage.Prompt, CachedTokens: u.Usage.Cached, GeneratedTokens: u.Usage.Generated,
			LatePromptTokens: u.Late.Prompt, LateGeneratedTokens: u.Late.Generated,
		})
	}
	return out
}

// decodeEnvelope decodes the body of a stored object.
func decodeEnvelope(o msg.Object, v any) bool {
	var env store.Envelope
	return json.Unmarshal(o.Value, &env) == nil && json.Unmarshal(env.Body, v) == nil
}
