// Package strictyaml decodes a YAML document into a struct and checks it. Errors
// give the line, column and path of each problem.
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

// Violation is a broken rule at a path of the document, found by a [Check].
type Violation struct {
	Path    string
	Message string
}

// Check returns the violations of rules that validation tags can't express. It is
// called only if the rules of all validation tags are met.
type Check[T any] func(*T) []Violation

// Decode reads one YAML document into v. It returns an [*Error] for unknown or
// repeated fields, anchors, more than one document, values that break the rules
// of their validation tag, and violations that check finds. After an error, v is
// incomplete and must not be used.
func Decode[T any](b []byte, v *T, check Check[T]) (err error) {
	// The YAML library panics on some malformed documents.
	defer func() {
		if r := recover(); r != nil {
			err = singleProblem(Problem{Message: fmt.Sprintf("is not valid YAML: %v", r)})
		}
	}()
	return decode(b, v, check)
}

func decode[T any](b []byte, v *T, check Check[T]) error {
	tokens := lexer.Tokenize(string(b))
	if p, ok := findDeepNesting(tokens); ok {
		return singleProblem(p)
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return singleProblem(yamlProblem(err, nil))
	}
	// The positions are computed only if there is a problem to report.
	d := &document{file: file}
	if p, ok := d.findUnsupported(b); ok {
		return singleProblem(p)
	}
	if err := yaml.NodeToValue(d.body(), v, yaml.Strict()); err != nil {
		return singleProblem(yamlProblem(err, d.positions()))
	}
	if problems := checkTags(v, d); len(problems) > 0 {
		return &Error{Problems: problems}
	}
	if check == nil {
		return nil
	}
	return locateViolations(check(v), d)
}

// document is a parsed document.
type document struct {
	file *ast.File
	// pos is nil until it is first needed.
	pos *positions
}

// body returns the document's root node. For an empty document it is an empty
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

// Valid reports whether a value meets the rules of its validation tags and check
// finds no violations.
func Valid[T any](v *T, check Check[T]) bool {
	return tagValidator.Struct(v) == nil && len(check(v)) == 0
}

// locateViolations returns violations as an [*Error] with their positions, or nil if
// there are none.
func locateViolations(violations []Violation, d *document) error {
	if len(violations) == 0 {
		return nil
	}
	e := &Error{}
	for _, v := range violations {
		e.Problems = append(e.Problems, d.positions().problemAt(v.Path, v.Message))
	}
	return e
}

func checkTags(v any, d *document) []Problem {
	err := tagValidator.Struct(v)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	problems := make([]Problem, 0, len(fields))
	for _, f := range fields {
		problems = append(problems, d.positions().problemAt(documentPath(f), ruleMessage(f)))
	}
	return problems
}

// documentPath converts a validator's namespace, which starts with the name of
// the type, into a path of the document.
func documentPath(f validator.FieldError) string {
	_, rest, found := strings.Cut(f.Namespace(), ".")
	if !found {
		return "$"
	}
	return "$." + rest
}

func yamlProblem(err error, pos *positions) Problem {
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

// positions maps the paths of a document's nodes to positions, and back.
type positions struct {
	byPath     map[string]position
	byPosition map[position]string
}

type position struct{ line, column int }

func newPositions(file *ast.File) *positions {
	p := &positions{byPath: make(map[string]position), byPosition: make(map[position]string)}
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
	pos := position{tok.Position.Line, tok.Position.Column}
	path := n.GetPath()
	if _, ok := p.byPath[path]; !ok {
		p.byPath[path] = pos
	}
	p.byPosition[pos] = path
	return p
}

// firstKey returns the first key of a mapping. The token of the mapping itself is
// the colon after that key.
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
	return p.byPosition[position{line, column}]
}

// problemAt returns a problem with the position of a path. If the document lacks
// the field, the position is that of the nearest field that encloses it.
func (p *positions) problemAt(path, message string) Problem {
	for ancestor := path; ancestor != ""; ancestor = parentPath(ancestor) {
		if pos, ok := p.byPath[ancestor]; ok {
			return Problem{Line: pos.line, Column: pos.column, Path: path, Message: message}
		}
	}
	return Problem{Path: path, Message: message}
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// findUnsupported looks for YAML features that generated documents do not need
// and that are not supported: several documents in one text, and aliases, with
// which a small text can expand to a very large value.
func (d *document) findUnsupported(text []byte) (Problem, bool) {
	if len(d.file.Docs) > 1 {
		return Problem{Message: "contains more than one YAML document; only one is allowed"}, true
	}
	if !bytes.ContainsAny(text, "&*") {
		return Problem{}, false
	}
	var finder aliasFinder
	for _, doc := range d.file.Docs {
		if doc.Body != nil {
			ast.Walk(&finder, doc.Body)
		}
	}
	if finder.found == nil {
		return Problem{}, false
	}
	pos := finder.found.GetToken().Position
	return Problem{Line: pos.Line, Column: pos.Column, Message: "anchors and aliases are not supported; repeat the value instead"}, true
}

// aliasFinder is an [ast.Visitor] that finds an alias or anchor.
type aliasFinder struct{ found ast.Node }

// Visit implements [ast.Visitor].
func (f *aliasFinder) Visit(n ast.Node) ast.Visitor {
	switch n.(type) {
	case *ast.AliasNode, *ast.AnchorNode:
		f.found = n
		return nil
	}
	return f
}

// fieldName returns the name of a struct field in the document.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "" {
		return f.Name
	}
	return name
}
