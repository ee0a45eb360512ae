package schema

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/invopop/jsonschema"
)

const (
	namePattern   = `^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`
	hexPattern    = `^[0-9a-f]*$`
	maxNameLength = 63
)

// applyTags adds the rules of a struct's validation tags to its schema, and those
// of the structs in its fields to their schemas.
func applyTags(s *jsonschema.Schema, defs jsonschema.Definitions, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		property, ok := s.Properties.Get(name)
		if !ok {
			continue
		}
		// The rules after dive are those of the list's elements.
		fieldRules, elementRules, _ := strings.Cut(f.Tag.Get("validate"), "dive")
		if isRequired(fieldRules) {
			s.Required = append(s.Required, name)
		}
		applyRules(property, fieldRules)
		if property.Items != nil {
			applyRules(property.Items, elementRules)
		}
		if inner, ok := elementStruct(f.Type); ok && defs[inner.Name()] != nil {
			applyTags(defs[inner.Name()], defs, inner)
		}
	}
	slices.Sort(s.Required)
	s.Required = slices.Compact(s.Required)
}

// isRequired reports whether a field must be set. That includes fields with the
// rule gt=0, since a missing field is zero.
func isRequired(rules string) bool {
	list := strings.Split(rules, ",")
	return slices.Contains(list, "required") || slices.Contains(list, "gt=0")
}

// elementStruct returns the struct type of a field whose type is a struct, or a
// pointer or list of one.
func elementStruct(t reflect.Type) (reflect.Type, bool) {
	for t.Kind() == reflect.Slice || t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t, t.Kind() == reflect.Struct
}

func applyRules(s *jsonschema.Schema, rules string) {
	for _, rule := range strings.Split(rules, ",") {
		name, param, _ := strings.Cut(rule, "=")
		applyRule(s, name, param)
	}
}

func applyRule(s *jsonschema.Schema, name, param string) {
	switch name {
	case "oneof":
		for _, v := range strings.Fields(param) {
			s.Enum = append(s.Enum, v)
		}
	case "eq":
		s.Const = param
	case "name":
		s.Pattern = namePattern
		s.MaxLength = parseUint(strconv.Itoa(maxNameLength))
	case "hexadecimal":
		s.Pattern = hexPattern
	case "startswith":
		s.Pattern = "^" + param
	case "len":
		s.MinLength, s.MaxLength = parseUint(param), parseUint(param)
	case "min":
		s.MinItems = parseUint(param)
	case "url":
		s.Format = "uri"
	case "gt", "gte", "lte":
		applyBound(s, name, param)
	}
}

// applyBound adds the bound of a number. It ignores durations, which are strings
// in the document.
func applyBound(s *jsonschema.Schema, name, param string) {
	if s.Type == "string" {
		return
	}
	switch name {
	case "gt":
		s.ExclusiveMinimum = json.Number(param)
	case "gte":
		s.Minimum = json.Number(param)
	case "lte":
		s.Maximum = json.Number(param)
	}
}

func parseUint(param string) *uint64 {
	v, err := strconv.ParseUint(param, 10, 64)
	if err != nil {
		panic("schema: validation tag: " + err.Error())
	}
	return &v
}
