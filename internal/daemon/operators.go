package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/request"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/usage"
	"github.com/verbenaspur/verbenaspur/internal/httpdrain"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/relay"
	"github.com/verbenaspur/verbenaspur/internal/settings"
)

const (
	// acceptTimeout limits the wait for a proposed configuration to be in force, and
	// for a drain request to be stored.
	acceptTimeout = 10 * time.Second
	// maxProposalBytes is the largest body of a proposal, which contains a manifest
	// as a JSON string.
	maxProposalBytes = 3 * manifest.MaxSize
)

// operatorAPI serves the operators' interface of an entry daemon.
type operatorAPI struct {
	e         *entry
	operators []settings.Operator
}

// operatorHandler handles a request of an operator with the given name.
type operatorHandler func(w http.ResponseWriter, req *http.Request, operator string)

// routes adds the operators' routes to a router.
func (o *operatorAPI) routes(r *mux.Router) {
	add := func(method, path string, h operatorHandler) {
		r.HandleFunc("/admin/v1"+path, o.authenticated(h)).Methods(method)
	}
	add(http.MethodGet, "/config", o.config)
	add(http.MethodPost, "/config", o.propose)
	add(http.MethodGet, "/history", o.history)
	add(http.MethodGet, "/status", o.status)
	add(http.MethodGet, "/explain/{request}", o.explain)
	add(http.MethodGet, "/plan", o.plan)
	add(http.MethodGet, "/usage", o.usage)
	add(http.MethodPost, "/drain", o.drain)
}

// authenticated returns an HTTP handler that calls h for operators whose token's
// hash is listed in the settings, and refuses all other requests.
func (o *operatorAPI) authenticated(h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		name, known := o.identify(token)
		if !ok || !known {
			writeRefusal(w, badRequest("", http.StatusUnauthorized, "unauthorized", "an operator's token is needed"))
			return
		}
		h(w, req, name)
	}
}

// identify returns the name of the operator that has a token. It compares the hash
// with all operators in constant time.
func (o *operatorAPI) identify(token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	name, found := "", false
	for _, op := range o.operators {
		if subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(op.TokenHash))) == 1 {
			name, found = op.Name, true
		}
	}
	return name, found
}

// configView describes the configuration in force.
type configView struct {
	Generation msg.Generation `json:"generation"`
	Author     string         `json:"author"`
	At         time.Time      `json:"at"`
	Manifest   string         `json:"manifest"`
	// Fresh reports whether it is certain that no newer configuration is in force on
	// another entry daemon.
	Fresh bool `json:"fresh"`
}

func (o *operatorAPI) config(w http.ResponseWriter, _ *http.Request, _ string) {
	var v configView
	o.e.loop.Query(func(now msg.Time) {
		c := o.e.reducer.Config()
		v = configView{c.Generation, c.Author, c.At, c.Manifest, o.e.reducer.Fresh(now)}
	})
	writeJSON(w, http.StatusOK, v)
}

// proposalRequest is the body of POST /config.
type proposalRequest struct {
	Base     msg.Generation `json:"base"`
	Manifest string         `json:"manifest"`
}

// proposalResponse is the response to POST /config.
type proposalResponse struct {
	Status     string         `json:"status"`
	Generation msg.Generation `json:"generation"`
	Reason     string         `json:"reason,omitempty"`
}

func (o *operatorAPI) propose(w http.ResponseWriter, req *http.Request, operator string) {
	var body proposalRequest
	if !readBody(w, req, maxProposalBytes, &body) {
		return
	}
	if _, err := manifest.Decode([]byte(body.Manifest)); err != nil {
		writeJSON(w, http.StatusOK, proposalResponse{Status: msg.ProposalInvalid.String(), Reason: err.Error()})
		return
	}
	id, replies := o.e.openCall()
	defer o.e.closeCall(id)
	o.e.loop.Post(msg.ConfigProposed{Call: id, Author: operator, Manifest: []byte(body.Manifest), Base: body.Base})
	writeJSON(w, http.StatusOK, awaitProposal(req, replies))
}

// awaitProposal waits for the final result of a proposal until acceptTimeout has
// passed or the operator disconnects. Without a final result it returns
// ProposalWritten if the manifest has been reported as written but not yet in force,
// and ProposalUnknown if nothing has been reported.
func awaitProposal(req *http.Request, replies <-chan msg.Effect) proposalResponse {
	last := msg.AnswerConfigProposal{Status: msg.ProposalUnknown, Reason: "no answer in time"}
	timer := time.NewTimer(acceptTimeout)
	defer timer.Stop()
	for {
		select {
		case eff := <-replies:
			last = eff.(msg.AnswerConfigProposal)
			if last.Status == msg.ProposalWritten {
				continue
			}
		case <-timer.C:
		case <-req.Context().Done():
		}
		return proposalResponse{last.Status.String(), last.Generation, last.Reason}
	}
}

