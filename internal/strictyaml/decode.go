// Package strictyaml decodes a YAML document into a struct and checks it. Every
// fault is reported with its line, column and path.
package strictyaml

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Violation is a fault at a path of the document, found by a [Check].
type Violation struct {
	Path    string
	Message string
}

// Check looks for violations that no validation tag can express. It is called
// only when the tags hold.
type Check[T any] func(*T) []Violation

// Decode reads one YAML document. Unknown fields, repeated fields, anchors,
// further documents, values that break their validation tag and the faults
// that check finds are an [*Error]; v is then incomplete and must not be used.
func Decode[T any](b []byte, v *T, check Check[T]) (err error) {
	// The YAML library panics on some malformed documents.
	defer func() {
		if r := recover(); r != nil {
			err = single(Problem{Message: fmt.Sprintf("is not valid YAML: %v", r)})
		}
	}()
	return decode(b, v, check)
}

func decode[T any](b []byte, v *T, check Check[T]) error {
	tokens := lexer.Tokenize(string(b))
	if p, ok := tooDeep(tokens); ok {
		return single(p)
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return single(fromYAML(err, nil))
	}
	// The positions are worked out only where something is wrong.
	d := &document{file: file}
	if p, ok := d.unsupported(b); ok {
		return single(p)
	}
	if err := yaml.NodeToValue(d.body(), v, yaml.Strict()); err != nil {
		return single(fromYAML(err, d.positions()))
	}
	if problems := validate(v, d); len(problems) > 0 {
		return &Error{Problems: problems}
	}
	if check == nil {
		return nil
	}
	return located(check(v), d)
}

// document is a parsed document.
type document struct {
	file *ast.File
	pos  *positions
}

// body returns the document's root node; an empty document is an empty
// mapping.
func (d *document) body() ast.Node {
	if len(d.file.Docs) == 0 || d.file.Docs[0].Body == nil {
		return ast.Mapping(token.New("", "", &token.Position{Line: 1, Column: 1}), true)
	}
	return d.file.Docs[0].Body
}

func (d *document) positions() *positions {
	if d.pos == nil {
		d.pos = newPositions(d.file)
	}
	return d.pos
}

// Valid reports whether a value meets its validation tags and the check.
func Valid[T any](v *T, check Check[T]) bool {
	return tags.Struct(v) == nil && len(check(v)) == 0
}

func located(faults []Violation, d *document) error {
	if len(faults) == 0 {
		return nil
	}
	e := &Error{}
	for _, f := range faults {
		e.Problems = append(e.Problems, d.positions().problem(f.Path, f.Message))
	}
	return e
}

func validate(v any, d *document) []Problem {
	err := tags.Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	problems := make([]Problem, 0, len(fields))
	for _, f := range fields {
		problems = append(problems, d.positions().problem(pathOf(f), explain(f)))
	}
	return problems
}

// pathOf turns a validator's namespace, which starts with the type's name,
// into a path of the document.
func pathOf(f validator.FieldError) string {
	_, rest, found := strings.Cut(f.Namespace(), ".")
	if !found {
		return "$"
	}
	return "$." + rest
}

func fromYAML(err error, pos *positions) Problem {
	var ye yaml.Error
	if !errors.As(err, &ye) {
		return Problem{Message: err.Error()}
	}
	p := Problem{Message: ye.GetMessage()}
	if t := ye.GetToken(); t != nil && t.Position != nil {
		p.Line, p.Column = t.Position.Line, t.Position.Column
		p.Path = pos.pathAt(p.Line, p.Column)
	}
	return p
}

// positions finds nodes of a document by path and by position.
type positions struct {
	byPath map[string]position
	paths  map[position]string
}

type position struct{ line, column int }

func newPositions(file *ast.File) *positions {
	p := &positions{byPath: make(map[string]position), paths: make(map[position]string)}
	for _, doc := range file.Docs {
		if doc.Body != nil {
			ast.Walk(p, doc.Body)
		}
	}
	return p
}

// Visit implements [ast.Visitor].
func (p *positions) Visit(n ast.Node) ast.Visitor {
	tok := n.GetToken()
	if tok == nil || tok.Position == nil {
		return p
	}
	if key := firstKey(n); key != nil {
		tok = key.GetToken()
	}
	at := position{tok.Position.Line, tok.Position.Column}
	path := n.GetPath()
	if _, ok := p.byPath[path]; !ok {
		p.byPath[path] = at
	}
	p.paths[at] = path
	return p
}

// firstKey returns the first key of a mapping; the mapping's own token is the
// colon behind it.
func firstKey(n ast.Node) ast.Node {
	switch n := n.(type) {
	case *ast.MappingValueNode:
		return n.Key
	case *ast.MappingNode:
		if len(n.Values) > 0 {
			return n.Values[0].Key
		}
	}
	return nil
}

func (p *positions) pathAt(line, column int) string {
	if p == nil {
		return ""
	}
	return p.paths[position{line, column}]
}

// problem locates a path; where the field is missing it gives the position of
// the nearest field around it.
func (p *positions) problem(path, message string) Problem {
	for at := path; at != ""; at = parent(at) {
		if pos, ok := p.byPath[at]; ok {
			return Problem{Line: pos.line, Column: pos.column, Path: path, Message: message}
		}
	}
	return Problem{Path: path, Message: message}
}

func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// unsupported finds what a generated document has no use for: several
// documents in one, and aliases, which can make a small text very large.
func (d *document) unsupported(text []byte) (Problem, bool) {
	if len(d.file.Docs) > 1 {
		return Problem{Message: "holds more than one YAML document; give one"}, true
	}
	if !bytes.ContainsAny(text, "&*") {
		return Problem{}, false
	}
	var found aliasFinder
	for _, doc := range d.file.Docs {
		if doc.Body != nil {
			ast.Walk(&found, doc.Body)
		}
	}
	if found.at == nil {
		return Problem{}, false
	}
	at := found.at.GetToken().Position
	return Problem{Line: at.Line, Column: at.Column, Message: "anchors and aliases are not taken; write the value out"}, true
}

type aliasFinder struct{ at ast.Node }

// Visit implements [ast.Visitor].
func (f *aliasFinder) Visit(n ast.Node) ast.Visitor {
	switch n.(type) {
	case *ast.AliasNode, *ast.AnchorNode:
		f.at = n
		return nil
	}
	return f
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "" {
		return f.Name
	}
	return name
}
