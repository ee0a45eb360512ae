package manifest

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/verbenaspur/verbenaspur/internal/strictyaml"
)

const (
	keyPrefix = "vsp"
	// secretSize is the length of a new secret in bytes before encoding.
	secretSize = 32
)

// ErrMalformedKey is returned for a bearer token that is no API key.
var ErrMalformedKey = errors.New("malformed API key")

// FormatKey returns an API key as callers send it: vsp_ID_SECRET.
func FormatKey(id, secret string) string { return keyPrefix + "_" + id + "_" + secret }

// ParseKey splits an API key into its id and secret.
func ParseKey(key string) (id, secret string, err error) {
	parts := strings.SplitN(key, "_", 3)
	if len(parts) != 3 || parts[0] != keyPrefix || !strictyaml.IsName(parts[1]) || parts[2] == "" {
		return "", "", ErrMalformedKey
	}
	return parts[1], parts[2], nil
}

// DigestKey returns the SHA-256 of "id:secret".
func DigestKey(id, secret string) [sha256.Size]byte {
	return sha256.Sum256([]byte(id + ":" + secret))
}

// HashKey returns the digest of a key as the manifest holds it.
func HashKey(id, secret string) string {
	d := DigestKey(id, secret)
	return hex.EncodeToString(d[:])
}

// NewSecret returns a random secret.
func NewSecret() (string, error) {
	b := make([]byte, secretSize)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "secret")
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}
