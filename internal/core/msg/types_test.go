package msg

import (
	"testing"

	"github.com/matryer/is"
)

// Daemons of two releases talk to each other during an upgrade, so a message
// keeps its number for good. New ones are added here at the end.
func TestPeerMessagesKeepTheirNumbers(t *testing.T) {
	is := is.New(t)
	want := []string{
		"ConfigQuery", "ConfigQueryReply", "ConfigFetch", "ConfigTransfer", "LeaseReleased",
		"ExchangePoll", "ExchangeReply", "CrashNotice", "LoadDigest", "RunCounts", "PrefillSent",
	}
	var got []string
	for _, typ := range PeerTypes() {
		got = append(got, typ.Name())
	}
	is.Equal(got, want)
}
