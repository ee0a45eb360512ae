package wire

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func TestEventRoundTrip(t *testing.T) {
	is := is.New(t)
	in := []msg.Event{
		msg.Tick{Wall: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)},
		msg.PutDone{Call: 7, Status: msg.CallConflict},
		msg.RequestArrived{Req: "r1", Model: "m", Prefix: []msg.BlockHash{1, 2}},
	}
	for _, ev := range in {
		b, err := Marshal(ev)
		is.NoErr(err)
		out, err := UnmarshalEvent(b)
		is.NoErr(err)
		is.Equal(ev, out)
	}
}

func TestMessageOfOtherUnionIsRejected(t *testing.T) {
	is := is.New(t)
	b, err := Marshal(msg.StopCompleted{})
	is.NoErr(err)
	_, err = UnmarshalEvent(b)
	is.True(err != nil)
}

func TestOversizedMessageIsRejected(t *testing.T) {
	is := is.New(t)
	var v []byte
	is.Equal(Unmarshal(make([]byte, MaxMessage+1), &v), ErrTooLarge)
}
