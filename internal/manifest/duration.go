package manifest

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is encoded as a string with a unit, for
// example "300ms".
type Duration time.Duration

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a duration with its unit.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as 300ms or 2m", string(b))
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes a duration from a string with a unit.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Newf("%s is not a duration with a unit, such as \"300ms\"", b)
	}
	return d.UnmarshalText([]byte(s))
}
