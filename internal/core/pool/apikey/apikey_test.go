package apikey

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

var notAfter = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// indexWith returns the index of a manifest with one client account that has
// the keys.
func indexWith(keys ...manifest.Key) *manifest.Index {
	return manifest.NewIndex(&manifest.Manifest{Accounts: []manifest.Account{{Name: "north", Keys: keys}}})
}

func TestNewKeyIsAcceptedUntilItExpires(t *testing.T) {
	is := is.New(t)
	text, hash := NewKey("k1", [SecretBytes]byte{1, 2, 250, 255})
	id, digest, ok := ParseBearer("bearer " + text)
	is.True(ok)
	is.Equal(id, "k1")

	x := indexWith(manifest.Key{ID: "k1", Hash: hash, NotAfter: notAfter})
	account, status := Check(x, id, digest, notAfter.Add(-time.Second))
	is.Equal(status, OK)
	is.Equal(account, msg.AccountID("north"))
	_, status = Check(x, id, digest, notAfter)
	is.Equal(status, Expired)
}

func TestSecretMayContainTheSeparator(t *testing.T) {
	is := is.New(t)
	var random [SecretBytes]byte
	for i := range random {
		random[i] = 255 // the encoded secret consists of underscores
	}
	text, hash := NewKey("k1", random)
	is.True(strings.Count(text, separator) > 2)
	id, digest, ok := ParseBearer("Bearer " + text)
	is.True(ok)
	_, status := Check(indexWith(manifest.Key{ID: "k1", Hash: hash}), id, digest, notAfter)
	is.Equal(status, OK)
}

func TestWrongKeysAreRefused(t *testing.T) {
	is := is.New(t)
	_, hash := NewKey("k1", [SecretBytes]byte{1})
	x := indexWith(manifest.Key{ID: "k1", Hash: hash}, manifest.Key{ID: "zero", Hash: "00"})
	_, status := Check(x, "k1", Digest("k1", "other"), notAfter)
	is.Equal(status, Wrong)
	_, status = Check(x, "k2", msg.KeyDigest{}, notAfter)
	is.Equal(status, Unknown) // an unknown id must not match the zero digest
	_, status = Check(x, "zero", msg.KeyDigest{}, notAfter)
	is.Equal(status, Unknown)
}

func TestMalformedHeadersAreRefused(t *testing.T) {
	for _, h := range []string{"", "Bearer", "Bearer ", "Basic vsp_a_b", "Bearer vsp_", "Bearer vsp_a", "Bearer vsp__b", "Bearer vsp_a_", "Bearer sk-1"} {
		t.Run(h, func(t *testing.T) {
			is := is.New(t)
			_, _, ok := ParseBearer(h)
			is.True(!ok)
		})
	}
}
