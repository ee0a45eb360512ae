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
	namePattern = `^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`
	hexPattern  = `^[0-9a-f]*$`
	maxName     = 63
)

// applyTags adds to a schema what the validation tags of its struct say, and
// to those of the structs below it.
func applyTags(s *jsonschema.Schema, defs jsonschema.Definitions, t reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		property, ok := s.Properties.Get(name)
		if !ok {
			continue
		}
		own, elements, _ := strings.Cut(f.Tag.Get("validate"), "dive")
		if isRequired(own) {
			s.Required = append(s.Required, name)
		}
		applyRules(property, own)
		if property.Items != nil {
			applyRules(property.Items, elements)
		}
		if inner, ok := structOf(f.Type); ok && defs[inner.Name()] != nil {
			applyTags(defs[inner.Name()], defs, inner)
		}
	}
	slices.Sort(s.Required)
	s.Required = slices.Compact(s.Required)
}

// isRequired reports whether a field must be given: a missing one is zero and
// breaks the rule gt=0.
func isRequired(rules string) bool {
	list := strings.Split(rules, ",")
	return slices.Contains(list, "required") || slices.Contains(list, "gt=0")
}

// structOf returns the struct in a field of struct, pointer or list type.
func structOf(t reflect.Type) (reflect.Type, bool) {
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
		s.MaxLength = number(strconv.Itoa(maxName))
	case "hexadecimal":
		s.Pattern = hexPattern
	case "startswith":
		s.Pattern = "^" + param
	case "len":
		s.MinLength, s.MaxLength = number(param), number(param)
	case "min":
		s.MinItems = number(param)
	case "url":
		s.Format = "uri"
	case "gt", "gte", "lte":
		applyBound(s, name, param)
	}
}

// applyBound bounds numbers; durations are strings in the document.
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

func number(param string) *uint64 {
	v, err := strconv.ParseUint(param, 10, 64)
	if err != nil {
		panic("schema: validation tag: " + err.Error())
	}
	return &v
}
