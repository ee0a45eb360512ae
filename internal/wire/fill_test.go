package wire_test

import (
	"cmp"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/link"
	"github.com/verbenaspur/verbenaspur/internal/wire"
)

// Every field of a message that can be encoded survives encoding.
func TestFilledMessagesSurviveEncoding(t *testing.T) {
	types := append(msg.PeerTypes(), msg.EventTypes()...)
	types = append(types, msg.EffectTypes()...)
	types = append(types, reflect.TypeFor[link.Frame]())
	for _, typ := range types {
		t.Run(typ.Name(), func(t *testing.T) {
			is := is.New(t)
			in := reflect.New(typ)
			fill(in.Elem())
			b, err := wire.Marshal(in.Interface())
			is.NoErr(err)
			out := reflect.New(typ)
			is.NoErr(wire.Unmarshal(b, out.Interface()))
			again, err := wire.Marshal(out.Interface())
			is.NoErr(err)
			is.Equal(again, b)
			is.Equal(countZero(out.Elem()), countZero(in.Elem())) // Nothing was dropped.
		})
	}
}

// keyOf returns the key of a field in an encoded message. Two fields of a message must
// not share one: the encoder then drops both.
func keyOf(f reflect.StructField) string {
	key, _, _ := strings.Cut(f.Tag.Get("cbor"), ",")
	return cmp.Or(key, f.Name)
}

// fill sets every encoded field to a value other than the zero value, with one
// element in each slice and map. Interfaces and recursive types stay zero.
func fill(v reflect.Value) { fillNested(v, make(map[reflect.Type]bool)) }

func fillNested(v reflect.Value, outer map[reflect.Type]bool) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1)
	case reflect.String:
		v.SetString("x")
	case reflect.Pointer:
		p := reflect.New(v.Type().Elem())
		fillNested(p.Elem(), outer)
		v.Set(p)
	case reflect.Slice:
		s := reflect.MakeSlice(v.Type(), 1, 1)
		fillNested(s.Index(0), outer)
		v.Set(s)
	case reflect.Array:
		for i := range v.Len() {
			fillNested(v.Index(i), outer)
		}
	case reflect.Map:
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillNested(key, outer)
		fillNested(elem, outer)
		m := reflect.MakeMap(v.Type())
		m.SetMapIndex(key, elem)
		v.Set(m)
	case reflect.Struct:
		fillStruct(v, outer)
	}
}

func fillStruct(v reflect.Value, outer map[reflect.Type]bool) {
	if outer[v.Type()] {
		return
	}
	outer[v.Type()] = true
	defer delete(outer, v.Type())
	fieldOfKey := make(map[string]string)
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !encoded(f) {
			continue
		}
		if other := fieldOfKey[keyOf(f)]; other != "" {
			panic(fmt.Sprintf("%v: fields %s and %s share the key %s", v.Type(), other, f.Name, keyOf(f)))
		}
		fieldOfKey[keyOf(f)] = f.Name
		fillNested(v.Field(i), outer)
	}
}

// encoded reports whether a field is part of an encoded message.
func encoded(f reflect.StructField) bool { return f.IsExported() && f.Tag.Get("cbor") != "-" }

// countZero returns the number of encoded fields in v, at any depth, that are zero.
func countZero(v reflect.Value) int {
	n := 0
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			n += countZero(v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			n += countZero(v.Index(i))
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			n += countZero(it.Value())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if !encoded(v.Type().Field(i)) {
				continue
			}
			if v.Field(i).IsZero() {
				n++
			}
			n += countZero(v.Field(i))
		}
	}
	return n
}
