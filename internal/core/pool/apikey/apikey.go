// Package apikey creates, parses and verifies API keys.
//
// The text of a key is vsp_<id>_<secret>. The id identifies the key in the
// manifest, which holds only the digest of id and secret. The secret is made of
// 256 random bits, so that the digest needs no salt other than the id.
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
	keyPrefix    = "vsp"
	separator    = "_"
	bearerScheme = "Bearer "
)

// SecretBytes is the number of random bytes in a secret.
const SecretBytes = 32

// Status is the result of verifying a key.
type Status uint8

// Results of checks.
const (
	// OK means that the key is valid.
	OK Status = iota
	// Unknown means that no such key exists, or that it was withdrawn.
	Unknown
	// Wrong means that the secret does not belong to the key.
	Wrong
	// Expired means that the validity of the key has ended.
	Expired
)

// NewKey returns the text of a new key and its digest in hexadecimal form, which
// the manifest holds as the key's hash. The random bytes must come from a
// cryptographic source.
func NewKey(id string, random [SecretBytes]byte) (text, hash string) {
	secret := base64.RawURLEncoding.EncodeToString(random[:])
	digest := Digest(id, secret)
	return strings.Join([]string{keyPrefix, id, secret}, separator), hex.EncodeToString(digest[:])
}

// Digest returns the SHA-256 of "id:secret".
func Digest(id, secret string) msg.KeyDigest {
	return sha256.Sum256([]byte(id + ":" + secret))
}

// ParseBearer parses an Authorization header and returns the id and the digest
// of its key. It reports false if the header is not a bearer token in the form of
// a key.
func ParseBearer(header string) (id string, digest msg.KeyDigest, ok bool) {
	if len(header) < len(bearerScheme) || !strings.EqualFold(header[:len(bearerScheme)], bearerScheme) {
		return "", msg.KeyDigest{}, false
	}
	text, found := strings.CutPrefix(strings.TrimSpace(header[len(bearerScheme):]), keyPrefix+separator)
	if !found {
		return "", msg.KeyDigest{}, false
	}
	id, secret, found := strings.Cut(text, separator)
	if !found || id == "" || secret == "" {
		return "", msg.KeyDigest{}, false
	}
	return id, Digest(id, secret), true
}

// Check verifies a key and returns its client account. An unknown id goes
// through the same comparison as a known one. A key with a NotAfter time is
// expired from that time on, as compared with the wall clock.
func Check(x *manifest.Index, keyID string, digest msg.KeyDigest, wall time.Time) (msg.AccountID, Status) {
	var expected msg.KeyDigest
	ref, known := x.Key(keyID)
	if known {
		known = decodeHash(&expected, ref.Key.Hash)
	}
	equal := subtle.ConstantTimeCompare(expected[:], digest[:]) == 1
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

// decodeHash decodes a key's hash in the manifest, and reports whether it is
// well-formed.
func decodeHash(out *msg.KeyDigest, hash string) bool {
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != len(out) {
		return false
	}
	copy(out[:], b)
	return true
}
