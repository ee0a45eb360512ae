package core

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const coreImportPath = "github.com/verbenaspur/verbenaspur/internal/core/"

// The packages of entries that drive their targets themselves and those of entries
// with side daemons must not use each other. Packages that serve neither way alone
// must use none of them.
func TestFamiliesAreApart(t *testing.T) {
	is := is.New(t)
	checked := 0
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || filepath.Dir(path) == "." {
			return err
		}
		checked++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		own := family(filepath.ToSlash(path))
		for _, imp := range file.Imports {
			imported, err := strconv.Unquote(imp.Path.Value)
			if err != nil {
				return err
			}
			other := family(strings.TrimPrefix(imported, coreImportPath))
			if strings.HasPrefix(imported, coreImportPath) && other != "" && other != own {
				t.Errorf("%s imports %s", path, imported)
			}
		}
		return nil
	})
	is.NoErr(err)
	is.True(checked > 100) // The walk has found the packages.
}

// family returns the family of a package or file below internal/core. It is empty for
// what both use.
func family(path string) string {
	first, _, _ := strings.Cut(path, "/")
	if first == "direct" || first == "pool" {
		return first
	}
	return ""
}
