package msg

import (
	"reflect"
	"strings"
	"testing"
)

// Two fields of a type must not share a key: the encoder then drops both.
func TestFieldsOfMessageHaveDistinctKeys(t *testing.T) {
	seen := make(map[reflect.Type]bool)
	for _, types := range [][]reflect.Type{PeerTypes(), EventTypes(), EffectTypes()} {
		for _, typ := range types {
			checkKeys(t, typ, seen)
		}
	}
}

// checkKeys checks a type and the types of which it is made.
func checkKeys(t *testing.T, typ reflect.Type, seen map[reflect.Type]bool) {
	if seen[typ] {
		return
	}
	seen[typ] = true
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		checkKeys(t, typ.Elem(), seen)
	case reflect.Map:
		checkKeys(t, typ.Key(), seen)
		checkKeys(t, typ.Elem(), seen)
	case reflect.Struct:
		checkStructKeys(t, typ, seen)
	}
}

func checkStructKeys(t *testing.T, typ reflect.Type, seen map[reflect.Type]bool) {
	fieldOfKey := make(map[string]string)
	for i := range typ.NumField() {
		f := typ.Field(i)
		if !f.IsExported() {
			continue
		}
		key, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
		if key == "-" {
			continue
		}
		if key == "" {
			key = f.Name
		}
		if other := fieldOfKey[key]; other != "" {
			t.Errorf("%v: fields %s and %s share the key %s", typ, other, f.Name, key)
		}
		fieldOfKey[key] = f.Name
		checkKeys(t, f.Type, seen)
	}
}