// historyView lists the accepted changes of the configuration, oldest first.
type historyView struct {
	Changes []msg.ConfigChange `json:"changes"`
}

func (o *operatorAPI) history(w http.ResponseWriter, req *http.Request, _ string) {
	objects, ok := o.listObjects(w, req, msg.KindAudit)
	if !ok {
		return
	}
	v := historyView{Changes: []msg.ConfigChange{}}
	for _, obj := range objects {
		var env struct {
			Body msg.ConfigChange `json:"body"`
		}
		if json.Unmarshal(obj.Value, &env) == nil {
			v.Changes = append(v.Changes, env.Body)
		}
	}
	writeJSON(w, http.StatusOK, v)
}

// usageView lists frozen usage windows.
type usageView struct {
	Windows []usage.Window `json:"windows"`
}

func (o *operatorAPI) usage(w http.ResponseWriter, req *http.Request, _ string) {
	objects, ok := o.listObjects(w, req, msg.KindUsage)
	if !ok {
		return
	}
	account := msg.AccountID(req.URL.Query().Get("account"))
	writeJSON(w, http.StatusOK, usageView{Windows: usage.Windows(objects, account)})
}

// listObjects reads the objects of a kind from the platform. It returns false if it
// has written an error response.
func (o *operatorAPI) listObjects(w http.ResponseWriter, req *http.Request, kind msg.Kind) ([]msg.Object, bool) {
	ev, ok := o.e.platform.Do(req.Context(), msg.ListObjects{Kind: kind}, o.e.loop.Now).(msg.ListDone)
	if !ok || ev.Status != msg.CallOK {
		writeRefusal(w, badRequest("", http.StatusServiceUnavailable, "platform-unavailable", "the platform's object API does not answer"))
		return nil, false
	}
	return ev.Objects, true
}

func (o *operatorAPI) status(w http.ResponseWriter, _ *http.Request, _ string) {
	var v any
	o.e.loop.Query(func(now msg.Time) { v = o.e.reducer.Status(now) })
	writeJSON(w, http.StatusOK, v)
}

func (o *operatorAPI) explain(w http.ResponseWriter, req *http.Request, _ string) {
	var v request.Explanation
	found := false
	o.e.loop.Query(func(msg.Time) { v, found = o.e.reducer.Explain(msg.RequestID(mux.Vars(req)["request"])) })
	if !found {
		writeRefusal(w, badRequest("", http.StatusNotFound, "unknown-request", "this entry daemon remembers no such request; ask the one that served it"))
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func (o *operatorAPI) plan(w http.ResponseWriter, req *http.Request, _ string) {
	var v fleet.PlanStatus
	found := false
	o.e.loop.Query(func(now msg.Time) { v, found = o.e.reducer.Plan(now, msg.PoolID(req.URL.Query().Get("pool"))) })
	if !found {
		writeRefusal(w, badRequest("", http.StatusNotFound, "unknown-pool", "the configuration has no such pool"))
		return
	}
	writeJSON(w, http.StatusOK, v)
}

// drainRequest is the body of POST /drain.
type drainRequest struct {
	Target string `json:"target"`
	Undo   bool   `json:"undo"`
}

func (o *operatorAPI) drain(w http.ResponseWriter, req *http.Request, operator string) {
	var body drainRequest
	if !readBody(w, req, maxErrorBody, &body) {
		return
	}
	id, replies := o.e.openCall()
	defer o.e.closeCall(id)
	o.e.loop.Post(msg.DrainRequested{Call: id, Author: operator, Target: msg.TargetID(body.Target), Undo: body.Undo})
	timer := time.NewTimer(acceptTimeout)
	defer timer.Stop()
	select {
	case eff := <-replies:
		if a, ok := eff.(msg.AnswerDrainRequest); ok && a.Status == msg.CallOK {
			writeJSON(w, http.StatusOK, struct {
				Status string `json:"status"`
			}{"kept"})
			return
		}
	case <-timer.C:
	case <-req.Context().Done():
	}
	writeRefusal(w, badRequest("", http.StatusServiceUnavailable, "not-kept", "the wish could not be kept; look at the status and try again"))
}

// readBody decodes a JSON body, in which unknown fields and trailing data are
// errors. It returns false if it has written an error response.
func readBody(w http.ResponseWriter, req *http.Request, limit int64, v any) bool {
	dec := json.NewDecoder(httpdrain.MaxBytesReader(w, req.Body, limit))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		_, err = dec.Token()
		if err == io.EOF && relay.Arrived(httpdrain.Conn(req)) {
			return true
		}
	}
	writeRefusal(w, badRequest("", http.StatusBadRequest, "invalid-request", "the body is not the JSON that this call takes"))
	return false
}
