package quota

import (
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

type refusalKey struct {
	holder  msg.HostID
	account msg.AccountID
}

// refusal is a denial that is remembered. It holds for requests of at least its cost
// until a time.
type refusal struct {
	cost      float64
	at, until msg.Time
	comeBack  msg.Time
	level     float64
}

// denies reports whether a remembered denial of a holder applies to a reservation.
func (a *Asker) denies(now msg.Time, r *Reservation, holder msg.HostID) bool {
	ref, ok := a.refusals[refusalKey{holder, r.Account}]
	if !ok || !ref.applies(now, r) {
		return false
	}
	r.noteDenial(holder, ref.level, now-ref.at, max(ref.comeBack, ref.until)-now)
	return true
}

func (ref *refusal) applies(now msg.Time, r *Reservation) bool {
	return now < ref.until && r.Cost >= ref.cost
}

// noteDenial records a denial in the reservation. The shortest wait counts.
func (r *Reservation) noteDenial(holder msg.HostID, level float64, age, wait time.Duration) {
	if r.Wait == 0 || wait < r.Wait {
		r.Holder, r.Level, r.Age, r.Wait = holder, level, age, max(wait, time.Millisecond)
	}
}
