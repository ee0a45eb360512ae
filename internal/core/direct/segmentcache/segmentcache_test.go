package segmentcache

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func segment(id uint64) msg.PromptSegment { return msg.PromptSegment{ID: id, Tokens: 100 * int(id)} }

func TestLeastRecentlyUsedSegmentIsRemovedFirst(t *testing.T) {
	is := is.New(t)
	c := New()
	for id := range uint64(3) {
		is.True(c.Use(segment(id + 1)))
	}
	is.True(!c.Use(segment(1)))
	is.Equal(slices.Collect(c.OldestFirst()), []msg.PromptSegment{segment(2), segment(3), segment(1)})
	is.Equal(c.Tokens(), 600)
	is.Equal(c.RemoveOldest(), segment(2))
	is.Equal(c.Tokens(), 400)
	is.Equal(c.Len(), 2)
	is.True(c.Use(segment(2))) // a removed segment is new again
}

func TestPrefixHasNoGapsAndIsNotAUse(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Use(segment(1))
	c.Use(segment(3))
	held, tokens := c.Prefix([]msg.PromptSegment{segment(1), segment(2), segment(3)})
	is.Equal(held, []msg.PromptSegment{segment(1)})
	is.Equal(tokens, 100)
	is.Equal(c.RemoveOldest(), segment(1)) // Prefix did not mark it as used
}
