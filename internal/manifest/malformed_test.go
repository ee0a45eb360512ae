package manifest

import (
	"testing"

	"github.com/matryer/is"
)

// The YAML library panics on this document, which FuzzDecode found. Decode must
// return an error instead.
func TestTagWithoutValueIsError(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]byte("models: ! "))
	is.True(err != nil)
}
