package roles

import (
	"math"
	"slices"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// minDecodersOfVersion is the least number of decode engines that each software version
// keeps while a service has several. A stream can go on only at its version, also after one of
// these engines has failed.
const minDecodersOfVersion = 2

// versionDecoders counts the engines of a service with one software version. Minimum is
// how many of them have to decode.
type versionDecoders struct{ engines, decoding, minimum int }

// setMinimum gives the version its share of decode engines. One engine at least is left
// to prefill, and a version with a single engine need not decode.
func (v *versionDecoders) setMinimum(decodeShare float64) {
	share := int(math.Ceil(decodeShare * float64(v.engines)))
	v.minimum = min(max(share, minDecodersOfVersion), v.engines-1)
}

// serviceVersions counts the engines of a service by software version. It is nil for a
// service with one version, whose streams can go on at any engine.
type serviceVersions map[string]*versionDecoders

func decodersByVersion(list []msg.Instance, decodeShare float64) serviceVersions {
	s := make(serviceVersions)
	for _, in := range list {
		v := s[in.Version]
		if v == nil {
			v = &versionDecoders{}
			s[in.Version] = v
		}
		v.engines++
		if in.Role == msg.RoleDecode {
			v.decoding++
		}
	}
	if len(s) < 2 {
		return nil
	}
	for _, v := range s {
		v.setMinimum(decodeShare)
	}
	return s
}

// minimum returns how many engines of all versions together have to decode.
func (s serviceVersions) minimum() int {
	n := 0
	for _, v := range s {
		n += v.minimum
	}
	return n
}

// lacking reports whether too few engines of some version decode.
func (s serviceVersions) lacking() bool {
	for _, v := range s {
		if v.decoding < v.minimum {
			return true
		}
	}
	return false
}

// below returns the engines of the versions of which too few decode.
func (s serviceVersions) below(list []msg.Instance) []msg.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in msg.Instance) bool {
		v := s[in.Version]
		return v.decoding >= v.minimum
	})
}

// above returns the engines of the versions of which more decode than have to.
func (s serviceVersions) above(list []msg.Instance) []msg.Instance {
	return slices.DeleteFunc(slices.Clone(list), func(in msg.Instance) bool {
		v := s[in.Version]
		return v != nil && v.decoding <= v.minimum
	})
}
