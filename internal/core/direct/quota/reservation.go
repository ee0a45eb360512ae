package quota

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// State is the state of a reservation.
type State uint8

// States of reservations.
const (
	// Pending means that a reply is awaited.
	Pending State = iota
	// Granted means that the request's cost is reserved.
	Granted
	// Denied means that the quota does not allow the request now.
	Denied
	// Unanswered means that no holder has answered.
	Unanswered
)

// Reservation is the reservation of what a request costs. The fields that are not
// exported belong to the [Asker].
type Reservation struct {
	Req     msg.RequestID
	Account msg.AccountID
	Cost    float64
	State   State
	// Wait is the time after which the caller of a denied request should come back.
	Wait time.Duration
	// Holder is the holder that decided, Level what was left of its share, and Age how old
	// that information is.
	Holder msg.HostID
	Level  float64
	Age    time.Duration

	quota *msg.AccountQuota
	// partial is set if several holders have to grant the request together. rest is
	// what remains to be granted, and parts are the grants.
	partial bool
	rest    float64
	parts   []part

	left []msg.HostID // holders that are still to be asked
	seq  uint64       // of the last ask that was sent to another daemon
	next msg.Time     // when the next holder is asked
}

// part is a grant.
type part struct {
	holder msg.HostID
	seq    uint64
}
