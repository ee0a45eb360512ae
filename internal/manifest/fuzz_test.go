package manifest

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzDecode checks that the decoder returns an error for every input that it
// does not accept, rather than panicking, and that the objects of the manifests
// that it accepts are found through an Index.
func FuzzDecode(f *testing.F) {
	examples, err := filepath.Glob("../../examples/*.yaml")
	if err != nil || len(examples) == 0 {
		f.Fatal("no examples", err)
	}
	for _, name := range examples {
		b, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		x := NewIndex(m)
		for _, r := range m.Routes {
			if x.Route(r.Name) == nil || x.Pool(r.Pool) == nil {
				t.Fatalf("the index lacks route %q or its pool", r.Name)
			}
		}
		for _, a := range m.Accounts {
			for _, k := range a.Keys {
				if ref, ok := x.Key(k.ID); !ok || ref.Account.Name != a.Name {
					t.Fatalf("the index does not map key %q to account %q", k.ID, a.Name)
				}
			}
		}
	})
}
