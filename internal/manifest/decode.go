package manifest

import (
	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// ErrTooLarge is returned for a manifest of more than [MaxSize] bytes.
var ErrTooLarge = errors.Newf("manifest is larger than %d bytes", MaxSize)

// Decode reads and checks a manifest. Unknown fields, duplicate names,
// references to missing objects and values out of range are returned as a
// [*strictyaml.Error], which gives the line and the path of each.
func Decode(b []byte) (*Manifest, error) {
	if len(b) > MaxSize {
		return nil, ErrTooLarge
	}
	if m, ok := decodeCanonical(b); ok {
		return m, nil
	}
	var m Manifest
	if err := strictyaml.Decode(b, &m, check); err != nil {
		return nil, errors.Wrap(err, "manifest")
	}
	return &m, nil
}
