package virtualtime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEventsRunInOrderOfTimeAndThenOfSeq(t *testing.T) {
	is := is.New(t)
	var (
		q   Queue
		got []uint64
	)
	for i, at := range []time.Duration{3, 1, 2, 1, 5, 1} {
		seq := uint64(i)
		q.Add(Event{At: at, Seq: seq, Run: func() { got = append(got, seq) }})
	}
	for ev, ok := q.Next(3); ok; ev, ok = q.Next(3) {
		ev.Run()
	}
	is.Equal(got, []uint64{1, 3, 5, 2, 0})
	is.Equal(q.Len(), 1) // the event after the end stays
	ev, ok := q.Next(5)
	is.True(ok)
	is.Equal(ev.At, time.Duration(5))
	_, ok = q.Next(time.Hour)
	is.True(!ok)
}
