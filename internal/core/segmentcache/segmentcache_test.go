package segmentcache

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func part(id uint64) msg.PromptSegment { return msg.PromptSegment{ID: id, Tokens: 100 * int(id)} }

func TestOldestPartGoesFirst(t *testing.T) {
	is := is.New(t)
	c := New()
	for id := range uint64(3) {
		is.True(c.Use(part(id + 1)))
	}
	is.True(!c.Use(part(1)))
	is.Equal(slices.Collect(c.OldestFirst()), []msg.PromptSegment{part(2), part(3), part(1)})
	is.Equal(c.Tokens(), 600)
	is.Equal(c.RemoveOldest(), part(2))
	is.Equal(c.Tokens(), 400)
	is.Equal(c.Len(), 2)
	is.True(c.Use(part(2))) // it is new again
}

func TestPrefixIsUnbrokenAndNoUse(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Use(part(1))
	c.Use(part(3))
	held, tokens := c.Prefix([]msg.PromptSegment{part(1), part(2), part(3)})
	is.Equal(held, []msg.PromptSegment{part(1)})
	is.Equal(tokens, 100)
	is.Equal(c.RemoveOldest(), part(1)) // asking did not use it
}
