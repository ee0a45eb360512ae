package wire

import (
	"bytes"
	"testing"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// FuzzUnmarshalEvent checks that the decoder returns an error for invalid input and
// does not panic. It also checks that encoding an accepted event, decoding the result
// and encoding it again gives the same bytes both times.
func FuzzUnmarshalEvent(f *testing.F) {
	for _, ev := range []msg.Event{
		msg.Tick{},
		msg.CallerDisconnected{Req: "r"},
		msg.PeerReceived{From: "h", Message: msg.ConfigFetch{}},
		msg.AttemptEnded{Attempt: "a", Response: &msg.StoredResponse{Status: 200, Body: []byte("x")}},
	} {
		b, err := Marshal(ev)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		ev, err := UnmarshalEvent(b)
		if err != nil {
			return
		}
		first, err := Marshal(ev)
		if err != nil {
			t.Fatalf("encode decoded %T: %v", ev, err)
		}
		again, err := UnmarshalEvent(first)
		if err != nil {
			t.Fatalf("decode encoded %T: %v", ev, err)
		}
		second, err := Marshal(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%T is encoded differently after a round trip", ev)
		}
	})
}

// FuzzUnmarshalPeer checks that the decoder of messages between daemons does not
// panic on any input.
func FuzzUnmarshalPeer(f *testing.F) {
	b, err := Marshal(msg.ConfigFetch{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = UnmarshalPeer(b) })
}
