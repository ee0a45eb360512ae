package strictyaml

import (
	"github.com/goccy/go-yaml/token"
)

// maxDepth is the deepest allowed nesting of a document. The memory use of the
// parser grows with the square of the nesting.
const maxDepth = 32

// findDeepNesting looks for brackets that are nested too deeply, and for lines
// that open too many block collections. Nesting by indentation needs no check,
// since the size of the text limits it.
func findDeepNesting(tokens token.Tokens) (Problem, bool) {
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
