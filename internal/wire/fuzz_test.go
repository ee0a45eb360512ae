package wire

import (
	"bytes"
	"testing"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// FuzzUnmarshalEvent checks that no input makes the decoder fail otherwise
// than by an error, and that what it takes keeps its form.
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
			t.Fatalf("%T can't be encoded again: %v", ev, err)
		}
		again, err := UnmarshalEvent(first)
		if err != nil {
			t.Fatalf("%T can't be decoded again: %v", ev, err)
		}
		second, err := Marshal(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%T changes its form", ev)
		}
	})
}

// FuzzUnmarshalPeer checks the same for messages between daemons.
func FuzzUnmarshalPeer(f *testing.F) {
	b, err := Marshal(msg.ConfigFetch{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = UnmarshalPeer(b) })
}
