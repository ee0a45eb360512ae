package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// Order is the request body of POST /v1/orders.
type Order struct {
	ID      string `json:"id"`
	Epoch   uint64 `json:"epoch"`
	Kind    string `json:"kind"`
	Role    string `json:"role,omitempty"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Kinds of orders.
const (
	KindLoadModel   = "load-model"
	KindLoadAdapter = "load-adapter"
	KindSetRole     = "set-role"
)

type orderResponse struct {
	Status string `json:"status"`
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid-json", err.Error())
		return
	}
	if !validOrder(o) {
		writeError(w, http.StatusBadRequest, "invalid-order", "unknown kind or role")
		return
	}
	done, code := s.beginOrder(o)
	if done {
		writeJSON(w, http.StatusOK, orderResponse{"done"})
		return
	}
	if code != "" {
		writeError(w, http.StatusConflict, code, "the order is not executed")
		return
	}
	// The order continues if the client disconnects; only a crash ends it.
	run := s.faults.RunContext()
	ok := s.execute(run, o)
	s.finishOrder(w, o, ok && run.Err() == nil)
}

func validOrder(o Order) bool {
	switch o.Kind {
	case KindLoadModel, KindLoadAdapter:
		return o.Model != ""
	case KindSetRole:
		return o.Role == "mixed" || o.Role == "prefill" || o.Role == "decode"
	}
	return false
}

// beginOrder reports whether the order has already been executed, or returns
// an error code if it can't be executed now. Orders other than adapter loads
// cancel the running attempts.
func (s *Server) beginOrder(o Order) (bool, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFencing && o.Epoch < s.epoch {
		return false, "stale-epoch"
	}
	if s.appliedOrders[o.ID] {
		return true, ""
	}
	if s.changing {
		return false, "busy"
	}
	s.epoch = max(s.epoch, o.Epoch)
	if o.Kind == KindSetRole && o.Role == s.role {
		s.recordOrder(o) // The engine has the role already.
		return true, ""
	}
	s.changing = true
	if o.Kind != KindLoadAdapter {
		s.cancelRunning()
	}
	return false, ""
}

// cancelRunning cancels all running attempts, which can't continue through a
// role change or a model load.
func (s *Server) cancelRunning() {
	s.stats.CancelledByOrder += len(s.running)
	for _, a := range s.running {
		a.cancel()
	}
}

// execute waits for the execution time of the order. It reports whether the
// order succeeded.
func (s *Server) execute(ctx context.Context, o Order) bool {
	if o.Kind == KindSetRole {
		return s.sleep(ctx, s.cfg.RoleChangeTime)
	}
	return s.fetchWeights(ctx, o) && s.sleep(ctx, s.cfg.LoadTime)
}

func (s *Server) fetchWeights(ctx context.Context, o Order) bool {
	if s.cfg.WeightStore == "" {
		return true
	}
	u := s.cfg.WeightStore + "/v1/weights/" + url.PathEscape(o.Model) + "/" + url.PathEscape(o.Version)
	if o.Adapter != "" {
		u += "?adapter=" + url.QueryEscape(o.Adapter)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *Server) finishOrder(w http.ResponseWriter, o Order, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changing = false
	if !ok {
		writeError(w, http.StatusServiceUnavailable, "order-failed", "the order had no effect")
		return
	}
	s.apply(o)
	writeJSON(w, http.StatusOK, orderResponse{"done"})
}

// recordOrder records an order that has been executed.
func (s *Server) recordOrder(o Order) {
	s.appliedOrders[o.ID] = true
	s.lastOrder = o.ID
	s.stats.Orders = append(s.stats.Orders, ExecutedOrder{o.ID, o.Kind, o.Epoch})
}

func (s *Server) apply(o Order) {
	s.recordOrder(o)
	switch o.Kind {
	case KindSetRole:
		s.role = o.Role
	case KindLoadModel:
		s.models = []Model{{Model: o.Model, Version: o.Version}}
	case KindLoadAdapter:
		s.addAdapter(o)
	}
	if o.Kind != KindLoadAdapter {
		s.cache.clear(time.Now())
	}
}

func (s *Server) addAdapter(o Order) {
	for i := range s.models {
		if s.models[i].Model == o.Model {
			s.models[i].Adapters = append(append([]string{}, s.models[i].Adapters...), o.Adapter)
			return
		}
	}
}
