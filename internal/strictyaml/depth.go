package strictyaml

import (
	"github.com/goccy/go-yaml/token"
)

// maxDepth bounds the nesting of a document. The parser's memory grows with
// the square of the nesting.
const maxDepth = 32

// tooDeep finds brackets that are nested too deeply, and lines that open too
// many block collections. Nesting by indentation is bounded by the size of
// the text.
func tooDeep(tokens token.Tokens) (Problem, bool) {
	depth, opened, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, opened = t.Position.Line, 0
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.SequenceEntryType, token.MappingKeyType, token.TagType:
			opened++
		}
		if depth > maxDepth || opened > maxDepth {
			return Problem{Line: line, Column: t.Position.Column, Message: "is nested too deeply"}, true
		}
	}
	return Problem{}, false
}
