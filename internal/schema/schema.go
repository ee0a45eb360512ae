// Package schema generates the published JSON Schemas from the Go types, their
// doc comments and their validation tags.
package schema

import (
	"encoding/json"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/invopop/jsonschema"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
	"github.com/verbenaspur/verbenaspur/internal/settings"
)

//go:generate go run ./generate ../..

const module = "github.com/verbenaspur/verbenaspur"

// File is one published schema.
type File struct {
	// Name is the path relative to the root of the repository.
	Name string
	Text []byte
}

// Generate returns the schemas. Root is the root of the repository, from whose
// sources the doc comments are read.
func Generate(root string) ([]File, error) {
	var files []File
	for _, s := range []struct {
		name, title string
		value       any
	}{
		{"schema/manifest.schema.json", "verbenaspur manifest", manifest.Manifest{}},
		{"schema/settings.schema.json", "verbenaspurd settings", settings.Settings{}},
	} {
		text, err := generate(root, s.title, reflect.TypeOf(s.value))
		if err != nil {
			return nil, errors.Wrap(err, s.name)
		}
		files = append(files, File{s.name, text})
	}
	return files, nil
}

func generate(root, title string, t reflect.Type) ([]byte, error) {
	r := &jsonschema.Reflector{
		Anonymous:                  true,
		ExpandedStruct:             true,
		RequiredFromJSONSchemaTags: true,
		FieldNameTag:               "yaml",
		Mapper:                     mapType,
	}
	comments, err := docComments(root)
	if err != nil {
		return nil, err
	}
	r.CommentMap = comments
	s := r.ReflectFromType(t)
	s.Title = title
	applyTags(s, s.Definitions, t)
	b, err := json.MarshalIndent(s, "", "  ")
	return append(b, '\n'), err
}

// docComments returns the doc comments of the types and their fields by import
// path and name.
func docComments(root string) (map[string]string, error) {
	var r jsonschema.Reflector
	for _, pkg := range []string{"manifest", "settings"} {
		dir := filepath.Join(root, "internal", pkg)
		if err := r.AddGoComments("", dir, jsonschema.WithFullComment()); err != nil {
			return nil, err
		}
	}
	comments := make(map[string]string, len(r.CommentMap))
	for name, text := range r.CommentMap {
		// The reflector identifies a package by its directory.
		name = strings.TrimPrefix(name, filepath.ToSlash(root)+"/")
		comments[module+"/"+name] = text
	}
	return comments, nil
}

// mapType returns the schemas of the types that are encoded as strings, and nil
// for other types.
func mapType(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[manifest.Duration]():
		return &jsonschema.Schema{
			Type:        "string",
			Pattern:     `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$`,
			Description: "A duration with its unit, such as 300ms or 2m.",
		}
	case reflect.TypeFor[time.Time]():
		return &jsonschema.Schema{Type: "string", Format: "date-time"}
	}
	return nil
}
