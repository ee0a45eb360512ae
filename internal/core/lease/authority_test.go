package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func TestAuthorityFollowsItsLease(t *testing.T) {
	is := is.New(t)
	var a Authority
	is.True(!a.Valid(0))
	is.True(a.Update(msg.LeaseChanged{Held: true, Epoch: 3, Until: time.Second}))
	is.True(a.Valid(time.Second - 1))
	is.True(!a.Valid(time.Second))                                                     // not at its end
	is.True(!a.Update(msg.LeaseChanged{Held: true, Epoch: 3, Until: 2 * time.Second})) // a renewal
	is.True(a.Valid(time.Second))
	is.True(a.Update(msg.LeaseChanged{Held: true, Epoch: 5, Until: 3 * time.Second})) // lost and won between two events
	is.True(!a.Update(msg.LeaseChanged{Epoch: 5, Until: 3 * time.Second}))
	is.True(!a.Valid(0))
}
