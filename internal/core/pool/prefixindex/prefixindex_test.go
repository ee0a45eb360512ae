package prefixindex

import (
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func added(t msg.TargetID, seq uint64, blocks ...msg.BlockHash) msg.CacheReported {
	return msg.CacheReported{Target: t, Events: []msg.CacheEvent{{Seq: seq, Blocks: blocks}}}
}

func TestLongestPrefixComesFirst(t *testing.T) {
	is := is.New(t)
	x := New(0)
	x.Apply(added("a", 1, 1))
	x.Apply(added("b", 1, 1, 2))
	hits := x.Lookup(nil, []msg.BlockHash{1, 2, 3})
	is.Equal(hits, []Hit{{Target: "b", Blocks: 2, Trust: 1}, {Target: "a", Blocks: 1, Trust: 1}})
}

// The event for block 1 was lost, but block 2 implies block 1.
func TestLostEventIsTolerated(t *testing.T) {
	is := is.New(t)
	x := New(0)
	x.Apply(added("a", 2, 2))
	is.Equal(x.Lookup(nil, []msg.BlockHash{1, 2})[0].Blocks, 2)
}

func TestEventsOutOfOrderAreIgnored(t *testing.T) {
	is := is.New(t)
	x := New(0)
	x.Apply(msg.CacheReported{Target: "a", Events: []msg.CacheEvent{{Seq: 5, Removed: true, Blocks: []msg.BlockHash{1}}}})
	x.Apply(added("a", 4, 1))
	is.Equal(len(x.Lookup(nil, []msg.BlockHash{1})), 0)
}

func TestRestartedEngineHoldsNothing(t *testing.T) {
	is := is.New(t)
	x := New(0)
	x.RecordSent("a", []msg.BlockHash{1})
	x.ResetEngine("a")
	is.Equal(len(x.Lookup(nil, []msg.BlockHash{1})), 0)
	x.Apply(added("a", 1, 1)) // sequence numbers start again at 1
	is.Equal(len(x.Lookup(nil, []msg.BlockHash{1})), 1)
}

func TestMissedHitsLowerTrust(t *testing.T) {
	is := is.New(t)
	x := New(0)
	x.RecordSent("a", []msg.BlockHash{1})
	for range 50 {
		x.RecordHits("a", 2, 0)
	}
	is.Equal(x.Lookup(nil, []msg.BlockHash{1})[0].Trust, minTrust)
}

func TestIndexIsBoundedAndKeepsUsedPrefixes(t *testing.T) {
	is := is.New(t)
	x := New(100)
	x.RecordSent("a", []msg.BlockHash{1})
	for i := msg.BlockHash(2); i < 5000; i++ {
		x.RecordSent("a", []msg.BlockHash{i})
		if i%20 == 0 {
			is.Equal(len(x.Lookup(nil, []msg.BlockHash{1})), 1)
		}
		is.True(x.Len() <= 100)
	}
	is.Equal(len(x.Lookup(nil, []msg.BlockHash{2})), 0)
}

// A prefix whose holders change when the recent half is full is counted once.
func TestPrefixIsCountedOnce(t *testing.T) {
	is := is.New(t)
	x := New(4)
	x.RecordSent("a", []msg.BlockHash{1, 2})
	x.RecordSent("b", []msg.BlockHash{2})
	is.Equal(x.Len(), 2)
}
