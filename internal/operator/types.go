// Package operator is the client of the operators' API, which every entry
// daemon serves below /admin/v1 (see docs/OPERATORS-API.md).
package operator

import (
	"encoding/json"
	"time"
)

// Config is the manifest in force at an entry.
type Config struct {
	Generation uint64    `json:"generation" yaml:"generation"`
	Author     string    `json:"author" yaml:"author"`
	At         time.Time `json:"at" yaml:"at"`
	Manifest   string    `json:"manifest" yaml:"manifest"`
}

// Proposal is a manifest to be put in force in place of the generation Base.
type Proposal struct {
	Base     uint64 `json:"base"`
	Manifest string `json:"manifest"`
}

// Status is the result of a proposal.
type Status string

// Results of proposals.
const (
	// StatusAccepted means that the manifest is in force everywhere.
	StatusAccepted Status = "accepted"
	// StatusWritten means that it is kept but not yet known to be in force.
	StatusWritten Status = "written"
	// StatusConflict means that another change came first; nothing changed.
	StatusConflict Status = "conflict"
	// StatusInvalid means that the manifest is wrong; nothing changed.
	StatusInvalid Status = "invalid"
	// StatusUnavailable means that the platform did not take it; nothing changed.
	StatusUnavailable Status = "unavailable"
	// StatusUnknown means that it may have been written.
	StatusUnknown Status = "unknown"
)

// Result tells what became of a proposal.
type Result struct {
	Status     Status `json:"status" yaml:"status"`
	Generation uint64 `json:"generation,omitempty" yaml:"generation,omitempty"`
	Reason     string `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// Change is one entry of the history.
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

// Drain is a wish to drain a target, or to end its drain.
type Drain struct {
	Target string `json:"target"`
	Undo   bool   `json:"undo,omitempty"`
}

// Document is a part of the state that the daemon describes itself.
type Document = json.RawMessage

// ErrorResponse is the body of an error answer.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}
