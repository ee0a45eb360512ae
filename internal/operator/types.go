// Package operator implements a client of the operators' API, which every entry
// daemon serves below /admin/v1 (see docs/OPERATORS-API.md).
package operator

import (
	"encoding/json"
	"time"
)

// Config is the manifest in force at an entry daemon.
type Config struct {
	Generation uint64    `json:"generation" yaml:"generation"`
	Author     string    `json:"author" yaml:"author"`
	At         time.Time `json:"at" yaml:"at"`
	Manifest   string    `json:"manifest" yaml:"manifest"`
}

// Proposal is a manifest that is to replace the one of generation Base.
type Proposal struct {
	Base     uint64 `json:"base"`
	Manifest string `json:"manifest"`
}

// Status is the outcome of a proposal.
type Status string

// Outcomes of proposals.
const (
	// StatusAccepted means that the manifest is in force everywhere.
	StatusAccepted Status = "accepted"
	// StatusWritten means that the manifest is stored but not yet known to be in
	// force.
	StatusWritten Status = "written"
	// StatusConflict means that another change came first; nothing changed.
	StatusConflict Status = "conflict"
	// StatusInvalid means that the manifest is invalid; nothing changed.
	StatusInvalid Status = "invalid"
	// StatusUnavailable means that the platform did not accept the manifest;
	// nothing changed.
	StatusUnavailable Status = "unavailable"
	// StatusUnknown means that the manifest may have been written.
	StatusUnknown Status = "unknown"
)

// Result is the outcome of a proposal with the generation and the reason, if any.
type Result struct {
	Status     Status `json:"status" yaml:"status"`
	Generation uint64 `json:"generation,omitempty" yaml:"generation,omitempty"`
	Reason     string `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// Change is one entry of the configuration history.
type Change struct {
	Generation uint64    `json:"generation" yaml:"generation"`
	Author     string    `json:"author" yaml:"author"`
	At         time.Time `json:"at" yaml:"at"`
	Digest     string    `json:"digest" yaml:"digest"`
}

// History lists the changes of the configuration, newest last.
type History struct {
	Changes []Change `json:"changes" yaml:"changes"`
}

// Drain is a request to drain a target or, if Undo is set, to end its drain.
type Drain struct {
	Target string `json:"target"`
	Undo   bool   `json:"undo,omitempty"`
}

// Document is a part of the daemon's state as JSON. The daemon defines its form;
// the client does not decode it.
type Document = json.RawMessage

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail contains the code and the message of an error.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
