package refused

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func TestRequestIsKnownAtOtherDaemons(t *testing.T) {
	is := is.New(t)
	first, second := New(), New()
	first.Add(10*time.Second, 7, 9*time.Second, 12*time.Second)
	second.Merge(20*time.Second, first.Unsent(10*time.Second, 10)) // the clocks of two daemons differ
	at, ok := second.AskedAt(21*time.Second, 7)
	is.True(ok)
	is.Equal(at, 19*time.Second)
	_, ok = second.AskedAt(22*time.Second, 7)
	is.True(!ok) // its caller has given up
	is.Equal(len(first.Unsent(10*time.Second, 10)), 0)
}

// A caller that is refused twice first asked before the first refusal.
func TestEarliestTimeHolds(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Add(10*time.Second, 7, 8*time.Second, 13*time.Second)
	m.Merge(10*time.Second, []msg.RefusedRequest{{Fingerprint: 7, AskedMS: 500, LeftMS: 1000}})
	at, ok := m.AskedAt(12*time.Second, 7)
	is.True(ok)
	is.Equal(at, 8*time.Second)
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	m := New()
	for i := range uint64(2 * maxRequests) {
		m.Add(0, i, 0, time.Second)
	}
	is.Equal(len(m.requests), maxRequests)
	n := 0
	for list := m.Unsent(0, 100); len(list) > 0; list = m.Unsent(0, 100) {
		n += len(list)
	}
	is.Equal(n, maxRequests)
	m.Advance(time.Second)
	is.Equal(len(m.requests), 0)
}

func TestTimesInMessagesAreLimited(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Merge(time.Second, []msg.RefusedRequest{{Fingerprint: 1, AskedMS: 1 << 62, LeftMS: 1 << 62}, {Fingerprint: 2, AskedMS: -5, LeftMS: -5}})
	at, ok := m.AskedAt(time.Second, 1)
	is.True(ok)
	is.Equal(at, time.Second-maxTime)
	_, ok = m.AskedAt(time.Second, 2)
	is.True(!ok)
}
