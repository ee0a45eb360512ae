package config

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// Status describes the configuration to operators.
type Status struct {
	Generation msg.Generation `json:"generation"`
	Author     string         `json:"author,omitempty"`
	At         time.Time      `json:"at"`
	// Confirmed reports whether the configuration may be used. ConfirmedAgo is
	// the time since the last instant at which it was confirmed to be the
	// newest.
	Confirmed    bool          `json:"confirmed"`
	ConfirmedAgo time.Duration `json:"confirmedAgo"`
	// Electorate lists the voter set whose majority confirms the configuration.
	Electorate []msg.HostID `json:"electorate"`
}

// Status returns the state at the given time.
func (c *Component) Status(now msg.Time) Status {
	s := Status{
		Generation: c.record.Generation,
		Author:     c.record.Author,
		At:         c.record.At,
		Electorate: c.voterSet(),
	}
	if c.fresh.confirmed {
		s.ConfirmedAgo = now - c.fresh.at
		s.Confirmed = s.ConfirmedAgo < FreshFor
	}
	return s
}
