package manifest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"github.com/cockroachdb/errors"
)

// ChangeKind is the kind of a change.
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
	// Path is the changed field. It gives list entries by their names, for
	// example accounts[depot].keys[depot-1].notAfter.
	Path string `json:"path" yaml:"path"`
	// Old and New are the values in JSON. Old is empty for an added value, New
	// for a removed one.
	Old json.RawMessage `json:"old,omitempty" yaml:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty" yaml:"new,omitempty"`
}

// nameFields are the fields that identify an entry of a list, in order of
// preference.
var nameFields = []string{"name", "id", "failureDomain", "pathPrefix"}

// Diff returns the changes that turn one manifest into another, sorted by path.
// The order of list entries is ignored.
func Diff(from, to *Manifest) ([]Change, error) {
	a, err := toMap(from)
	if err != nil {
		return nil, err
	}
	b, err := toMap(to)
	if err != nil {
		return nil, err
	}
	d := &differ{}
	d.compare("", a, b)
	sort.SliceStable(d.changes, func(i, j int) bool { return d.changes[i].Path < d.changes[j].Path })
	return d.changes, d.err
}

func toMap(m *Manifest) (map[string]any, error) {
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
	for _, k := range unionKeys(a, b) {
		fieldPath := k
		if path != "" {
			fieldPath = path + "." + k
		}
		d.compareEntry(fieldPath, a, b, k)
	}
}

func (d *differ) compareLists(path string, a, b []any) {
	aByName, bByName := indexByName(a), indexByName(b)
	for _, k := range unionKeys(aByName, bByName) {
		d.compareEntry(fmt.Sprintf("%s[%s]", path, k), aByName, bByName, k)
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

// indexByName returns the entries of a list by their names.
func indexByName(list []any) map[string]any {
	out := make(map[string]any, len(list))
	for _, v := range list {
		out[entryName(v)] = v
	}
	return out
}

// entryName returns the name of a list entry. That of an operation includes its
// method.
func entryName(v any) string {
	m, ok := v.(map[string]any)
	if !ok {
		return fmt.Sprint(v)
	}
	for _, id := range nameFields {
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

func unionKeys(a, b map[string]any) []string {
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
