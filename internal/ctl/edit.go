package ctl

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// numberedID matches an ID that ends with a number.
var numberedID = regexp.MustCompile(`^(.*)-([0-9]+)$`)

// nextID returns an unused ID for the successor of a key: the old ID with its
// number incremented, or with a number appended if it has none.
func nextID(index *manifest.Index, old string) string {
	stem, n := old, 1
	if m := numberedID.FindStringSubmatch(old); m != nil {
		if v, err := strconv.Atoi(m[2]); err == nil {
			stem, n = m[1], v
		}
	}
	for {
		n++
		id := fmt.Sprintf("%s-%d", stem, n)
		if _, taken := index.Key(id); !taken {
			return id
		}
	}
}

// editKeys replaces the keys of one account in a manifest file. The rest of the
// file keeps its comments and order. The file is written only if the result
// differs from the old manifest in these keys alone.
func editKeys(path, account string, edit func([]manifest.Key) ([]manifest.Key, error)) error {
	m, text, err := readManifest(path)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(m.Accounts, func(a manifest.Account) bool { return a.Name == account })
	if i < 0 {
		return exitErrorf(exitNotFound, "account %q does not exist in %s", account, path)
	}
	hadKeys := len(m.Accounts[i].Keys) > 0
	keys, err := edit(slices.Clone(m.Accounts[i].Keys))
	if err != nil {
		return err
	}
	out, err := replaceKeys(text, i, hadKeys, keys)
	if err != nil {
		return errors.Wrapf(err, "%s can't be edited in place; change it by hand", path)
	}
	m.Accounts[i].Keys = keys
	if err := checkEditedManifest(m, out); err != nil {
		return errors.Wrapf(err, "%s can't be edited in place; change it by hand", path)
	}
	return replaceFile(path, out)
}

// replaceKeys replaces the keys of an account, which is given by its index, in the
// text of a manifest. HadKeys is set if the account has keys already.
func replaceKeys(text []byte, account int, hadKeys bool, keys []manifest.Key) ([]byte, error) {
	file, err := parser.ParseBytes(text, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	yamlPath := fmt.Sprintf("$.accounts[%d]", account)
	stanza := strings.NewReader(formatKeys(keys))
	if hadKeys {
		yamlPath += ".keys"
	} else {
		stanza = strings.NewReader("keys:\n" + formatKeys(keys))
	}
	path, err := yaml.PathString(yamlPath)
	if err != nil {
		return nil, err
	}
	if hadKeys {
		err = path.ReplaceWithReader(file, stanza)
	} else {
		err = path.MergeFromReader(file, stanza)
	}
	return []byte(strings.TrimRight(file.String(), "\n") + "\n"), err
}

// formatKeys returns the YAML of a list of keys.
func formatKeys(keys []manifest.Key) string {
	if len(keys) == 0 {
		return "[]\n"
	}
	var b strings.Builder
	for _, k := range keys {
		fmt.Fprintf(&b, "- {id: %s, hash: %q", k.ID, k.Hash)
		if !k.NotAfter.IsZero() {
			fmt.Fprintf(&b, ", notAfter: %q", k.NotAfter.UTC().Format("2006-01-02T15:04:05Z"))
		}
		b.WriteString("}\n")
	}
	return b.String()
}

// checkEditedManifest returns an error unless text decodes to the manifest want.
func checkEditedManifest(want *manifest.Manifest, text []byte) error {
	got, err := manifest.Decode(text)
	if err != nil {
		return err
	}
	changes, err := manifest.Diff(want, got)
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		return errors.Newf("the edit would also change %s", changes[0].Path)
	}
	return nil
}

// replaceFile replaces the contents of a file atomically and keeps its mode.
func replaceFile(path string, b []byte) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "manifest")
	}
	if err := os.WriteFile(path+".new", b, info.Mode().Perm()); err != nil {
		return errors.Wrap(err, "manifest")
	}
	return errors.Wrap(os.Rename(path+".new", path), "manifest")
}
