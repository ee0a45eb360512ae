package docscheck

import (
	"go/scanner"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const root = "../.."

var (
	sourceDirs  = []string{"cmd", "dashboards", "demo", "deploy", "examples", "internal", "platform", "schema"}
	sourceFiles = []string{"Makefile", "go.mod", ".golangci.yml"}

	wordPattern       = regexp.MustCompile(`[A-Za-z_][A-Za-z0-9_]*(?:-[A-Za-z0-9_]+)*`)
	makeTargetPattern = regexp.MustCompile(`(?m)^([a-z][a-z-]*):`)
)

// source is what the documentation may quote. Comments of Go files are left out,
// because a name that only a comment still has no longer exists.
type source struct {
	// words holds identifiers, and the words of string literals and of other files.
	words map[string]bool
	// literals holds the string literals of each Go package, by directory.
	literals map[string]map[string]bool
	// files holds the names of all files, without their directories.
	files       map[string]bool
	makeTargets map[string]bool
	// modules holds the content of go.mod.
	modules string
}

func readSource(t *testing.T) *source {
	is := is.New(t)
	s := &source{
		words: map[string]bool{}, literals: map[string]map[string]bool{},
		files: map[string]bool{}, makeTargets: map[string]bool{},
	}
	for _, dir := range sourceDirs {
		is.NoErr(filepath.WalkDir(filepath.Join(root, dir), func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return err
			}
			return s.addFile(path)
		}))
	}
	for _, name := range sourceFiles {
		is.NoErr(s.addFile(filepath.Join(root, name)))
	}
	modules, err := os.ReadFile(filepath.Join(root, "go.mod"))
	is.NoErr(err)
	s.modules = string(modules)
	text, err := os.ReadFile(filepath.Join(root, "Makefile"))
	is.NoErr(err)
	for _, m := range makeTargetPattern.FindAllStringSubmatch(string(text), -1) {
		s.makeTargets[m[1]] = true
	}
	return s
}

func (s *source) addFile(path string) error {
	if strings.Contains(filepath.ToSlash(path), "internal/docscheck/") {
		return nil // The exceptions of this test are not source.
	}
	s.files[filepath.Base(path)] = true
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if filepath.Ext(path) == ".go" {
		s.addGo(filepath.Dir(path), text)
		return nil
	}
	s.addWords(string(text))
	return nil
}

func (s *source) addGo(dir string, text []byte) {
	if s.literals[dir] == nil {
		s.literals[dir] = map[string]bool{}
	}
	var scan scanner.Scanner
	files := token.NewFileSet()
	scan.Init(files.AddFile("", files.Base(), len(text)), text, nil, 0)
	for {
		_, tok, lit := scan.Scan()
		switch tok {
		case token.EOF:
			return
		case token.IDENT:
			s.words[lit] = true
		case token.STRING:
			if value, err := strconv.Unquote(lit); err == nil {
				s.literals[dir][value] = true
				s.addWords(value)
			}
		}
	}
}

// addWords adds the words of a text, and the parts of those that have hyphens.
func (s *source) addWords(text string) {
	for _, w := range wordPattern.FindAllString(text, -1) {
		s.words[w] = true
		for part := range strings.SplitSeq(w, "-") {
			s.words[part] = true
		}
	}
}

// literal reports whether a string literal equals the text.
func (s *source) literal(text string) bool {
	for _, in := range s.literals {
		if in[text] {
			return true
		}
	}
	return false
}

// hasText reports whether a string literal equals the text after a log prefix.
func (s *source) hasText(text string) bool {
	for _, in := range s.literals {
		for l := range in {
			if strings.HasSuffix(l, ": "+text) {
				return true
			}
		}
	}
	return false
}

// logs reports whether a package writes a log line with this prefix and text, and
// whether it has each of the attribute keys.
func (s *source) logs(prefix, text string, keys []string) bool {
	for _, in := range s.literals {
		known := in[prefix+": "+text] || in[prefix] && in[text] || s.inJSON(in, prefix+": "+text)
		for _, k := range keys {
			known = known && in[k]
		}
		if known {
			return true
		}
	}
	return false
}

// inJSON reports whether a literal is a JSON log line with this message.
func (s *source) inJSON(literals map[string]bool, message string) bool {
	for l := range literals {
		if strings.Contains(l, `"msg":"`+message+`"`) {
			return true
		}
	}
	return false
}

// library reports whether the source imports a package of the standard library,
// or go.mod requires a module whose path ends like this.
func (s *source) library(path string) bool {
	return s.literal(path) || strings.Contains(s.modules, path)
}

// hasPrefix reports whether a word begins with the text.
func (s *source) hasPrefix(text string) bool {
	for w := range s.words {
		if strings.HasPrefix(w, text) {
			return true
		}
	}
	return false
}

// hasSuffix reports whether a word ends with the text.
func (s *source) hasSuffix(text string) bool {
	for w := range s.words {
		if strings.HasSuffix(w, text) {
			return true
		}
	}
	return false
}

// component reports whether a folder of internal/core is a package.
func (s *source) component(folder string) bool {
	return s.literals[filepath.Join(root, "internal/core", folder)] != nil
}
