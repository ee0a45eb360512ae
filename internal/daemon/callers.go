package daemon

import (
	"crypto/sha256"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/apikey"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/prefixhash"
)

const (
	maxBody           = 2 << 20
	maxHeader         = 32 << 10
	maxIdempotencyKey = 255
	readHeaderLimit   = 5 * time.Second
	readLimit         = 30 * time.Second
	idleLimit         = 2 * time.Minute
)

// callers serves the callers' interface of an entry daemon.
type callers struct {
	e *entry
}

// routes returns the callers' routes.
func (c *callers) routes(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, q *http.Request) { c.generate(w, q, true) }).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", func(w http.ResponseWriter, q *http.Request) { c.generate(w, q, false) }).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", c.models).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}/").HandlerFunc(c.service)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writeRefusal(w, badRequest("", http.StatusNotFound, "not-found", "there is nothing at "+q.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		writeRefusal(w, badRequest("", http.StatusMethodNotAllowed, "method-not-allowed", q.Method+" is not allowed here"))
	})
}

// newServer returns the HTTP server for callers and operators.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderLimit,
		ReadTimeout:       readLimit,
		IdleTimeout:       idleLimit,
		MaxHeaderBytes:    maxHeader,
	}
}

func badRequest(id msg.RequestID, status int, code, reason string) msg.RefuseRequest {
	return msg.RefuseRequest{Req: id, Status: status, Code: code, Reason: reason, Outcome: msg.OutcomeNotRun}
}

// begin gives a request its id and reads its body. It reports false after it
// has refused the request.
func (c *callers) begin(w http.ResponseWriter, q *http.Request) (msg.RequestID, []byte, bool) {
	id := msg.RequestID(ulid.Make().String())
	w.Header().Set("X-Request-Id", string(id))
	body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeRefusal(w, badRequest(id, http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than 2 MiB"))
		return id, nil, false
	case err != nil:
		writeRefusal(w, badRequest(id, http.StatusBadRequest, "body-unreadable", "the body did not arrive whole"))
		return id, nil, false
	}
	return id, body, true
}

// arrival fills in what all requests have in common.
func arrival(id msg.RequestID, q *http.Request, body []byte) msg.RequestArrived {
	ev := msg.RequestArrived{
		Req: id, Method: q.Method, BodyHash: sha256.Sum256(body),
		IdempotencyKey: q.Header.Get("Idempotency-Key"),
	}
	if keyID, digest, ok := apikey.ParseBearer(q.Header.Get("Authorization")); ok {
		ev.KeyID, ev.KeyDigest = keyID, digest
	}
	return ev
}

func (c *callers) generate(w http.ResponseWriter, q *http.Request, chat bool) {
	id, body, ok := c.begin(w, q)
	if !ok {
		return
	}
	req, err := parseOpenAI(body, chat)
	if err != nil {
		writeRefusal(w, badRequest(id, http.StatusBadRequest, "invalid-request", err.Error()))
		return
	}
	ev := arrival(id, q, body)
	prompt := req.promptText()
	ev.Model = req.Model
	ev.PromptTokens = prefixhash.EstimateTokens(len(prompt))
	ev.MaxTokens = req.maxTokens()
	ev.Prefix = prefixhash.BlockHashes(req.Model, prompt)
	x := newExchange(q.Context(), id, true, link.Payload{Method: q.Method, Path: q.URL.Path, ContentType: "application/json", Body: body})
	r := &responder{
		w: w, ctl: http.NewResponseController(w), x: x, chat: chat, stream: req.Stream,
		usage:  req.StreamOptions != nil && req.StreamOptions.IncludeUsage,
		answer: openAIAnswer{ID: "cmpl-" + string(id), Object: objectName(chat), Created: time.Now().Unix(), Model: req.Model},
	}
	c.submit(x, ev, r.serve)
}

func objectName(chat bool) string {
	if chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// submit hands a request to the reducer and serves its answer.
func (c *callers) submit(x *exchange, ev msg.RequestArrived, serve func()) {
	c.e.open(x)
	defer c.e.close(x.id)
	c.e.loop.Post(ev)
	defer func() {
		if x.ctx.Err() != nil {
			c.e.loop.Post(msg.CallerDisconnected{Req: x.id})
		}
	}()
	serve()
}

func (c *callers) service(w http.ResponseWriter, q *http.Request) {
	id, body, ok := c.begin(w, q)
	if !ok {
		return
	}
	if len(q.Header.Get("Idempotency-Key")) > maxIdempotencyKey {
		writeRefusal(w, badRequest(id, http.StatusBadRequest, "invalid-request", "Idempotency-Key is longer than 255 characters"))
		return
	}
	name := mux.Vars(q)["service"]
	path := q.URL.EscapedPath()[len("/services/"+name):]
	ev := arrival(id, q, body)
	ev.Service, ev.Path = name, path
	target := path
	if q.URL.RawQuery != "" {
		target += "?" + q.URL.RawQuery
	}
	x := newExchange(q.Context(), id, false, link.Payload{Method: q.Method, Path: target, ContentType: q.Header.Get("Content-Type"), Body: body})
	c.submit(x, ev, func() { serveService(w, x) })
}

// serveService waits for the end of a plain service's call and writes its
// answer.
func serveService(w http.ResponseWriter, x *exchange) {
	var eff msg.Effect
	select {
	case eff = <-x.ended:
	case <-x.ctx.Done():
		return
	}
	switch eff := eff.(type) {
	case msg.FinishRequest:
		if a := x.answer(); a != nil {
			writeAnswer(w, *a)
			return
		}
		writeRefusal(w, msg.RefuseRequest{Req: x.id, Status: http.StatusBadGateway, Code: "no-answer", Reason: "the target sent no answer", Outcome: msg.OutcomeRun})
	case msg.ReplayResponse:
		w.Header().Set("Idempotent-Replayed", "true")
		writeAnswer(w, eff.Response)
	case msg.RefuseRequest:
		writeRefusal(w, eff)
	case msg.AbortRequest:
		writeRefusal(w, msg.RefuseRequest{Req: eff.Req, Status: http.StatusBadGateway, Code: eff.Code, Reason: eff.Reason, Outcome: eff.Outcome})
	}
}

func writeAnswer(w http.ResponseWriter, a msg.StoredResponse) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteLimit))
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelLine `json:"data"`
}

type modelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (c *callers) models(w http.ResponseWriter, q *http.Request) {
	list := modelList{Object: "list", Data: []modelLine{}}
	keyID, digest, _ := apikey.ParseBearer(q.Header.Get("Authorization"))
	c.e.loop.Query(func(now msg.Time) {
		x := c.e.reducer.Index()
		if x == nil {
			return
		}
		account, status := apikey.Check(x, keyID, digest, time.Now())
		known := status == apikey.OK && c.e.reducer.Fresh(now)
		for _, r := range x.Routes {
			if p := x.Pool(r.Pool); p == nil || p.Kind != manifest.PoolEngines {
				continue
			}
			if r.Access == manifest.AccessPublic || known && r.Allows(string(account)) {
				list.Data = append(list.Data, modelLine{ID: r.Name, Object: "model", OwnedBy: x.Deployment})
			}
		}
	})
	slices.SortFunc(list.Data, func(a, b modelLine) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, list)
}
