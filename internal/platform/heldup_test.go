package platform_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/heldup"
)

// A write that was held up by a partition until it was given up must not arrive when the
// partition has healed.
func TestCallGivenUpNeverArrives(t *testing.T) {
	is := is.New(t)
	l, err := heldup.Listen()
	is.NoErr(err)
	defer l.Close()
	c := newClient(t, "http://"+l.Addr())
	value := strings.Repeat("x", heldup.Size)
	done := do[msg.PutDone](t, c, msg.PutObject{Call: 1, Kind: msg.KindLease, Name: "pool/a", Value: []byte(value)})
	is.Equal(done.Status, msg.CallUnknown)
	arrived := string(l.Release())
	is.True(strings.HasPrefix(arrived, "P"))  // POST or PUT: the write was on its way
	is.True(!strings.HasSuffix(arrived, "}")) // its end has not arrived
}
