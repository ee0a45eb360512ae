package manifest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// zeroHash is a valid hash for the keys of tests.
const zeroHash = "0000000000000000000000000000000000000000000000000000000000000000"

const validManifest = `apiVersion: verbenaspur/v1
deployment: test
models:
  - {name: m, version: v1, adapters: [a]}
pools:
  - name: p
    kind: engines
    model: m
    shape:
      - {failureDomain: fd-a, min: 1, max: 2}
routes:
  - {name: r, pool: p, access: keyed, class: urgent, timeout: 10s}
accounts:
  - name: acc
    weight: 1
    keys:
      - {id: k1, hash: "` + zeroHash + `"}
`

func TestDecodeValid(t *testing.T) {
	is := is.New(t)
	m, err := Decode([]byte(validManifest))
	is.NoErr(err)
	is.Equal(m.Routes[0].Timeout.String(), "10s")
	is.Equal(m.Accounts[0].Keys[0].ID, "k1")
}

func TestDecodeRejectsInvalidManifests(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown field", "kind: engines", "kind: engines\n    colour: red", `line 8, column 5: $.pools[0].colour: unknown field "colour"`},
		{"repeated field", "    model: m", "    model: m\n    model: m", "line 9, column 5"},
		{"bad name", "deployment: test", "deployment: Te_st", `line 2, column 1: $.deployment: "Te_st" is not a name`},
		{"missing field", "    weight: 1\n", "", "line 14, column 5: $.accounts[0].weight: 0 must be greater than 0"},
		{"missing list", "access: keyed, ", "", "$.routes[0].access: is missing"},
		{"wrong unit", "timeout: 10s", "timeout: 10", "a duration with a unit"},
		{"wrong type", "min: 1", "min: one", "line 10, column 36: $.pools[0].shape[0].min"},
		{"out of range", "max: 2", "max: 0", "$.pools[0].shape[0].max: 0 must be at least the value of field Min"},
		{"wrong value", "class: urgent", "class: soon", `"soon" is not one of: urgent ordinary may-wait`},
		{"dangling pool", "pool: p", "pool: q", `line 12, column 15: $.routes[0].pool: pool "q" does not exist`},
		{"dangling model", "    model: m", "    model: n", `line 8, column 5: $.pools[0].model: model "n" does not exist`},
		{"dangling adapter", "timeout: 10s", "timeout: 10s, adapter: z", `model "m" has no adapter "z"`},
		{"dangling account", "timeout: 10s", "timeout: 10s, accounts: [x]", `$.routes[0].accounts[0]: account "x" does not exist`},
		{"duplicate model", "  - {name: m,", "  - {name: m, version: v0}\n  - {name: m,", `$.models[1].name: duplicate model "m"`},
		{"duplicate key", "      - {id: k1", "      - {id: k1, hash: '" + zeroHash + "'}\n      - {id: k1", `duplicate key "k1"`},
		{"public with accounts", "access: keyed", "access: public, accounts: [acc]", "must not be set for a public route"},
		{"alias", "adapters: [a]", "adapters: &x [a]", "anchors and aliases are not supported"},
		{"second document", "apiVersion", "a: b\n---\napiVersion", "more than one YAML document"},
		{"other version", "verbenaspur/v1", "verbenaspur/v2", `"verbenaspur/v2" must be verbenaspur/v1`},
		{"syntax", "deployment: test", "deployment: [", "line "},
		{"empty", validManifest, "", "is missing"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, err := Decode([]byte(strings.Replace(validManifest, tt.old, tt.new, 1)))
			is.True(m == nil)
			is.True(err != nil)
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got  %v\nwant %s", err, tt.want)
			}
		})
	}
}

func TestDecodeRejectsTooLargeManifest(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]byte(validManifest + strings.Repeat("#", MaxSize)))
	is.Equal(err, ErrTooLarge)
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			b, err := os.ReadFile(f)
			is.NoErr(err)
			_, err = Decode(b)
			is.NoErr(err)
		})
	}
}

func TestCanonicalFormDecodesToSameManifest(t *testing.T) {
	is := is.New(t)
	m, err := Decode([]byte(validManifest))
	is.NoErr(err)
	b, err := Encode(m)
	is.NoErr(err)
	_, ok := decodeCanonical(b)
	is.True(ok)
	decoded, err := Decode(b)
	is.NoErr(err)
	is.Equal(decoded, m)
}

func TestNonCanonicalJSONIsDecodedAsYAML(t *testing.T) {
	m, err := Decode([]byte(validManifest))
	is.New(t).NoErr(err)
	b, err := Encode(m)
	is.New(t).NoErr(err)
	tests := []struct{ name, old, new, want string }{
		{"repeated field", `"deployment":"test"`, `"deployment":"test","deployment":"test2"`, "line 1"},
		{"misspelt field", `"deployment":"test"`, `"Deployment":"test"`, "Deployment"},
		{"unknown field", `"deployment":"test"`, `"deployment":"test","x":1`, `unknown field "x"`},
		{"dangling reference", `"pool":"p"`, `"pool":"q"`, `pool "q" does not exist`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode([]byte(strings.Replace(string(b), tt.old, tt.new, 1)))
			is.True(err != nil)
			if !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("got  %v\nwant %s", err, tt.want)
			}
		})
	}
}

func FuzzCanonicalForm(f *testing.F) {
	f.Add([]byte(validManifest))
	f.Add([]byte("{}"))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		canonical, err := Encode(m)
		if err != nil {
			t.Fatalf("valid manifest can't be encoded: %v", err)
		}
		decoded, err := Decode(canonical)
		if err != nil {
			t.Fatalf("canonical form is rejected: %v", err)
		}
		if changes, err := Diff(m, decoded); err != nil || len(changes) > 0 {
			t.Fatalf("canonical form differs: %v %v", changes, err)
		}
	})
}
