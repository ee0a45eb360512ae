package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// engineLoad is the engine's response to GET /v1/load.
type engineLoad struct {
	Role          string        `json:"role"`
	Models        []engineModel `json:"models"`
	Running       int           `json:"running"`
	Queued        int           `json:"queued"`
	PrefillTokens int           `json:"prefillTokens"`
	KVUsed        int           `json:"kvUsed"`
	KVTotal       int           `json:"kvTotal"`
	PrefillRate   float32       `json:"prefillRate"`
	StepMicros    int64         `json:"stepMicros"`
	MaxBatch      int           `json:"maxBatch"`
	Order         msg.OrderID   `json:"order"`
	Epoch         msg.Epoch     `json:"epoch"`
	Changing      bool          `json:"changing"`
}

type engineModel struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
}

func (l *engineLoad) loadReport() msg.LoadReport {
	r := msg.LoadReport{
		Role: parseRole(l.Role), Running: l.Running, Queued: l.Queued,
		PrefillTokens: l.PrefillTokens, KVUsed: l.KVUsed, KVTotal: l.KVTotal,
		PrefillRate: l.PrefillRate, StepTime: time.Duration(l.StepMicros) * time.Microsecond,
		MaxBatch: l.MaxBatch, Order: l.Order,
	}
	if l.Changing {
		r.Phase = msg.PhaseChanging
	}
	for _, m := range l.Models {
		r.Models = append(r.Models, msg.LoadedModel{Model: m.Model, Version: m.Version, Adapters: m.Adapters})
	}
	return r
}

func parseRole(s string) msg.Role {
	switch s {
	case "prefill":
		return msg.RolePrefill
	case "decode":
		return msg.RoleDecode
	}
	return msg.RoleMixed
}

func (e *engineClient) read(ctx context.Context) (msg.TargetRead, error) {
	var l engineLoad
	if err := getJSON(ctx, e.http, e.base+"/v1/load", &l); err != nil {
		return msg.TargetRead{}, err
	}
	return msg.TargetRead{Report: l.loadReport(), Epoch: l.Epoch}, nil
}

func (e *engineClient) cacheEvents(ctx context.Context, after uint64) ([]msg.CacheEvent, error) {
	var response struct {
		Events []struct {
			Seq     uint64   `json:"seq"`
			Removed bool     `json:"removed"`
			Pieces  []string `json:"pieces"`
		} `json:"events"`
	}
	if err := getJSON(ctx, e.http, e.base+"/v1/cache-events?after="+strconv.FormatUint(after, 10), &response); err != nil {
		return nil, err
	}
	out := make([]msg.CacheEvent, 0, len(response.Events))
	for _, ev := range response.Events {
		ce := msg.CacheEvent{Seq: ev.Seq, Removed: ev.Removed}
		for _, p := range ev.Pieces {
			h, err := strconv.ParseUint(p, 16, 64)
			if err != nil {
				return nil, errors.Wrap(err, "cache event")
			}
			ce.Blocks = append(ce.Blocks, msg.BlockHash(h))
		}
		out = append(out, ce)
	}
	return out, nil
}

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	ID      msg.OrderID `json:"id"`
	Epoch   msg.Epoch   `json:"epoch"`
	Kind    string      `json:"kind"`
	Role    string      `json:"role,omitempty"`
	Model   string      `json:"model,omitempty"`
	Version string      `json:"version,omitempty"`
	Adapter string      `json:"adapter,omitempty"`
}

func (e *engineClient) apply(ctx context.Context, o msg.Order) msg.OrderApplied {
	body, err := json.Marshal(engineOrder{
		ID: o.ID, Epoch: o.Epoch, Kind: o.Kind.String(), Role: o.Role.String(),
		Model: o.Model, Version: o.Version, Adapter: o.Adapter,
	})
	if err != nil {
		return msg.OrderApplied{Order: o.ID, Status: msg.OrderFailed, Reason: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return msg.OrderApplied{Order: o.ID, Status: msg.OrderFailed, Reason: err.Error()}
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return msg.OrderApplied{Order: o.ID, Status: msg.OrderUnknown, Reason: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return msg.OrderApplied{Order: o.ID, Status: orderStatus(resp.StatusCode, b), Reason: strings.TrimSpace(string(b))}
}

func orderStatus(code int, body []byte) msg.OrderStatus {
	switch {
	case code == http.StatusOK:
		return msg.OrderDone
	case code == http.StatusConflict && bytes.Contains(body, []byte("stale-epoch")):
		return msg.OrderStale
	case code == http.StatusConflict:
		return msg.OrderBusy
	}
	return msg.OrderFailed
}
