package prefixindex

import (
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func added(t msg.TargetID, seq uint64, pieces ...msg.BlockHash) msg.CacheReported {
	return msg.CacheReported{Target: t, Events: []msg.CacheEvent{{Seq: seq, Blocks: pieces}}}
}

func TestLongestPrefixComesFirst(t *testing.T) {
	is := is.New(t)
	m := New(0)
	m.Apply(added("a", 1, 1))
	m.Apply(added("b", 1, 1, 2))
	hits := m.Lookup(nil, []msg.BlockHash{1, 2, 3})
	is.Equal(hits, []Hit{{Target: "b", Pieces: 2, Trust: 1}, {Target: "a", Pieces: 1, Trust: 1}})
}

// The event for piece 1 was lost; piece 2 implies it.
func TestLostEventIsTolerated(t *testing.T) {
	is := is.New(t)
	m := New(0)
	m.Apply(added("a", 2, 2))
	is.Equal(m.Lookup(nil, []msg.BlockHash{1, 2})[0].Pieces, 2)
}

func TestCrossedEventsAreIgnored(t *testing.T) {
	is := is.New(t)
	m := New(0)
	m.Apply(msg.CacheReported{Target: "a", Events: []msg.CacheEvent{{Seq: 5, Removed: true, Blocks: []msg.BlockHash{1}}}})
	m.Apply(added("a", 4, 1))
	is.Equal(len(m.Lookup(nil, []msg.BlockHash{1})), 0)
}

func TestRestartedEngineHoldsNothing(t *testing.T) {
	is := is.New(t)
	m := New(0)
	m.RecordSent("a", []msg.BlockHash{1})
	m.ResetEngine("a")
	is.Equal(len(m.Lookup(nil, []msg.BlockHash{1})), 0)
	m.Apply(added("a", 1, 1)) // numbers begin again
	is.Equal(len(m.Lookup(nil, []msg.BlockHash{1})), 1)
}

func TestMissedHitsLowerTrust(t *testing.T) {
	is := is.New(t)
	m := New(0)
	m.RecordSent("a", []msg.BlockHash{1})
	for range 50 {
		m.RecordHits("a", 2, 0)
	}
	is.Equal(m.Lookup(nil, []msg.BlockHash{1})[0].Trust, minTrust)
}

func TestMapIsBoundedAndKeepsWhatIsUsed(t *testing.T) {
	is := is.New(t)
	m := New(100)
	m.RecordSent("a", []msg.BlockHash{1})
	for i := msg.BlockHash(2); i < 5000; i++ {
		m.RecordSent("a", []msg.BlockHash{i})
		if i%20 == 0 {
			is.Equal(len(m.Lookup(nil, []msg.BlockHash{1})), 1)
		}
		is.True(m.Len() <= 100)
	}
	is.Equal(len(m.Lookup(nil, []msg.BlockHash{2})), 0)
}
