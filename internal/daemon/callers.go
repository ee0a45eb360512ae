package daemon

import (
	"crypto/sha256"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/oklog/ulid/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/apikey"
	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/prefixhash"
	"github.com/verbenaspur/verbenaspur/internal/relay"
)

// Limits of requests from callers and operators. Sizes are in bytes.
const (
	maxBody           = 2 << 20
	maxHeader         = 32 << 10
	maxIdempotencyKey = 255
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
)

// callerAPI serves the callers' interface of an entry daemon.
type callerAPI struct {
	e      *entry
	budget *relay.Budget
}

// routes adds the callers' routes to a router.
func (c *callerAPI) routes(r *mux.Router) {
	r.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, req *http.Request) { c.generate(w, req, true) }).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", func(w http.ResponseWriter, req *http.Request) { c.generate(w, req, false) }).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", c.models).Methods(http.MethodGet)
	r.PathPrefix("/services/{service}/").HandlerFunc(c.service)
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		writeRefusal(w, badRequest("", http.StatusNotFound, "not-found", "there is nothing at "+req.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		writeRefusal(w, badRequest("", http.StatusMethodNotAllowed, "method-not-allowed", req.Method+" is not allowed here"))
	})
}

// newServer returns the HTTP server for callers and operators.
func newServer(h http.Handler, log *slog.Logger) *httpdrain.Server {
	return httpdrain.New(&http.Server{
		Handler:           arrivedWithoutBody(h),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	})
}

// arrivedWithoutBody returns a handler that records that a request without a body has arrived
// whole, and refuses it if it has lost its room. Over HTTP/2 a connection carries many requests,
// and gives way for none of them.
func arrivedWithoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		whole := r.ContentLength == 0 || r.ProtoMajor > 1
		if whole && !relay.Arrived(httpdrain.Conn(r)) {
			writeRefusal(w, unreadRequest("", relay.ErrNoRoom))
			return
		}
		h.ServeHTTP(w, r)
	})
}

// receiptOf returns the receipt of a request, which is that of its connection unless others
// share the connection.
func receiptOf(w http.ResponseWriter, r *http.Request, budget *relay.Budget) *relay.Receipt {
	if receipt := relay.ReceiptOf(httpdrain.Conn(r)); receipt != nil && r.ProtoMajor == 1 {
		return receipt
	}
	controller := http.NewResponseController(w)
	return budget.Receipt(func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) })
}

// badRequest returns a refusal of a request that did not run.
func badRequest(id msg.RequestID, status int, code, reason string) msg.RefuseRequest {
	return msg.RefuseRequest{Req: id, Status: status, Code: code, Reason: reason, Outcome: msg.OutcomeNotRun}
}

// received is a caller's request that has arrived whole.
type received struct {
	id   msg.RequestID
	body []byte
	// release frees the room of the request.
	release func()
}

// readRequest assigns an ID to a request and reads its body. It returns false if it
// has refused the request.
func (c *callerAPI) readRequest(w http.ResponseWriter, req *http.Request) (received, bool) {
	id := msg.RequestID(ulid.Make().String())
	w.Header().Set("X-Request-Id", string(id))
	receipt := receiptOf(w, req, c.budget)
	body, err := receipt.ReadAll(req.Body, req.ContentLength, maxBody)
	arrived := err == nil && receipt.Arrived() && relay.Arrived(httpdrain.Conn(req))
	if err == nil && !arrived {
		err = relay.ErrNoRoom
	}
	if err != nil {
		abortIfHeavy(receipt, err)
		receipt.ReleaseBody()
		closeUnread(w)
		writeRefusal(w, unreadRequest(id, err))
		return received{}, false
	}
	return received{id, body, receipt.ReleaseBody}, true
}

// unreadRequest returns the refusal of a request whose body could not be read.
func unreadRequest(id msg.RequestID, err error) msg.RefuseRequest {
	switch {
	case errors.Is(err, relay.ErrTooLarge):
		return badRequest(id, http.StatusRequestEntityTooLarge, "body-too-large", "the body is larger than 2 MiB")
	case errors.Is(err, relay.ErrNoRoom):
		refusal := badRequest(id, http.StatusServiceUnavailable, "memory", "there is no room for the request")
		refusal.RetryAfter = memoryRetryAfter
		return refusal
	}
	return badRequest(id, http.StatusBadRequest, "body-unreadable", "the body did not arrive whole")
}

// newRequestArrived returns the event of a request's arrival, with the fields that
// all kinds of requests have in common.
func newRequestArrived(id msg.RequestID, req *http.Request, body []byte) msg.RequestArrived {
	ev := msg.RequestArrived{
		Req: id, Method: req.Method, BodyHash: sha256.Sum256(body),
		IdempotencyKey: req.Header.Get("Idempotency-Key"),
	}
	if keyID, digest, ok := apikey.ParseBearer(req.Header.Get("Authorization")); ok {
		ev.KeyID, ev.KeyDigest = keyID, digest
	}
	return ev
}

