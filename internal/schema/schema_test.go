package schema

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

const root = "../.."

func TestPublishedSchemasAreUpToDate(t *testing.T) {
	is := is.New(t)
	files, err := Generate(root)
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, f := range files {
		published, err := os.ReadFile(filepath.Join(root, f.Name))
		is.NoErr(err)
		if string(published) != string(f.Text) {
			t.Errorf("%s is out of date; run go generate ./internal/schema", f.Name)
		}
	}
}

func TestValidationTagsAreInSchema(t *testing.T) {
	is := is.New(t)
	files, err := Generate(root)
	is.NoErr(err)
	var doc struct {
		Required []string
		Defs     map[string]struct {
			Required   []string
			Properties map[string]struct {
				Enum      []string
				Pattern   string
				MinLength int
				Minimum   *float64
			}
		} `json:"$defs"`
	}
	is.NoErr(json.Unmarshal(files[0].Text, &doc))
	is.Equal(doc.Required, []string{"apiVersion", "deployment", "pools", "routes"})
	is.Equal(doc.Defs["Route"].Properties["class"].Enum, []string{"urgent", "ordinary", "may-wait"})
	is.Equal(doc.Defs["Key"].Properties["hash"].MinLength, 64)
	is.Equal(doc.Defs["Key"].Properties["id"].Pattern, namePattern)
	is.Equal(*doc.Defs["DomainShape"].Properties["min"].Minimum, 0.0)
}
