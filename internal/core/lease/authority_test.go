package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func TestAuthorityReflectsLeaseChanges(t *testing.T) {
	is := is.New(t)
	var a Authority
	is.True(!a.Valid(0))
	is.True(a.Update(msg.LeaseChanged{Held: true, Epoch: 3, Until: time.Second}))
	is.True(a.Valid(time.Second - 1))
	is.True(!a.Valid(time.Second))                                                     // The lease does not allow action at its end.
	is.True(!a.Update(msg.LeaseChanged{Held: true, Epoch: 3, Until: 2 * time.Second})) // A renewal is no acquisition.
	is.True(a.Valid(time.Second))
	is.True(a.Update(msg.LeaseChanged{Held: true, Epoch: 5, Until: 3 * time.Second})) // The lease was lost and acquired again between two events.
	is.True(!a.Update(msg.LeaseChanged{Epoch: 5, Until: 3 * time.Second}))
	is.True(!a.Valid(0))
}
