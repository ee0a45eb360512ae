package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// Line and Column count from one; zero where the position isn't known.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the place in the document, for example $.pools[0].name.
	Path    string `json:"path,omitempty"`
	Message string `json:"message"`
}

// String returns the problem as one line.
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

// Error holds every fault that was found in a document.
type Error struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func single(p Problem) error { return &Error{Problems: []Problem{p}} }
