package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

func TestDatagramRoundTrip(t *testing.T) {
	is := is.New(t)
	m := msg.RunCounts{Windows: []msg.WindowRuns{{Window: 7, Counts: map[msg.AccountID]int64{"acme": 3}}}, Through: 6}
	inner, err := wire.Marshal(m)
	is.NoErr(err)
	b, err := wire.Marshal(datagram{"entry-2", inner})
	is.NoErr(err)
	from, got, err := decodeDatagram(b)
	is.NoErr(err)
	is.Equal(from, msg.HostID("entry-2"))
	is.Equal(got, msg.PeerMessage(m)) // A value and not a pointer, as reducers expect it.
	_, _, err = decodeDatagram([]byte("no datagram"))
	is.True(err != nil)
}
