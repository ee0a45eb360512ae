package idempotency

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

const (
	keyIDBytes  = 16
	bodyIDBytes = 16
)

// keyID identifies the idempotency key of one account on one route. It is the
// start of a SHA-256, encoded in base64.
type keyID string

// fingerprint holds the first 8 bytes of a key's hash. It selects the shard and
// is kept after the claim has expired. It is not the fingerprint of a request in
// crash records, which also covers the body.
type fingerprint uint64

// newKeyID returns the identity of a claim's key and its fingerprint. The
// length of each part is hashed too, so that different triples of account,
// route and key differ in the hash's input.
func newKeyID(req msg.ClaimRequested) (keyID, fingerprint) {
	h := sha256.New()
	for _, part := range []string{string(req.Account), string(req.Route), req.Key} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	sum := h.Sum(nil)
	return keyID(base64.RawURLEncoding.EncodeToString(sum[:keyIDBytes])), fingerprint(binary.BigEndian.Uint64(sum))
}

func (k keyID) fingerprint() fingerprint {
	b, err := base64.RawURLEncoding.DecodeString(string(k))
	if err != nil || len(b) < 8 {
		return 0
	}
	return fingerprint(binary.BigEndian.Uint64(b))
}

func newBodyID(b msg.BodyHash) string {
	return base64.RawURLEncoding.EncodeToString(b[:bodyIDBytes])
}

// uuidV7Time returns the creation time that a version 7 UUID contains. It
// returns false for keys of other forms, which contain no time.
func uuidV7Time(key string) (time.Time, bool) {
	const uuidBytes, versionByte, variantByte = 16, 6, 8
	if len(key) != 36 || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, false
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(b) != uuidBytes || b[versionByte]>>4 != 7 || b[variantByte]>>6 != 2 {
		return time.Time{}, false
	}
	ms := int64(binary.BigEndian.Uint64(append([]byte{0, 0}, b[:6]...)))
	return time.UnixMilli(ms).UTC(), true
}
