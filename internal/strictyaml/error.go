package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one error in a document, with its position.
type Problem struct {
	// Line and Column count from one. They are zero if the position is unknown.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the path of the field, for example $.pools[0].name.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d, column %d: ", p.Line, p.Column)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Message)
	return b.String()
}

// Error holds the problems that were found in a document.
type Error struct {
	Problems []Problem
}

// Error lists the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func singleProblem(p Problem) error { return &Error{Problems: []Problem{p}} }
