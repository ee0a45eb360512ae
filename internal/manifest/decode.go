package manifest

import (
	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

// ErrTooLarge is returned for a manifest over [MaxSize].
var ErrTooLarge = errors.Newf("manifest is larger than %d bytes", MaxSize)

// Decode reads and checks a manifest. Unknown fields, duplicate names,
// dangling references and values out of range are errors that give the line
// and the path, as a [*strictyaml.Error].
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