// generate serves a chat or text completion.
func (c *callerAPI) generate(w http.ResponseWriter, req *http.Request, chat bool) {
	in, ok := c.readRequest(w, req)
	if !ok {
		return
	}
	defer in.release()
	id, body := in.id, in.body
	parsed, err := parseOpenAI(body, chat)
	if err != nil {
		writeRefusal(w, badRequest(id, http.StatusBadRequest, "invalid-request", err.Error()))
		return
	}
	ev := newRequestArrived(id, req, body)
	prompt := parsed.promptText()
	ev.Model = parsed.Model
	ev.PromptTokens = prefixhash.EstimateTokens(len(prompt))
	ev.MaxTokens = parsed.maxTokens()
	ev.Prefix = prefixhash.BlockHashes(parsed.Model, prompt)
	x := newExchange(req.Context(), id, true, link.Payload{Method: req.Method, Path: req.URL.Path, ContentType: "application/json", Body: body})
	r := &responder{
		w: w, controller: http.NewResponseController(w), x: x, chat: chat, stream: parsed.Stream,
		includeUsage: parsed.StreamOptions != nil && parsed.StreamOptions.IncludeUsage,
		response:     openAIResponse{ID: "cmpl-" + string(id), Object: streamObjectName(chat), Created: time.Now().Unix(), Model: parsed.Model},
	}
	c.submit(x, ev, r.serve)
}

// streamObjectName returns the object type of the chunks of a completion.
func streamObjectName(chat bool) string {
	if chat {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// submit passes a request to the reducer and serves its response. If the caller
// disconnects, it reports that to the reducer.
func (c *callerAPI) submit(x *exchange, ev msg.RequestArrived, serve func()) {
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

// service serves a call of a plain service.
func (c *callerAPI) service(w http.ResponseWriter, req *http.Request) {
	in, ok := c.readRequest(w, req)
	if !ok {
		return
	}
	defer in.release()
	id, body := in.id, in.body
	if len(req.Header.Get("Idempotency-Key")) > maxIdempotencyKey {
		writeRefusal(w, badRequest(id, http.StatusBadRequest, "invalid-request", "Idempotency-Key is longer than 255 characters"))
		return
	}
	name := mux.Vars(req)["service"]
	path := req.URL.EscapedPath()[len("/services/"+name):]
	ev := newRequestArrived(id, req, body)
	ev.Service, ev.Path = name, path
	target := path
	if req.URL.RawQuery != "" {
		target += "?" + req.URL.RawQuery
	}
	x := newExchange(req.Context(), id, false, link.Payload{Method: req.Method, Path: target, ContentType: req.Header.Get("Content-Type"), Body: body})
	c.submit(x, ev, func() { writeServiceResult(w, x) })
}

// writeServiceResult waits for the end of a plain service's call and writes the
// response or the error.
func writeServiceResult(w http.ResponseWriter, x *exchange) {
	var eff msg.Effect
	select {
	case eff = <-x.finalEffect:
	case <-x.ctx.Done():
		return
	}
	switch eff := eff.(type) {
	case msg.FinishRequest:
		if a := x.response(); a != nil {
			writeStoredResponse(w, *a)
			return
		}
		writeRefusal(w, msg.RefuseRequest{Req: x.id, Status: http.StatusBadGateway, Code: "no-answer", Reason: "the target sent no answer", Outcome: msg.OutcomeRun})
	case msg.ReplayResponse:
		w.Header().Set("Idempotent-Replayed", "true")
		writeStoredResponse(w, eff.Response)
	case msg.RefuseRequest:
		writeRefusal(w, eff)
	case msg.AbortRequest:
		writeRefusal(w, msg.RefuseRequest{Req: eff.Req, Status: http.StatusBadGateway, Code: eff.Code, Reason: eff.Reason, Outcome: eff.Outcome})
	}
}

// writeStoredResponse writes a complete response to the caller.
func writeStoredResponse(w http.ResponseWriter, a msg.StoredResponse) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that the caller may use.
func (c *callerAPI) models(w http.ResponseWriter, req *http.Request) {
	list := modelList{Object: "list", Data: []modelInfo{}}
	keyID, digest, _ := apikey.ParseBearer(req.Header.Get("Authorization"))
	c.e.loop.Query(func(now msg.Time) {
		x := c.e.reducer.Index()
		if x == nil {
			return
		}
		account, status := apikey.Check(x, keyID, digest, time.Now())
		authorized := status == apikey.OK && c.e.reducer.Fresh(now)
		for _, r := range x.Routes {
			if p := x.Pool(r.Pool); p == nil || p.Kind != manifest.PoolEngines {
				continue
			}
			if r.Access == manifest.AccessPublic || authorized && r.Allows(string(account)) {
				list.Data = append(list.Data, modelInfo{ID: r.Name, Object: "model", OwnedBy: x.Deployment})
			}
		}
	})
	slices.SortFunc(list.Data, func(a, b modelInfo) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, list)
}
