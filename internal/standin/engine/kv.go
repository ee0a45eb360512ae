package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// kvExport represents the KV cache of a prompt.
type kvExport struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
}

func (s *Server) keepExport(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvExports[j.id] = j.promptTokens
}

func (s *Server) exportKV(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["attempt"]
	s.mu.Lock()
	tokens, ok := s.kvExports[id]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no-kv", "no KV cache is kept under this attempt")
		return
	}
	writeJSON(w, http.StatusOK, kvExport{Attempt: id, Tokens: tokens})
}

// importKV fetches a prompt's KV cache from another engine. It returns the number
// of tokens that the cache covers, or zero if the fetch fails.
func (s *Server) importKV(ctx context.Context, j *job) int {
	if j.req.KVTransfer == nil {
		return 0
	}
	url := j.req.KVTransfer.From + "/v1/kv/" + j.req.KVTransfer.Attempt
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var kv kvExport
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&kv) != nil {
		return 0
	}
	return kv.Tokens
}
