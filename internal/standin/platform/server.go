// Package platform is a small in-memory stand-in for the platform: it serves
// the object API, the host list, the target interface, the usage interface and
// the weight store of docs/INTERFACES.md. POST /control/faults injects faults,
// and GET /control/counts returns the numbers of calls received.
package platform

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
)

// maxBodyBytes limits the size of a request body. It has room for a value of
// 1 MiB encoded as base64.
const maxBodyBytes = 2 << 20

// Server is the stand-in platform. It is an [http.Handler] and safe for
// concurrent use.
type Server struct {
	router *mux.Router

	mu      sync.Mutex
	objects objects
	targets targets
	usage   usage
	hosts   hostHistory
	faults  faultState
	counts  Counts
}

// New returns a platform without objects, hosts, targets, reports and faults.
func New() *Server {
	s := &Server{
		objects: newObjects(),
		targets: newTargets(),
		usage:   newUsage(),
		faults:  newFaultState(),
	}
	s.router = s.routes()
	return s
}

// ServeHTTP implements [http.Handler].
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) routes() *mux.Router {
	r := mux.NewRouter().UseEncodedPath()
	api := r.PathPrefix("/v1").Subrouter()
	api.Use(s.injectFaults)
	api.HandleFunc("/objects/{kind}/{name}", s.getObject).Methods(http.MethodGet)
	api.HandleFunc("/objects/{kind}/{name}", s.putObject).Methods(http.MethodPut)
	api.HandleFunc("/objects/{kind}/{name}", s.deleteObject).Methods(http.MethodDelete)
	api.HandleFunc("/objects/{kind}", s.listObjects).Methods(http.MethodGet)
	api.HandleFunc("/watch/{kind}", s.watchObjects).Methods(http.MethodGet)
	api.HandleFunc("/hosts", s.listHosts).Methods(http.MethodGet)
	api.HandleFunc("/targets", s.orderTarget).Methods(http.MethodPost)
	api.HandleFunc("/targets", s.listTargets).Methods(http.MethodGet)
	api.HandleFunc("/targets/{target}", s.withdrawTarget).Methods(http.MethodDelete)
	api.HandleFunc("/usage/{account}/{window}", s.reportUsage).Methods(http.MethodPut)
	api.HandleFunc("/weights/{model}/{version}", s.fetchWeights).Methods(http.MethodGet)
	r.HandleFunc("/control/hosts", s.controlHosts).Methods(http.MethodPost)
	r.HandleFunc("/control/faults", s.controlFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/counts", s.controlCounts).Methods(http.MethodGet)
	r.HandleFunc("/control/usage", s.controlUsage).Methods(http.MethodGet)
	return r
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{errorDetail{Code: code, Message: message}})
}

// readJSON decodes a request body into v. If the body is invalid it answers 400
// and reports false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		writeError(w, http.StatusBadRequest, "bad-body", err.Error())
		return false
	}
	return true
}
