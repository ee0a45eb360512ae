// Package prefixhash computes hashes of prompt prefixes, by which the prefixes in
// the caches of engines are identified.
package prefixhash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenaspur/verbenaspur/internal/core/msg"
)

// BlockBytes is the length in bytes of one cache block of prompt text, about
// 2,000 tokens.
const BlockBytes = 8000

// BytesPerToken is the average length of a token, used for estimates.
const BytesPerToken = 4

// BlockHashes returns a hash for each complete block of a prompt. Each hash covers
// the block and all text before it. The scope (the name and adapter of a model) is
// included, so that prompts for different models have different hashes.
func BlockHashes(scope, prompt string) []msg.BlockHash {
	out := make([]msg.BlockHash, 0, len(prompt)/BlockBytes)
	hash := xxhash.Sum64String(scope)
	for len(prompt) >= BlockBytes {
		hash = chainHash(hash, prompt[:BlockBytes])
		out = append(out, msg.BlockHash(hash))
		prompt = prompt[BlockBytes:]
	}
	return out
}

// chainHash returns the hash of a block and the hash of all text before it.
func chainHash(previous uint64, block string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], previous)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}

// EstimateTokens returns the estimated number of tokens of a text of n bytes.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
