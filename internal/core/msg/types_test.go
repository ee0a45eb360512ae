package msg

import (
	"testing"

	"github.com/matryer/is"
)

// Daemons of two releases exchange messages during an upgrade, so the number of a
// message type must never change. New types are added at the end of the list.
func TestPeerMessageNumbersAreStable(t *testing.T) {
	is := is.New(t)
	want := []string{
		"ConfigQuery", "ConfigQueryReply", "ConfigFetch", "ConfigTransfer", "LeaseReleased",
		"ExchangePoll", "ExchangeReply", "CrashNotice", "LoadDigest", "RunCounts", "PrefillSent",
		"CatalogQuery", "CatalogReply", "CrashDigest", "WindowsFrozen", "StreamOrigins", "StreamOriginQuery",
		"QuotaAsk", "QuotaReply", "QuotaReturn",
		"LeaseWritten", "EntryLeaving", "StreamVersionsRecorded",
		"StateQuery", "StateReply",
	}
	var got []string
	for _, typ := range PeerTypes() {
		got = append(got, typ.Name())
	}
	is.Equal(got, want)
}
