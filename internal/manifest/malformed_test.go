package manifest

import (
	"testing"

	"github.com/matryer/is"
)

// The YAML library panics on this document; FuzzDecode found it.
func TestTagWithoutAValueIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]byte("models: ! "))
	is.True(err != nil)
}
