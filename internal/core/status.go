package core

import (
	"github.com/verbenaspur/verbenaspur/internal/core/lease"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/config"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/fleet"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/idempotency"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/request"
	"github.com/verbenaspur/verbenaspur/internal/core/pool/usage"
)

// EntryStatus describes an entry daemon to operators.
type EntryStatus struct {
	Host     msg.HostID           `json:"host"`
	Fresh    bool                 `json:"fresh"`
	Stopping bool                 `json:"stopping"`
	Config   config.Status        `json:"config"`
	Leases   lease.Status         `json:"leases"`
	Fleet    fleet.Status         `json:"fleet"`
	Requests request.Status       `json:"requests"`
	Claims   idempotency.Status   `json:"claims"`
	Records  usage.RecorderStatus `json:"usageRecords"`
	Reports  usage.ReporterStatus `json:"usageReports"`
}

// Status returns the state of the entry daemon for operators.
func (e *Entry) Status(now msg.Time) EntryStatus {
	return EntryStatus{
		Host:     e.self.Host,
		Fresh:    e.Fresh(now),
		Stopping: e.Stopping(),
		Config:   e.config.Status(now),
		Leases:   e.leases.Status(now),
		Fleet:    e.fleet.Status(now),
		Requests: e.requests.Status(now),
		Claims:   e.claims.Status(now),
		Records:  e.recorder.Status(now),
		Reports:  e.reporter.Status(now),
	}
}
