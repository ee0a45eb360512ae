package config

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Status describes the configuration for operators.
type Status struct {
	Generation msg.Generation `json:"generation"`
	Author     string         `json:"author,omitempty"`
	At         time.Time      `json:"at"`
	// Confirmed says that the configuration may be used, and ConfirmedAgo how
	// long ago it was certainly the newest one.
	Confirmed    bool          `json:"confirmed"`
	ConfirmedAgo time.Duration `json:"confirmedAgo"`
	// Electorate lists the daemons whose majority vouches for it.
	Electorate []msg.HostID `json:"electorate"`
}

// Status returns the state at an instant.
func (p *Component) Status(now msg.Time) Status {
	s := Status{
		Generation: p.record.Generation,
		Author:     p.record.Author,
		At:         p.record.At,
		Electorate: p.electorate(),
	}
	if p.fresh.confirmed {
		s.ConfirmedAgo = now - p.fresh.at
		s.Confirmed = s.ConfirmedAgo < FreshFor
	}
	return s
}
