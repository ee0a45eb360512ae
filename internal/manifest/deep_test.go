package manifest

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// deeplyIndented returns a document of about a megabyte in which each line is
// nested one level deeper than the line before.
func deeplyIndented() string {
	var b strings.Builder
	for i := 0; b.Len() < MaxSize-2000; i++ {
		b.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return b.String()
}

func TestDeepNestingIsRejected(t *testing.T) {
	for _, text := range []string{"[", "{a: ", "- ", "? ", "!t "} {
		is := is.New(t)
		_, err := Decode([]byte(strings.Repeat(text, MaxSize/len(text))))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "is nested too deeply"))
	}
	_, err := Decode([]byte(deeplyIndented()))
	is.New(t).True(err != nil)
}
