package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

// document is a manifest in two forms: the YAML text that operators wrote, and
// a compiled form that takes a hundredth of the time to decode. Edits change
// both forms, so that a daemon decodes YAML only when it starts.
type document struct {
	text   string
	digest string
	// compiled is indented JSON. It is empty if it is not known yet.
	compiled string
}

// newDocument returns the document of a manifest's text.
func newDocument(text string) document { return document{text: text, digest: digestOf(text)} }

// decode returns the manifest. It sets the compiled form if that is missing.
func (d *document) decode() (*manifest.Manifest, error) {
	var m manifest.Manifest
	if d.compiled != "" && json.Unmarshal([]byte(d.compiled), &m) == nil {
		return &m, nil
	}
	decoded, err := manifest.Decode([]byte(d.text))
	if err != nil {
		return nil, err
	}
	compiled, err := json.MarshalIndent(decoded, "", "")
	if err != nil {
		return nil, errors.Wrap(err, "compile manifest")
	}
	d.compiled = string(compiled)
	return decoded, nil
}

// editTo returns the edit that leads from d to next. Both must have been
// decoded.
func (d *document) editTo(next document) msg.ConfigEdit {
	return msg.ConfigEdit{
		From:       d.digest,
		To:         next.digest,
		Ops:        diff(d.text, next.text),
		Compiled:   diff(d.compiled, next.compiled),
		CompiledTo: digestOf(next.compiled),
	}
}

// applyEdits applies the edits that start from the document's digest. It
// returns false if there are none, or if the result does not have the wanted
// digest.
func (d document) applyEdits(edits []msg.ConfigEdit, want string) (document, bool) {
	if d.digest == want {
		return d, true
	}
	start := lastIndexFrom(edits, d.digest)
	if start < 0 {
		return document{}, false
	}
	for _, e := range edits[start:] {
		var ok bool
		if d.text, ok = apply(d.text, e.Ops); !ok {
			return document{}, false
		}
		d.compiled = applyCompiled(d.compiled, e)
	}
	d.digest = digestOf(d.text)
	return d, d.digest == want
}

// applyCompiled returns the compiled form after an edit. It returns the empty
// string if the compiled form is not known, or if this daemon compiles
// manifests differently from the daemon that made the edit.
func applyCompiled(compiled string, e msg.ConfigEdit) string {
	if compiled == "" {
		return ""
	}
	next, ok := apply(compiled, e.Compiled)
	if !ok || digestOf(next) != e.CompiledTo {
		return ""
	}
	return next
}

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
