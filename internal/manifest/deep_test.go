package manifest

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// indented nests one level deeper on each line, to about a megabyte.
func indented() string {
	var b strings.Builder
	for i := 0; b.Len() < MaxSize-2000; i++ {
		b.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return b.String()
}

func TestDeepNestingIsRefused(t *testing.T) {
	for _, text := range []string{"[", "{a: ", "- ", "? ", "!t "} {
		is := is.New(t)
		_, err := Decode([]byte(strings.Repeat(text, MaxSize/len(text))))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "is nested too deeply"))
	}
	_, err := Decode([]byte(indented()))
	is.New(t).True(err != nil)
}
