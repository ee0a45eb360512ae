package config

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

func lines(t *rapid.T, name string) string {
	// There are few distinct lines, so that many are equal. One has no line
	// break.
	return strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "\n", "dd\n", "e"}), 0, 20).Draw(t, name), "")
}

func TestDiffProducesNewText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := lines(t, "from"), lines(t, "to")
		got, ok := apply(from, diff(from, to))
		if !ok || got != to {
			t.Fatalf("the diff from %q to %q produced %q", from, to, got)
		}
	})
}

func TestDiffOfSimilarTextsIsSmall(t *testing.T) {
	is := is.New(t)
	var from, to strings.Builder
	for i := range 2000 {
		weight := 1
		if i == 700 || i == 1500 {
			weight = 2
		}
		fmt.Fprintf(&from, "- name: a%d\n  weight: 1\n", i)
		fmt.Fprintf(&to, "- name: a%d\n  weight: %d\n", i, weight)
	}
	ops := diff(from.String(), to.String())
	is.True(len(ops) <= 7)
	got, ok := apply(from.String(), ops)
	is.True(ok && got == to.String())
}

func TestInvalidEditsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, op := range []msg.TextOp{{At: 3, Len: 1}, {At: -1, Len: 1}, {At: 1, Len: 3}, {At: 0, Len: -1}, {At: 1 << 62, Len: 1 << 62}} {
		_, ok := apply("abc", []msg.TextOp{op})
		is.True(!ok)
	}
	d := newDocument("abc")
	_, ok := d.applyEdits([]msg.ConfigEdit{{From: d.digest, To: "x", Ops: []msg.TextOp{{At: 0, Len: 2}}}}, "x")
	is.True(!ok) // The result does not match its digest.
	_, ok = d.applyEdits(nil, "x")
	is.True(!ok)
}

func example(t *testing.T) document {
	t.Helper()
	b, err := os.ReadFile("../../../../examples/taichung.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return newDocument(string(b))
}

func TestCompiledFormDecodesToSameManifest(t *testing.T) {
	is := is.New(t)
	d := example(t)
	fromText, err := d.decode()
	is.NoErr(err)
	is.True(d.compiled != "")
	fromCompiled, err := d.decode()
	is.NoErr(err)
	is.Equal(fromText, fromCompiled)
}

func TestDifferentCompiledFormIsDropped(t *testing.T) {
	is := is.New(t)
	a := example(t)
	b := newDocument(strings.Replace(a.text, "weight: 1", "weight: 3", 1))
	is.True(a.text != b.text)
	for _, d := range []*document{&a, &b} {
		_, err := d.decode()
		is.NoErr(err)
	}
	edit := []msg.ConfigEdit{a.editTo(b)}
	next, ok := a.applyEdits(edit, b.digest)
	is.True(ok)
	is.Equal(next, b)

	other := a
	other.compiled = "{\n\"compiledByAnotherVersion\": true\n}"
	next, ok = other.applyEdits(edit, b.digest)
	is.True(ok)
	is.Equal(next.compiled, "")
	_, err := next.decode()
	is.NoErr(err)
	is.Equal(next, b)
}

// The property tests use a fixed seed unless the command line sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }
