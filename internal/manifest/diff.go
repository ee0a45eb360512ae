package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
)

// ChangeKind says what a change does.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdd    ChangeKind = "add"
	ChangeRemove ChangeKind = "remove"
	ChangeSet    ChangeKind = "set"
)

// Change is one difference between two manifests.
type Change struct {
	Kind ChangeKind `json:"kind" yaml:"kind"`
	// Path names list entries by their name, for example
	// accounts[depot].keys[depot-1].notAfter.
	Path string `json:"path" yaml:"path"`
	// Old and New are JSON; empty where there is none.
	Old json.RawMessage `json:"old,omitempty" yaml:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty" yaml:"new,omitempty"`
}

// identifiers are the fields that name an entry of a list, in order of
// preference.
var identifiers = []string{"name", "id", "failureDomain", "pathPrefix"}

// Diff returns what turns one manifest into another, in order of path. The
// order of list entries is no difference.
func Diff(from, to *Manifest) ([]Change, error) {
	a, err := generic(from)
	if err != nil {
		return nil, err
	}
	b, err := generic(to)
	if err != nil {
		return nil, err
	}
	d := &differ{}
	d.compare("", a, b)
	sort.SliceStable(d.changes, func(i, j int) bool { return d.changes[i].Path < d.changes[j].Path })
	return d.changes, d.err
}

func generic(m *Manifest) (map[string]any, error) {
	b, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "diff")
	}
	var out map[string]any
	return out, errors.Wrap(json.Unmarshal(b, &out), "diff")
}

type differ struct {
	changes []Change
	err     error
}

func (d *differ) add(kind ChangeKind, path string, from, to any) {
	c := Change{Kind: kind, Path: path}
	if kind != ChangeAdd {
		c.Old = d.encode(from)
	}
	if kind != ChangeRemove {
		c.New = d.encode(to)
	}
	d.changes = append(d.changes, c)
}

func (d *differ) encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		d.err = errors.Wrap(err, "diff")
	}
	return b
}

func (d *differ) compare(path string, from, to any) {
	switch a := from.(type) {
	case map[string]any:
		if b, ok := to.(map[string]any); ok {
			d.compareMaps(path, a, b)
			return
		}
	case []any:
		if b, ok := to.([]any); ok {
			d.compareLists(path, a, b)
			return
		}
	}
	if !bytes.Equal(d.encode(from), d.encode(to)) {
		d.add(ChangeSet, path, from, to)
	}
}

func (d *differ) compareMaps(path string, a, b map[string]any) {
	for _, k := range keysOf(a, b) {
		at := k
		if path != "" {
			at = path + "." + k
		}
		d.compareEntry(at, a, b, k)
	}
}

func (d *differ) compareLists(path string, a, b []any) {
	am, bm := byName(a), byName(b)
	for _, k := range keysOf(am, bm) {
		d.compareEntry(fmt.Sprintf("%s[%s]", path, k), am, bm, k)
	}
}

func (d *differ) compareEntry(path string, a, b map[string]any, key string) {
	from, inA := a[key]
	to, inB := b[key]
	switch {
	case !inA:
		d.add(ChangeAdd, path, nil, to)
	case !inB:
		d.add(ChangeRemove, path, from, nil)
	default:
		d.compare(path, from, to)
	}
}

// byName keys the entries of a list by what identifies them.
func byName(list []any) map[string]any {
	out := make(map[string]any, len(list))
	for _, v := range list {
		out[nameOf(v)] = v
	}
	return out
}

func nameOf(v any) string {
	m, ok := v.(map[string]any)
	if !ok {
		return fmt.Sprint(v)
	}
	for _, id := range identifiers {
		s, ok := m[id].(string)
		if !ok {
			continue
		}
		if method, ok := m["method"].(string); ok {
			return method + " " + s
		}
		return s
	}
	return fmt.Sprint(m)
}

func keysOf(a, b map[string]any) []string {
	keys := make([]string, 0, len(a)+len(b))
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}
