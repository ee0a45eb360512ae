// Package prefixhash computes the identities of prompt prefixes, by which cached
// prefixes of engines are recognized.
package prefixhash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// BlockBytes is the length of one cache piece of prompt text in bytes, about
// 2,000 tokens.
const BlockBytes = 8000

// BytesPerToken is the average length of a token, used for estimates.
const BytesPerToken = 4

// BlockHashes returns the hash of each whole piece of a prompt. Each hash covers
// all text before its end. The scope (a model's name and adapter) keeps
// prompts for different models apart.
func BlockHashes(scope, prompt string) []msg.BlockHash {
	out := make([]msg.BlockHash, 0, len(prompt)/BlockBytes)
	last := xxhash.Sum64String(scope)
	for len(prompt) >= BlockBytes {
		last = next(last, prompt[:BlockBytes])
		out = append(out, msg.BlockHash(last))
		prompt = prompt[BlockBytes:]
	}
	return out
}

func next(last uint64, piece string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], last)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(piece)
	return d.Sum64()
}

// EstimateTokens estimates the number of tokens of a text of n bytes.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
