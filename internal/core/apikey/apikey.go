// Package apikey makes, reads and checks API keys.
//
// A key's text form is vsp_<id>_<secret>. The id names the key in the
// manifest, which keeps only the digest of id and secret. The secret is drawn
// from 256 random bits, so that its digest needs no salt of its own beside
// the id.
package apikey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
	"github.com/verbenaspur/verbenaspur/internal/manifest"
)

const (
	prefix    = "vsp"
	separator = "_"
	bearer    = "Bearer "
)

// SecretBytes is the number of random bytes in a secret.
const SecretBytes = 32

// Status is the result of a check.
type Status uint8

// Results of checks.
const (
	// OK means that the key is valid.
	OK Status = iota
	// Unknown means that there is no such key, or that it was withdrawn.
	Unknown
	// Wrong means that the secret is not the key's.
	Wrong
	// Expired means that the key's validity has ended.
	Expired
)

// String returns the status's name in logs.
func (s Status) String() string {
	return [...]string{"ok", "unknown", "wrong", "expired"}[s]
}

// NewKey returns the text of a new key and the hash that the manifest keeps.
// The random bytes must come from a cryptographic source.
func NewKey(id string, random [SecretBytes]byte) (text, hash string) {
	secret := base64.RawURLEncoding.EncodeToString(random[:])
	digest := Digest(id, secret)
	return strings.Join([]string{prefix, id, secret}, separator), hex.EncodeToString(digest[:])
}

// Digest returns the SHA-256 of "id:secret".
func Digest(id, secret string) msg.KeyDigest {
	return sha256.Sum256([]byte(id + ":" + secret))
}

// ParseBearer reads an Authorization header and returns the key's id and
// digest. It reports false where the header holds no key in text form.
func ParseBearer(header string) (id string, digest msg.KeyDigest, ok bool) {
	if len(header) < len(bearer) || !strings.EqualFold(header[:len(bearer)], bearer) {
		return "", msg.KeyDigest{}, false
	}
	text, found := strings.CutPrefix(strings.TrimSpace(header[len(bearer):]), prefix+separator)
	if !found {
		return "", msg.KeyDigest{}, false
	}
	id, secret, found := strings.Cut(text, separator)
	if !found || id == "" || secret == "" {
		return "", msg.KeyDigest{}, false
	}
	return id, Digest(id, secret), true
}

// Check returns the client account of a key. An unknown id takes the same
// comparison as a known one. The wall clock decides on the end of a key's
// validity.
func Check(x *manifest.Index, keyID string, digest msg.KeyDigest, wall time.Time) (msg.AccountID, Status) {
	var want msg.KeyDigest
	ref, known := x.Key(keyID)
	if known {
		known = decodeHash(&want, ref.Key.Hash)
	}
	equal := subtle.ConstantTimeCompare(want[:], digest[:]) == 1
	switch {
	case !known:
		return "", Unknown
	case !equal:
		return "", Wrong
	case !ref.Key.NotAfter.IsZero() && !wall.Before(ref.Key.NotAfter):
		return "", Expired
	}
	return msg.AccountID(ref.Account.Name), OK
}

func decodeHash(out *msg.KeyDigest, hash string) bool {
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != len(out) {
		return false
	}
	copy(out[:], b)
	return true
}
