package core

import (
	"github.com/verbenaspur/verbenaspur/internal/core/claim"
	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// EntryStatus is what operators see of an entry daemon.
type EntryStatus struct {
	Host       msg.HostID     `json:"host"`
	Generation msg.Generation `json:"generation"`
	Fresh      bool           `json:"fresh"`
	Stopping   bool           `json:"stopping"`
	Claims     claim.Status   `json:"claims"`
}

// Status returns what operators see of the entry daemon.
func (e *Entry) Status(now msg.Time) EntryStatus {
	return EntryStatus{
		Host:       e.self.Host,
		Generation: e.config.Current().Generation,
		Fresh:      e.Fresh(now),
		Stopping:   e.Stopping(),
		Claims:     e.claims.Status(now),
	}
}
